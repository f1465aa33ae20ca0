package dunlincroft.conditions;

import dunlincroft.protocol.JobSpec;

/**
 * A feature that restricts when and where tasks of certain jobs may start, such as the settlement
 * calendar or a migration. The scheduler uses conditions only through this interface.
 */
public interface Condition {
  /** What happens to running tasks of a job at the cut-off, from which on it may not start any. */
  enum CutOffAction {
    /** The task runs to its end. */
    FINISH,
    /** The task saves a snapshot, if it can, and stops. */
    SAVE,
    /** The task stops at once. */
    STOP
  }

  /** Whether the condition restricts any job at present; if not, it is not evaluated. */
  boolean active();

  /** The decision on starts of a job's tasks. */
  Decision decide(JobSpec spec);

  /** What to do with the running tasks of a job after its cut-off; null if none has passed. */
  CutOffAction cutOffAction(JobSpec spec);

  /** Called when a task of a job has completed, with its run time in seconds. */
  void onTaskFinished(JobSpec spec, double seconds);
}
