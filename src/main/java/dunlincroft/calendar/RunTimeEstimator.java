package dunlincroft.calendar;

import dunlincroft.Constants;
import dunlincroft.protocol.JobSpec;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How long tasks really run, against what their owners estimate: by class, as they end. */
final class RunTimeEstimator {
  /** Ratios are counted in thousandths, up to a hundred times. */
  private static final double MILLI = 1000;

  private static final long MAX_RATIO = 100_000;

  private final Map<String, Histogram> ratiosByClass = new HashMap<>();

  void addSample(JobSpec spec, double seconds) {
    if (spec.estimatedRunS() > 0) {
      long ratio = (long) Math.max(1, Math.min(MAX_RATIO, MILLI * seconds / spec.estimatedRunS()));
      ratiosByClass
          .computeIfAbsent(spec.jobclass(), c -> new Histogram(MAX_RATIO, 2))
          .recordValue(ratio);
    }
  }

  /** Seconds in which all but the stated risk of a job's tasks end. */
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
