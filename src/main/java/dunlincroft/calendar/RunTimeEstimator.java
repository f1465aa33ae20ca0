package dunlincroft.calendar;

import dunlincroft.Constants;
import dunlincroft.protocol.JobSpec;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Estimates the run time of tasks from the ratio of actual to expected run time that completed
 * tasks of the same class had.
 */
final class RunTimeEstimator {
  /** Ratios are recorded in thousandths. */
  private static final double MILLI = 1000;

  /** Thousandths: a ratio of 100. Higher ratios are recorded as this. */
  private static final long MAX_RATIO = 100_000;

  private final Map<String, Histogram> ratiosByClass = new HashMap<>();

  /** Records the run time of a completed task. */
  void addSample(JobSpec spec, double seconds) {
    if (spec.estimatedRunS() > 0) {
      long ratio = (long) Math.max(1, Math.min(MAX_RATIO, MILLI * seconds / spec.estimatedRunS()));
      ratiosByClass
          .computeIfAbsent(spec.jobclass(), c -> new Histogram(MAX_RATIO, 2))
          .recordValue(ratio);
    }
  }

  /**
   * Seconds within which a job's tasks complete, except for a fraction {@link
   * Constants#CUT_OFF_OVERRUN_FRACTION}. A default ratio is used until enough tasks of the class
   * have completed.
   */
  double estimateSeconds(JobSpec spec) {
    Histogram histogram = ratiosByClass.get(spec.jobclass());
    double ratio =
        histogram == null || histogram.getTotalCount() < Constants.MIN_RUN_TIME_SAMPLES
            ? Constants.UNKNOWN_RUN_TIME_FACTOR
            : histogram.getValueAtPercentile(100 * (1 - Constants.CUT_OFF_OVERRUN_FRACTION))
                / MILLI;
    return spec.estimatedRunS() * ratio;
  }
}
