package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits a handover until its outcome is certain, and reports the end only once our replica shows
 * it: a first try without an answer may be applied late, and must not meet us using what it gave
 * away.
 */
final class HandoverWriter {
  private static final Logger LOG = LoggerFactory.getLogger(HandoverWriter.class);

  private final ClusterState cluster;

  HandoverWriter(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Writes one handover.
   *
   * @param description the handover, as operators read it in the log
   * @param onSettled runs once the outcome is certain, whatever it is
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
              LOG.info("handed over: {}", description);
              cluster.metrics.count(Figures.Event.HANDOVER);
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
            LOG.info("not handed over, or with an answer lost: {}", description);
            onSettled.run();
          } else {
            cluster.env.after(
                Constants.HANDOVER_RETRY_MS, () -> awaitReplica(description, onSettled));
          }
        });
  }
}
