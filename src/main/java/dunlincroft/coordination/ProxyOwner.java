package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.WorkerOrder;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.protocol.WorkerReport.TaskReport;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Answers heartbeats on behalf of an owner that is gone while the state service is unavailable and
 * no other controller can acquire the shard: running tasks continue, cancelled tasks are stopped,
 * and nothing starts.
 *
 * <p>Such an answer renews the worker's lease. The end of a lease guarantees only that cancelled
 * tasks end in time. Answers are therefore given for as long as the low watermark of cancellations
 * allows, which is the rule for an owner, too.
 *
 * <p>A start sent by the owner may still be delayed in flight, and would be executed in the session
 * that now continues. A start is sent only under a fence up to which its sender has read the state
 * service, so no start of a cancelled job was sent under a fence above the revision of the
 * cancellation. The fence of the answer is no lower than any cancellation that is known here, which
 * makes all such starts void. It is not above the revision of the state service: the stamp of the
 * next change of ownership is higher, and an owner that returns rewrites its block to raise its
 * fence.
 */
final class ProxyOwner {
  private final ClusterState cluster;
  private final Membership membership;

  /**
   * Jobs that peers reported as cancelled, with the time of the report. An entry is kept until the
   * records have been read at a later time.
   */
  private final Map<String, Long> cancelledJobs = new HashMap<>();

  /** Machines whose workers this node answers in the present outage; it goes on with them. */
  private final Set<String> answeredHosts = new HashSet<>();

  ProxyOwner(ClusterState cluster, Membership membership) {
    this.cluster = cluster;
    this.membership = membership;
  }

  /** Handles a cancellation that a peer reported. */
  void onCancelled(String job) {
    cancelledJobs.values().removeIf(receivedAt -> receivedAt < cluster.feed.currentAsOf());
    cancelledJobs.put(job, cluster.now());
  }

  /**
   * Whether to answer a worker's report on behalf of its owner: no other controller can, and our
   * knowledge of cancellations is recent enough.
   */
  boolean canAnswer(WorkerReport report, BlockIndex.Block block) {
    if (!isCommonOutage()) {
      answeredHosts.clear();
      return false;
    }
    String shard = block.record().shard();
    long recordedFence = Math.max(block.stamp(), cluster.replica.stamp(Replica.SHARDS, shard));
    // An owner raises fences up to the revision that it has read; a higher one is a stand-in's,
    // under which the owner can give no orders.
    boolean isAboveOwner = report.fence() > Math.max(recordedFence, cluster.replica.revision());
    boolean hasNoOtherOwner =
        isAboveOwner || answeredHosts.contains(report.host()) || !membership.isOwnerAlive(shard);
    return hasNoOtherOwner && membership.cancellationLagMs() <= cluster.maxCancellationLagMs();
  }

  /**
   * Whether the owner is gone and, as far as this controller knows, no other can acquire the shard.
   * A redirect to the owner would bring the worker back, so it should try all other controllers.
   */
  boolean hasNoReachableOwner(String shard) {
    return isCommonOutage() && !membership.isOwnerAlive(shard);
  }

  /**
   * Whether the state service is unavailable to all controllers. If only this one is refused or cut
   * off, it must not answer for others: another controller acquires the shard and must receive the
   * heartbeats of its workers.
   */
  private boolean isCommonOutage() {
    return cluster.feed.stalenessMs() > Constants.MAX_STALENESS_MS && membership.isCommonOutage();
  }

  /** The answer to a worker: orders to stop cancelled tasks. All other tasks continue. */
  ObjectNode answer(WorkerReport report) {
    List<WorkerOrder> orders =
        report.tasks().stream()
            .filter(task -> !task.hasExited() && isCancelled(task))
            .limit(Constants.MAX_ORDERS_PER_MESSAGE)
            .map(task -> WorkerOrder.kill(task.id(), task.attempt(), 0))
            .toList();
    cluster.metrics.count(Metrics.Event.STOOD_IN);
    answeredHosts.add(report.host());
    return WorkerOrder.body(
        Math.max(report.fence(), membership.highestCancellationRevision()), orders);
  }

  private boolean isCancelled(TaskReport task) {
    return cancelledJobs.containsKey(task.job())
        || cluster.replica.get(Replica.CANCELS, task.job()) != null
        || cluster.replica.get(Replica.ENDED, task.job()) != null;
  }
}
