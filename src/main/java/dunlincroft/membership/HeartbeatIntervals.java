package dunlincroft.membership;

import dunlincroft.Constants;
import java.util.Arrays;
import org.apache.commons.statistics.distribution.NormalDistribution;

/**
 * How regular a peer's heartbeats are: a window of its last intervals, from which the probability
 * of a silence is estimated as in the φ accrual detector (Hayashibara, Défago, Yared, Katayama,
 * "The φ Accrual Failure Detector", 2004), with a normal distribution.
 */
final class HeartbeatIntervals {
  private static final double SILENT_DEVIATIONS = standardDeviations(Constants.SUSPECT_PHI);
  private static final double REFUSED_DEVIATIONS = standardDeviations(Constants.REFUSED_PHI);

  private final double[] window = new double[Constants.HEARTBEAT_WINDOW];
  private int next;

  HeartbeatIntervals() {
    // Initial values: the configured interval, and every eighth heartbeat twice as late.
    Arrays.fill(window, Constants.PEER_HEARTBEAT_MS);
    for (int i = 0; i < window.length; i += 8) {
      window[i] = 2 * Constants.PEER_HEARTBEAT_MS;
    }
  }

  /**
   * Adds an interval, in milliseconds. Gaps left by a peer that was down are ignored, and so are
   * delayed heartbeats that arrive all at once: they would make the peer seem more regular and
   * faster than it is.
   */
  void add(long ms) {
    if (ms >= Constants.PEER_HEARTBEAT_MS / 2 && ms <= Constants.MAX_HEARTBEAT_INTERVAL_MS) {
      window[next] = ms;
      next = (next + 1) % window.length;
    }
  }

  private double mean() {
    return Arrays.stream(window).average().orElseThrow();
  }

  private double deviation(double mean) {
    double squares = Arrays.stream(window).map(ms -> (ms - mean) * (ms - mean)).sum();
    return Math.max(Constants.MIN_HEARTBEAT_DEVIATION_MS, Math.sqrt(squares / window.length));
  }

  private static double standardDeviations(double phi) {
    return NormalDistribution.of(0, 1).inverseSurvivalProbability(Math.pow(10, -phi));
  }

  /**
   * Milliseconds of silence after which the peer is suspected; fewer if it refuses connections as
   * well.
   */
  double suspectAfterMs(boolean refused) {
    double mean = mean();
    return mean + (refused ? REFUSED_DEVIATIONS : SILENT_DEVIATIONS) * deviation(mean);
  }

  /** Minus the decimal logarithm of the probability that a healthy peer is silent for so long. */
  double phi(double silentMs) {
    double mean = mean();
    double survival = NormalDistribution.of(mean, deviation(mean)).survivalProbability(silentMs);
    return survival == 0 ? Double.POSITIVE_INFINITY : -Math.log10(survival);
  }
}
