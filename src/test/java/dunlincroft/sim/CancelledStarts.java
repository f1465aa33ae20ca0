package dunlincroft.sim;

import dunlincroft.Constants;
import dunlincroft.sim.SimWorker.Task;

/**
 * Starts that took effect after a user was told that the job is cancelled. Those whose order was in
 * flight at that moment are allowed for {@code cancel_s}; an order that left later came from a
 * controller that had not read the cancellation yet, which it must have soon.
 */
final class CancelledStarts {
  /** The rule that a start breaks whose sender must have known better. */
  static final String RULE = "started_cancelled";

  /** Starts whose order was on its way when the user was told. */
  int inFlight;

  /** Starts whose order left after that, and the latest that one did. */
  int leftAfter;

  long latestMs;

  private final SimCluster cluster;

  CancelledStarts(SimCluster cluster) {
    this.cluster = cluster;
  }

  /** A run order took effect. */
  void started(SimWorker worker, Task task) {
    Long told = cluster.checks.toldCancelled.get(task.spec.ref());
    if (told == null) {
      return;
    }
    long after = task.orderLeftAt - told;
    if (after <= 0) {
      inFlight++;
      return;
    }
    leftAfter++;
    latestMs = Math.max(latestMs, after);
    // A controller starts nothing whose picture of the records is older than this.
    if (after > Constants.MAX_STALENESS_MS) {
      cluster.checks.broke(
          RULE, task.piece + " on " + worker.host + ": ordered " + after + " ms after the word");
    }
  }
}
