package dunlincroft.sim;

import dunlincroft.Constants;
import dunlincroft.sim.SimWorker.Task;

/**
 * Starts that took effect after a user was told that the job is cancelled. Those whose order was in
 * flight at that moment are allowed for {@code cancel_s}; an order that left later came from a
 * controller that had not read the cancellation yet, which it must have soon.
 */
final class StartsAfterCancellation {
  /** The rule that a start breaks whose sender must have known better. */
  static final String RULE = "started_cancelled";

  /** Starts whose order was on its way when the user was told. */
  int inFlight;

  /** Starts whose order left after that, and the latest that one did. */
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
    // A controller starts nothing whose picture of the records is older than this.
    if (delayMs > Constants.MAX_STALENESS_MS) {
      cluster.checks.recordViolation(
          RULE, task.name + " on " + worker.host + ": ordered " + delayMs + " ms after the word");
    }
  }
}
