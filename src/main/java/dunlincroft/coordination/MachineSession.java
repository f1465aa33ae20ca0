package dunlincroft.coordination;

import dunlincroft.protocol.WorkerReport;

/**
 * The session with the worker of one machine, as its owner knows it: whether the worker receives
 * our answers, which report was the newest, and which orders may still be in flight. It changes by
 * events alone; it neither sends messages nor makes decisions.
 */
final class MachineSession {
  /** Whether the worker receives our answers. */
  enum State {
    /** No report has reached this owner yet. */
    UNREPORTED,
    /** The newest report or answer shows that the worker receives our answers. */
    REACHABLE,
    /**
     * There is a sign that the worker does not receive our answers, although its reports may
     * arrive. Nothing new is started there, and its reports alone do not count as a sign of life,
     * until it answers a query or its reports are consistent again.
     */
    UNCERTAIN,
    /** The worker has not answered a query since that sign either. */
    UNREACHABLE;

    /** A report arrived. */
    State onReport() {
      return REACHABLE;
    }

    /** An answer to a query or command arrived that is not newer than the newest report. */
    State onAnswer() {
      return this == UNREPORTED ? UNREPORTED : REACHABLE;
    }

    /** A report, or an unanswered command, shows that the worker may not receive our answers. */
    State onMissedAnswer() {
      return this == REACHABLE ? UNCERTAIN : this;
    }

    /** A query was not answered. */
    State onNoAnswer() {
      return this == UNCERTAIN ? UNREACHABLE : this;
    }
  }

  private static final long NEVER = -1;
  private static final long NO_FENCE = 0;

  private State state = State.UNREPORTED;
  private long unreachableSinceMs = NEVER;
  private boolean isSuspected;
  private long lastHeardMs;

  /**
   * Session number of the newest report: a worker starts a new session whenever its lease has
   * ended.
   */
  private long sessionNumber;

  /** Number of the newest report within that session. */
  private long counter;

  /** Highest fence that the worker has seen, by its newest report. */
  private long fenceSeen;

  /**
   * The fence under which this owner began to act for the machine. A worker that has seen it obeys
   * no former owner; later increases, as when another machine leaves the block, do not change that.
   */
  private long firstFence;

  /** Fence of a direct command that was not answered and may still be executed. */
  private long unresolvedFence = NO_FENCE;

  /** When this owner last stopped waiting for the answer to a direct command. */
  private long commandAbandonedMs = NEVER;

  /** Fence in our last answer to a report; later reports must have seen it. */
  private long answeredFence;

  /** When that answer was sent. */
  private long answeredMs = NEVER;

  /** Whether that answer contained starts, which may be in flight until the next report. */
  private boolean hasStartsInFlight;

  private boolean isCommandInFlight;
  private boolean isProbeInFlight;

  /** Starts sent as direct commands that a late copy may repeat. */
  private final DirectStarts directStarts = new DirectStarts();

  MachineSession(long nowMs) {
    this.lastHeardMs = nowMs;
  }

  // ---- queries ----

  State state() {
    return state;
  }

  boolean hasReported() {
    return state != State.UNREPORTED;
  }

  boolean isReachable() {
    return state == State.REACHABLE;
  }

  boolean isUnreachable() {
    return state == State.UNREACHABLE;
  }

  long unreachableSinceMs() {
    return unreachableSinceMs;
  }

  long lastHeardMs() {
    return lastHeardMs;
  }

  long sessionNumber() {
    return sessionNumber;
  }

  long counter() {
    return counter;
  }

  long fenceSeen() {
    return fenceSeen;
  }

  long firstFence() {
    return firstFence;
  }

  boolean isCommandInFlight() {
    return isCommandInFlight;
  }

  boolean isProbeInFlight() {
    return isProbeInFlight;
  }

  /**
   * Whether the worker has seen our fence, so that its reports do not concern orders of a former
   * owner.
   */
  boolean hasSeenOurFence() {
    return fenceSeen >= firstFence;
  }

  /** Whether a command that was not answered may still be executed. */
  boolean hasUnresolvedCommand() {
    return unresolvedFence != NO_FENCE;
  }

  /** Whether the unanswered command was sent under this fence. */
  boolean isUnresolved(long fence) {
    return unresolvedFence == fence;
  }

  /** Whether a direct command has remained unanswered since the worker was last heard. */
  boolean hasAbandonedCommandSinceHeard() {
    return lastHeardMs <= commandAbandonedMs;
  }

  /**
   * Whether a task that is missing from the report is proven not to be on the machine. That
   * requires that no order in flight can still start it: the worker has seen our fence, every
   * direct command under it was answered, and no answer to a heartbeat that contains starts may be
   * in flight.
   */
  boolean isAbsenceProven() {
    return hasSeenOurFence() && !hasUnresolvedCommand() && !hasStartsInFlight && !isCommandInFlight;
  }

