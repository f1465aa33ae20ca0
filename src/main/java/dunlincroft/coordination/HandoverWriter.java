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

  private final ClusterState world;

  HandoverWriter(ClusterState world) {
    this.world = world;
  }

  /**
   * Writes one handover.
   *
   * @param what the handover, as operators read it in the log
   * @param then runs once the outcome is certain, whatever it is
   */
  void commit(Txn txn, String what, Runnable then) {
    commit(txn, false, what, then);
  }

  private void commit(Txn txn, boolean doubt, String what, Runnable then) {
    world.store.commit(
        Urgency.HANDS,
        txn,
        result -> {
          switch (result.outcome()) {
            case OK -> {
              LOG.info("handed over: {}", what);
              world.metrics.count(Figures.Event.HANDOVER);
              then.run();
            }
            case CONFLICT -> awaitReplica(what, then);
            default -> {
              boolean open = doubt || result.outcome() == Txn.Outcome.UNKNOWN;
              if (open) {
                world.env.after(Constants.HANDOVER_RETRY_MS, () -> commit(txn, true, what, then));
              } else {
                then.run();
              }
            }
          }
        });
  }

  private void awaitReplica(String what, Runnable then) {
    world.feed.barrier(
        ok -> {
          if (ok) {
            LOG.info("not handed over, or with an answer lost: {}", what);
            then.run();
          } else {
            world.env.after(Constants.HANDOVER_RETRY_MS, () -> awaitReplica(what, then));
          }
        });
  }
}
