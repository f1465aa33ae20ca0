package dunlincroft.sim;

import dunlincroft.Constants;
import dunlincroft.sim.SimWorker.Task;

/**
 * Starts that took effect after the cancellation of their job was confirmed to its user. Starts
 * whose order was in flight at that moment are allowed for {@code cancel_s}. An order that was sent
 * later came from a controller that had not yet read the cancellation, which it must do soon.
 */
final class StartsAfterCancellation {
  /** The rule that a start violates if its sender must already have read the cancellation. */
  static final String RULE = "started_cancelled";

  /** Starts whose order was in flight when the user got the confirmation. */
  int inFlight;

  /** Starts whose order was sent after the confirmation, and the longest time between the two. */
  int sentAfterConfirmation;

  long maxDelayMs;

  private final SimCluster cluster;

  StartsAfterCancellation(SimCluster cluster) {
    this.cluster = cluster;
  }

  /** A run order took effect. */
  void onStart(SimWorker worker, Task task) {
    Long confirmedAt = cluster.checks.cancelConfirmedAt.get(task.spec.ref());
    if (confirmedAt == null) {
      return;
    }
    long delayMs = task.orderSentAt - confirmedAt;
    if (delayMs <= 0) {
      inFlight++;
      return;
    }
    sentAfterConfirmation++;
    maxDelayMs = Math.max(maxDelayMs, delayMs);
    // A controller starts no tasks while its view of the records is older than this.
    if (delayMs > Constants.MAX_STALENESS_MS) {
      cluster.checks.recordViolation(
          RULE,
          task.name + " on " + worker.host + ": ordered " + delayMs + " ms after the confirmation");
    }
  }
}
