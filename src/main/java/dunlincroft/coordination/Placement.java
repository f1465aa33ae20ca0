package dunlincroft.coordination;

import dunlincroft.protocol.Wire;

/**
 * A task that may be on a machine. It counts against room, limit, spread and zone until cleared.
 */
final class Placement {
  final JobRun job;
  final int task;
  final Machine machine;
  final long attempt;
  final long placedAtMs;
  private final String taskName;

  /** The state service holds this placement: only then may an order leave. */
  boolean recorded;

  /** An order to run it may have left, from this holder or one before it. */
  boolean orderSent;

  /** It is to go: cancelled, preempted or drained. Set by JobRun.halt(). */
  boolean stopRequested;

  /** The worker's newest report has it. */
  boolean inLastReport;

  /** When the worker was first seen to run it. */
  long runningSinceMs;

  /** What stopping it costs the job that looks for room now; for the sort of that look alone. */
  long preemptionCost;

  /** Last status the worker reported; null while it reported none. */
  String reportedStatus;

  Placement(JobRun job, int task, Machine machine, long attempt, long placedAtMs) {
    this.job = job;
    this.task = task;
    this.machine = machine;
    this.attempt = attempt;
    this.placedAtMs = placedAtMs;
    this.taskName = Wire.piece(job.id, task);
  }

  String taskName() {
    return taskName;
  }

  double stopGraceS() {
    return job.spec.snapshotS() > 0 && job.stopMode() == JobRun.StopMode.SAVE_FIRST
        ? job.spec.flushS()
        : 0;
  }
}