  /**
   * Whether the worker may discard an ended attempt of a task: no start of the task can be carried
   * out any more, neither one in flight nor a late copy of one that was answered.
   */
  boolean canDiscard(String task) {
    return isAbsenceProven() && !directStarts.isRepeatable(task);
  }

  /** Whether a late copy of a direct command could start this task again once it is discarded. */
  boolean isStartRepeatable(String task) {
    return directStarts.isRepeatable(task);
  }

  /** Whether a report is newer than those received before. */
  boolean isNewer(WorkerReport report) {
    return report.isNewerThan(sessionNumber, counter);
  }

  /**
   * Whether a report shows that its worker has not received our answer to the previous report: it
   * has not seen the fence in that answer, its lease has ended although the answer renewed it, or
   * it has meanwhile reported to another controller, which a worker does only if it got no answer.
   */
  boolean hasMissedOurAnswer(WorkerReport report, long nowMs, double leaseMs) {
    if (answeredMs < 0) {
      return false;
    }
    if (report.sessionNumber() > sessionNumber) {
      return nowMs - answeredMs < leaseMs;
    }
    return report.fence() < answeredFence
        || (report.counter() > counter + 1 && !isCommandInFlight && !isProbeInFlight);
  }

  // ---- events ----

  /** This owner begins to act for the machine under a fence. */
  void onOwned(long fence) {
    firstFence = fence;
  }

  /** A report arrived that is newer than those before. */
  void onReport(WorkerReport report, long nowMs) {
    state = state.onReport();
    unreachableSinceMs = NEVER;
    isSuspected = false;
    sessionNumber = report.sessionNumber();
    counter = report.counter();
    fenceSeen = report.fence();
    lastHeardMs = nowMs;
    directStarts.onFenceSeen(fenceSeen);
    if (unresolvedFence < fenceSeen) {
      unresolvedFence = NO_FENCE;
    }
  }

  /** An answer arrived that a newer report has overtaken. */
  void onAnswer() {
    state = state.onAnswer();
    unreachableSinceMs = NEVER;
  }

  /** There is a sign that the worker does not receive our answers. */
  void onMissedAnswer() {
    state = state.onMissedAnswer();
  }

  /**
   * Resets the time at which the worker was last heard to the time before the newest report: that
   * report is no proof of life, as the worker may not receive our answers.
   */
  void discountReport(long previousHeardMs) {
    lastHeardMs = previousHeardMs;
  }

  /** A query was not answered. Returns whether the worker becomes unreachable by that. */
  boolean onNoAnswer(long nowMs) {
    State before = state;
    state = state.onNoAnswer();
    if (state == before) {
      return false;
    }
    unreachableSinceMs = nowMs;
    return true;
  }

  /**
   * The worker has restarted. Orders sent to its former process may still be in flight and would
   * not be recognised as repetitions: no task counts as absent before the worker has seen a fence
   * above this one.
   */
  void onRestart(long fence) {
    firstFence = fence + 1;
    unresolvedFence = fence;
    hasStartsInFlight = false;
    answeredMs = NEVER;
    answeredFence = NO_FENCE;
  }

  /**
   * The worker has processed or discarded our last answer, since it has one report in flight at a
   * time. Returns whether that answer contained starts.
   */
  boolean onAnswerSettled() {
    boolean hadStarts = hasStartsInFlight;
    hasStartsInFlight = false;
    return hadStarts;
  }

  /** A report is answered. */
  void onAnswered(long fence, boolean hasStarts, long nowMs) {
    answeredFence = fence;
    answeredMs = nowMs;
    hasStartsInFlight = hasStarts;
  }

  /** Sets whether a status query to the worker is in flight. */
  void setProbeInFlight(boolean inFlight) {
    isProbeInFlight = inFlight;
  }

  /** A start of a task was sent as a direct command under a fence. */
  void onDirectStart(String task, long fence) {
    directStarts.onSent(task, fence);
  }

  /** Sets whether a direct command to the worker is in flight. */
  void setCommandInFlight(boolean inFlight) {
    isCommandInFlight = inFlight;
  }

  /**
   * A command was sent under a fence and not answered: it may be executed as long as the fence
   * stays.
   */
  void onUnresolvedCommand(long fence) {
    unresolvedFence = Math.max(fence, unresolvedFence);
  }

  /** A command was not answered: the worker gets no direct commands until it is heard again. */
  void onCommandAbandoned(long nowMs) {
    commandAbandonedMs = nowMs;
  }

  /** The worker was silent for too long. Returns whether it was not yet suspected. */
  boolean onSilence() {
    boolean isNew = hasReported() && !isSuspected;
    isSuspected |= isNew;
    return isNew;
  }

  /**
   * This process was paused and received nothing: that time does not count as silence of the
   * worker.
   */
  void onPause(long pauseMs, long nowMs) {
    lastHeardMs = Math.min(nowMs, lastHeardMs + pauseMs);
  }
}
