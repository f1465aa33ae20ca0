package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.Order;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.protocol.WorkerReport.Piece;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Answers workers for a holder that is gone while the state service is down and nobody can take its
 * place: what runs goes on, what is cancelled is stopped, and nothing starts.
 *
 * <p>Such an answer renews a lease, and the end of a lease is a promise of one kind only: that
 * cancelled tasks end in time. So it is given as long as the low watermark allows, as a holder's.
 *
 * <p>A start of the holder may still be held up on its way, and would be carried out in a session
 * that now goes on. Starts leave under fences up to which their sender has read, so none of a
 * cancelled job left under a fence above the cancellation. The answer's fence is no lower than any
 * cancellation that we know of, and with that all such starts are void. It is not above the state
 * service's revision: the stamp of the next change of hands is higher, and a holder that is back
 * writes its block anew.
 */
final class StandIn {
  private final ClusterState world;
  private final Membership members;

  /** Jobs that others told us are cancelled, and when, until we have read the records since. */
  private final Map<String, Long> cancelled = new HashMap<>();

  StandIn(ClusterState world, Membership members) {
    this.world = world;
    this.members = members;
  }

  /** Another controller handed a cancellation to us. */
  void cancelled(String job) {
    cancelled.values().removeIf(toldAt -> toldAt < world.feed.currentAsOf());
    cancelled.put(job, world.now());
  }

  /** Whether a worker's report is ours to answer: nobody else can, and our knowledge is enough. */
  boolean answersFor(WorkerReport report, BlockIndex.Block block) {
    if (!outage()) {
      return false;
    }
    String shard = block.record().shard();
    long recorded = Math.max(block.stamp(), world.replica.stamp(Replica.SHARDS, shard));
    boolean nobodyElse = report.fence() > recorded || !members.isOwnerAlive(shard);
    return nobodyElse && members.cancellationLagMs() <= world.maxCancellationLagMs();
  }

  /**
   * Whether the holder is gone and, as far as we hear, nobody can follow it: sent there, a worker
   * would come back, and it had better try all others.
   */
  boolean nobodyFollows(String shard) {
    return outage() && !members.isOwnerAlive(shard);
  }

  /**
   * Who alone is refused or cut off does not stand in: somebody else takes the shard over, and must
   * hear from its workers.
   */
  private boolean outage() {
    return world.feed.stalenessMs() > Constants.STALE_MS && members.isCommonOutage();
  }

  /** What a worker is told: to stop what is cancelled, and else to go on. */
  ObjectNode answer(WorkerReport report) {
    List<Order> orders =
        report.pieces().stream()
            .filter(piece -> !piece.exited() && isCancelled(piece))
            .limit(Constants.MAX_ORDERS)
            .map(piece -> Order.kill(piece.id(), piece.attempt(), 0))
            .toList();
    world.metrics.count(Figures.Event.STOOD_IN);
    return Order.body(Math.max(report.fence(), members.highestCancellationRevision()), orders);
  }

  private boolean isCancelled(Piece piece) {
    return cancelled.containsKey(piece.job())
        || world.replica.get(Replica.CANCELS, piece.job()) != null
        || world.replica.get(Replica.ENDED, piece.job()) != null;
  }
}
