package dunlincroft.coordination;

import dunlincroft.protocol.Wire;

/**
 * A task that may be on a machine. It counts towards resources, limits, spread and zone constraints
 * until it is cleared.
 */
final class Placement {
  final JobRun job;
  final int task;
  final Machine machine;
  final long attempt;
  final long placedAtMs;
  private final String taskName;

  /**
   * Whether the state service has recorded this placement; no start order may be sent before that.
   */
  boolean recorded;

  /** Whether a start order may have been sent, by this owner or an earlier one. */
  boolean orderSent;

  /**
   * Whether the task is to be stopped: cancelled, preempted or drained. Set by {@link
   * JobRun#markForStop}.
   */
  boolean stopRequested;

  /** Whether the worker's latest report lists the task. */
  boolean inLastReport;

  /** When the worker was first seen to run the task; 0 before that. */
  long runningSinceMs;

  /**
   * Cost of stopping the task for the job that is being placed; only valid while its victims are
   * sorted.
   */
  long preemptionCost;

  /** Last status that the worker reported; null before the first report. */
  String reportedStatus;

  Placement(JobRun job, int task, Machine machine, long attempt, long placedAtMs) {
    this.job = job;
    this.task = task;
    this.machine = machine;
    this.attempt = attempt;
    this.placedAtMs = placedAtMs;
    this.taskName = Wire.taskId(job.id, task);
  }

  /** Name of the task, from the job's id and the task's number. */
  String taskName() {
    return taskName;
  }

  /** Seconds that the task gets to save its state when it is stopped. */
  double stopGraceS() {
    return job.spec.snapshotIntervalS() > 0 && job.stopMode() == JobRun.StopMode.SAVE_FIRST
        ? job.spec.saveDurationS()
        : 0;
  }
}
