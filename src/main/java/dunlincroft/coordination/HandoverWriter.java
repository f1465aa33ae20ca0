package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits a handover and repeats the write until its outcome is certain. Completion is reported
 * only once the local replica shows the result: a first attempt that got no response may be applied
 * late, and this controller must not use by then what it has given away.
 */
final class HandoverWriter {
  private static final Logger LOG = LoggerFactory.getLogger(HandoverWriter.class);

  private final ClusterState cluster;

  HandoverWriter(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Commits one handover.
   *
   * @param description the handover, as shown in the log
   * @param onSettled runs once the outcome is certain, whether the write was applied or not
   */
  void commit(Txn txn, String description, Runnable onSettled) {
    commit(txn, false, description, onSettled);
  }

  private void commit(Txn txn, boolean wasUncertain, String description, Runnable onSettled) {
    cluster.store.commit(
        Urgency.HANDS,
        txn,
        result -> {
          switch (result.outcome()) {
            case OK -> {
              LOG.info("handover committed: {}", description);
              cluster.metrics.count(Metrics.Event.HANDOVER);
              onSettled.run();
            }
            case CONFLICT -> awaitReplica(description, onSettled);
            default -> {
              boolean isUncertain = wasUncertain || result.outcome() == Txn.Outcome.UNKNOWN;
              if (isUncertain) {
                cluster.env.after(
                    Constants.HANDOVER_RETRY_MS, () -> commit(txn, true, description, onSettled));
              } else {
                onSettled.run();
              }
            }
          }
        });
  }

  private void awaitReplica(String description, Runnable onSettled) {
    cluster.feed.barrier(
        ok -> {
          if (ok) {
            LOG.info("handover rejected, or committed with the response lost: {}", description);
            onSettled.run();
          } else {
            cluster.env.after(
                Constants.HANDOVER_RETRY_MS, () -> awaitReplica(description, onSettled));
          }
        });
  }
}
