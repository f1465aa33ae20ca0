package dunlincroft.calendar;

import dunlincroft.Constants;
import dunlincroft.protocol.JobSpec;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How long tasks really run, against what their owners estimate: by class, as they end. */
final class RunTimes {
  /** Ratios are counted in thousandths, up to a hundred times. */
  private static final double MILLI = 1000;

  private static final long MOST = 100_000;

  private final Map<String, Histogram> ratios = new HashMap<>();

  void ran(JobSpec spec, double seconds) {
    if (spec.estimatedRunS() > 0) {
      long ratio = (long) Math.max(1, Math.min(MOST, MILLI * seconds / spec.estimatedRunS()));
      ratios.computeIfAbsent(spec.jobclass(), c -> new Histogram(MOST, 2)).recordValue(ratio);
    }
  }

  /** Seconds in which all but the stated risk of a job's tasks end. */
  double secondsOf(JobSpec spec) {
    Histogram seen = ratios.get(spec.jobclass());
    double ratio =
        seen == null || seen.getTotalCount() < Constants.MIN_RUN_TIME_SAMPLES
            ? Constants.UNKNOWN_RUN_TIME_FACTOR
            : seen.getValueAtPercentile(100 * (1 - Constants.CUT_OFF_OVERRUN_FRACTION)) / MILLI;
    return spec.estimatedRunS() * ratio;
  }
}
