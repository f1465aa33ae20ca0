package dunlincroft.conditions;

import dunlincroft.protocol.JobSpec;

/** A part of the product that has a say in starts. The scheduler knows none of them by name. */
public interface Condition {
  /** What becomes of a task that runs although its job may not start any. */
  enum CutOffAction {
    /** It goes on. */
    FINISH,
    /** It saves, if it can, and stops. */
    SAVE,
    /** It stops at once. */
    STOP
  }

  /** Whether it says anything of any job at present; if not, nobody asks further. */
  boolean active();

  /** What it says of a job. */
  Decision decide(JobSpec spec);

  /** What becomes of the tasks of a job, as its time is over; null: it is not. */
  CutOffAction cutOffAction(JobSpec spec);

  /** A task of a job ran to its end: its run time, in seconds. */
  void onTaskFinished(JobSpec spec, double seconds);
}
