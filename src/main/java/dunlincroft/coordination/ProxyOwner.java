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
final class ProxyOwner {
  private final ClusterState clusterState;
  private final Membership membership;

  /** Jobs that others told us are cancelled, and when, until we have read the records since. */
  private final Map<String, Long> cancelledJobs = new HashMap<>();

  ProxyOwner(ClusterState clusterState, Membership membership) {
    this.clusterState = clusterState;
    this.membership = membership;
  }

  /** Another controller handed a cancellation to us. */
  void onCancelled(String job) {
    cancelledJobs.values().removeIf(receivedAt -> receivedAt < clusterState.feed.currentAsOf());
    cancelledJobs.put(job, clusterState.now());
  }

  /** Whether a worker's report is ours to answer: nobody else can, and our knowledge is enough. */
  boolean canAnswer(WorkerReport report, BlockIndex.Block block) {
    if (!isCommonOutage()) {
      return false;
    }
    String shard = block.record().shard();
    long recordedFence = Math.max(block.stamp(), clusterState.replica.stamp(Replica.SHARDS, shard));
    boolean hasNoOtherOwner = report.fence() > recordedFence || !membership.isOwnerAlive(shard);
    return hasNoOtherOwner && membership.cancellationLagMs() <= clusterState.maxCancellationLagMs();
  }

  /**
   * Whether the holder is gone and, as far as we hear, nobody can follow it: sent there, a worker
   * would come back, and it had better try all others.
   */
  boolean hasNoReachableOwner(String shard) {
    return isCommonOutage() && !membership.isOwnerAlive(shard);
  }

  /**
   * Who alone is refused or cut off does not stand in: somebody else takes the shard over, and must
   * hear from its workers.
   */
  private boolean isCommonOutage() {
    return clusterState.feed.stalenessMs() > Constants.STALE_MS && membership.isCommonOutage();
  }

  /** What a worker is told: to stop what is cancelled, and else to go on. */
  ObjectNode answer(WorkerReport report) {
    List<Order> orders =
        report.pieces().stream()
            .filter(task -> !task.exited() && isCancelled(task))
            .limit(Constants.MAX_ORDERS)
            .map(task -> Order.kill(task.id(), task.attempt(), 0))
            .toList();
    clusterState.metrics.count(Metrics.Event.STOOD_IN);
    return Order.body(Math.max(report.fence(), membership.highestCancellationRevision()), orders);
  }

  private boolean isCancelled(Piece task) {
    return cancelledJobs.containsKey(task.job())
        || clusterState.replica.get(Replica.CANCELS, task.job()) != null
        || clusterState.replica.get(Replica.ENDED, task.job()) != null;
  }
}
