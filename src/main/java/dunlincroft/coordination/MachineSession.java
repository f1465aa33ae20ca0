package dunlincroft.coordination;

import dunlincroft.protocol.WorkerReport;

/**
 * The session with the worker of one machine, as its owner knows it: whether the worker hears our
 * answers, which report was the newest, and which orders may still be in flight. It changes by
 * events alone; it neither sends nor decides anything.
 */
final class MachineSession {
  /** Whether the worker hears us. */
  enum State {
    /** No report has reached this owner yet. */
    UNREPORTED,
    /** Its newest report or answer shows that it hears us. */
    REACHABLE,
    /**
     * A sign that it does not hear us, while its reports may arrive: nothing new starts there, and
     * its reports alone do not prolong its time, until it answers a question or reports in order.
     */
    UNCERTAIN,
    /** It did not answer a question since that sign, either. */
    UNREACHABLE;

    State onReport() {
      return REACHABLE;
    }

    /** An answer to a question or command that is not newer than the newest report. */
    State onAnswer() {
      return this == UNREPORTED ? UNREPORTED : REACHABLE;
    }

    /** A report, or a command without an answer, shows that it may not hear us. */
    State onMissedAnswer() {
      return this == REACHABLE ? UNCERTAIN : this;
    }

    /** A question got no answer. */
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

  /** What the newest report said. */
  private long sessionNumber;

  private long counter;
  private long fenceSeen;

  /**
   * Our fence when we began to act for the machine. A worker that has seen it obeys no holder
   * before us; later rises, as when another machine of the block leaves, change nothing about that.
   */
  private long firstFence;

  /** A direct command got no answer under this fence: it may still be executed. */
  private long unresolvedFence = NO_FENCE;

  /** When a direct command was last given up. */
  private long commandAbandonedMs = NEVER;

  /** What our last answer to a report of its said, and when: a later one must know of it. */
  private long answeredFence;

  private long answeredMs = NEVER;

  /** That answer carried starts: until the next report they may be on their way. */
  private boolean hasStartsInFlight;

  private boolean isCommandInFlight;
  private boolean isProbeInFlight;

  MachineSession(long nowMs) {
    this.lastHeardMs = nowMs;
  }

  // ---- what is known ----

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
   * Whether the worker has seen our fence, so that its word is not about a former owner's order.
   */
  boolean hasSeenOurFence() {
    return fenceSeen >= firstFence;
  }

  /** Whether a command may still be executed that got no answer. */
  boolean hasUnresolvedCommand() {
    return unresolvedFence != NO_FENCE;
  }

  boolean isUnresolved(long fence) {
    return unresolvedFence == fence;
  }

  /** Whether a direct command was given up since the worker was last heard. */
  boolean hasAbandonedCommandSinceHeard() {
    return lastHeardMs <= commandAbandonedMs;
  }

  /**
   * An absent task is proven absent only if no order in flight can still bring it: the worker has
   * seen our fence, every direct call under it was answered, and no answer to a hello with starts
   * may still be on its way.
   */
  boolean isAbsenceProven() {
    return hasSeenOurFence() && !hasUnresolvedCommand() && !hasStartsInFlight && !isCommandInFlight;
  }

  boolean isNewer(WorkerReport report) {
    return report.after(sessionNumber, counter);
  }

  /**
   * Whether a report shows that its worker did not get our answer to the one before: it has not
   * seen the fence that this said, its lease has ended although this renewed it, or it has reported
   * elsewhere since, which nobody does who was answered.
   */
  boolean hasMissedOurAnswer(WorkerReport report, long nowMs, double leaseMs) {
    if (answeredMs < 0) {
      return false;
    }
    if (report.tenure() > sessionNumber) {
      return nowMs - answeredMs < leaseMs;
    }
    return report.fence() < answeredFence
        || (report.counter() > counter + 1 && !isCommandInFlight && !isProbeInFlight);
  }

  // ---- what happens ----

  /** We begin to act for the machine under a fence. */
  void onOwned(long fence) {
    firstFence = fence;
  }

  /** A report came that is newer than those before. */
  void onReport(WorkerReport report, long nowMs) {
    state = state.onReport();
    unreachableSinceMs = NEVER;
    isSuspected = false;
    sessionNumber = report.tenure();
    counter = report.counter();
    fenceSeen = report.fence();
    lastHeardMs = nowMs;
    if (unresolvedFence < fenceSeen) {
      unresolvedFence = NO_FENCE;
    }
  }

  /** An answer came that a newer report has overtaken. */
  void onAnswer() {
    state = state.onAnswer();
    unreachableSinceMs = NEVER;
  }

  /** A sign that the worker does not hear us. */
  void onMissedAnswer() {
    state = state.onMissedAnswer();
  }

  /** A report does not prolong the worker's time: it may not hear us. */
  void discountReport(long previousHeardMs) {
    lastHeardMs = previousHeardMs;
  }

  /** A question got no answer. Returns whether the worker is taken for deaf by that. */
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
   * The worker has restarted. Orders to its former life may still be on their way and would find
   * nothing that they repeat: nothing counts as absent before it has seen a fence above this one.
   */
  void onRestart(long fence) {
    firstFence = fence + 1;
    unresolvedFence = fence;
    hasStartsInFlight = false;
    answeredMs = NEVER;
    answeredFence = NO_FENCE;
  }

  /**
   * The worker has taken or dropped our last answer, as it has one report out at a time. Returns
   * whether that answer carried starts.
   */
  boolean onAnswerSettled() {
    boolean hadStarts = hasStartsInFlight;
    hasStartsInFlight = false;
    return hadStarts;
  }

  /** We answer a report. */
  void onAnswered(long fence, boolean hasStarts, long nowMs) {
    answeredFence = fence;
    answeredMs = nowMs;
    hasStartsInFlight = hasStarts;
  }

  void setProbeInFlight(boolean inFlight) {
    isProbeInFlight = inFlight;
  }

  void setCommandInFlight(boolean inFlight) {
    isCommandInFlight = inFlight;
  }

  /** A command under a fence left and got no answer: it may be executed as long as that stays. */
  void onUnresolvedCommand(long fence) {
    unresolvedFence = Math.max(fence, unresolvedFence);
  }

  /** A command was given up: until it is heard again the worker is left to its reports. */
  void onCommandAbandoned(long nowMs) {
    commandAbandonedMs = nowMs;
  }

  /** The worker was silent for too long. Returns whether this is new. */
  boolean onSilence() {
    boolean isNew = hasReported() && !isSuspected;
    isSuspected |= isNew;
    return isNew;
  }

  /** We could not hear anybody for so long: that time is no silence of the worker's. */
  void onPause(long pauseMs, long nowMs) {
    lastHeardMs = Math.min(nowMs, lastHeardMs + pauseMs);
  }
}
