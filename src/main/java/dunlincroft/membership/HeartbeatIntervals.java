package dunlincroft.membership;

import dunlincroft.Constants;
import java.util.Arrays;
import org.apache.commons.statistics.distribution.NormalDistribution;

/**
 * How regular a peer's beats usually are: a window of its last intervals, and from it how unlikely
 * a silence is. The estimate is the φ accrual detector's (Hayashibara, Défago, Yared, Katayama,
 * "The φ Accrual Failure Detector", 2004), with a normal distribution.
 */
final class HeartbeatIntervals {
  private static final double SILENT_DEVIATIONS = standardDeviations(Constants.SUSPECT_PHI);
  private static final double REFUSED_DEVIATIONS = standardDeviations(Constants.REFUSED_PHI);

  private final double[] window = new double[Constants.BEATS_KEPT];
  private int next;

  HeartbeatIntervals() {
    // Before anything is learnt: beats as asked for, now and then one that comes twice as late.
    Arrays.fill(window, Constants.LINK_BEAT_MS);
    for (int i = 0; i < window.length; i += 8) {
      window[i] = 2 * Constants.LINK_BEAT_MS;
    }
  }

  /**
   * An interval, in milliseconds. The gap left by a peer that was gone teaches nothing, nor do
   * beats that were held back and come all at once: they would make it seem quicker than it is.
   */
  void add(long ms) {
    if (ms >= Constants.LINK_BEAT_MS / 2 && ms <= Constants.PAUSE_MS) {
      window[next] = ms;
      next = (next + 1) % window.length;
    }
  }

  private double mean() {
    return Arrays.stream(window).average().orElseThrow();
  }

  private double deviation(double mean) {
    double squares = Arrays.stream(window).map(ms -> (ms - mean) * (ms - mean)).sum();
    return Math.max(Constants.BEAT_DEVIATION_MS, Math.sqrt(squares / window.length));
  }

  private static double standardDeviations(double phi) {
    return NormalDistribution.of(0, 1).inverseSurvivalProbability(Math.pow(10, -phi));
  }

  /**
   * Milliseconds of silence from which on the peer is suspected; less is enough of one that refuses
   * connections as well.
   */
  double suspectAfterMs(boolean refused) {
    double mean = mean();
    return mean + (refused ? REFUSED_DEVIATIONS : SILENT_DEVIATIONS) * deviation(mean);
  }

  /** Minus the decimal logarithm of how likely a peer that is well is silent for so long. */
  double phi(double silentMs) {
    double mean = mean();
    double survival = NormalDistribution.of(mean, deviation(mean)).survivalProbability(silentMs);
    return survival == 0 ? Double.POSITIVE_INFINITY : -Math.log10(survival);
  }
}
