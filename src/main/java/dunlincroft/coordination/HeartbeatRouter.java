package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.transport.Responder;
import java.util.ArrayList;
import java.util.List;

/**
 * Answers the heartbeats of all workers: those of our own machines with orders, others with the way
 * to the owner of their shard. Workers whose shard is between two owners wait for a while.
 */
final class HeartbeatRouter {
  private static final int MISDIRECTED = 421;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ClusterState clusterState;
  private final Membership membership;
  private final HeartbeatHandler heartbeatHandler;
  private final FenceRaiser fenceRaiser;
  private final MachineDiscovery discovery;
  private final ProxyOwner proxyOwner;

  /** A report whose machine's shard is between two holders. */
  private record PendingHeartbeat(WorkerReport report, Responder out, long receivedAt) {}

  private final List<PendingHeartbeat> pendingHeartbeats = new ArrayList<>();

  HeartbeatRouter(
      ClusterState clusterState,
      Membership membership,
      WorkerProtocol workerProtocol,
      MachineDiscovery discovery,
      ProxyOwner proxyOwner) {
    this.clusterState = clusterState;
    this.membership = membership;
    this.heartbeatHandler = workerProtocol.heartbeats;
    this.fenceRaiser = workerProtocol.fences;
    this.discovery = discovery;
    this.proxyOwner = proxyOwner;
  }

  /** Answers a worker: orders from the holder of its machine's shard, or the way there. */
  void answer(WorkerReport report, Responder out) {
    answer(report, out, clusterState.now());
  }

  private void answer(WorkerReport report, Responder out, long receivedAt) {
    if (!clusterState.feed.synced()) {
      respondUnavailable(UnavailableCause.NOT_SYNCED, out);
      return;
    }
    BlockIndex.Block block = clusterState.blocks.blockOf(report.host());
    if (block == null) {
      handleUnknownMachine(report, out);
      return;
    }
    String shard = block.record().shard();
    Machine machine = clusterState.machines.get(report.host());
    if (clusterState.owns(shard) && machine != null) {
      // A cancellation that some user was told and we do not know of could outlast its time.
      if (membership.cancellationLagMs() > clusterState.maxCancellationLagMs()) {
        respondUnavailable(UnavailableCause.UNSURE_OF_CANCELS, out);
        return;
      }
      ObjectNode answer = heartbeatHandler.answer(machine, report);
      if (answer != null) {
        out.send(200, Cbor.bytes(answer), 0);
        return;
      }
      clusterState.feed.barrier(ok -> fenceRaiser.raiseAbove(report.host(), report.fence()));
    }
    if (proxyOwner.canAnswer(report, block)) {
      out.send(200, Cbor.bytes(proxyOwner.answer(report)), 0);
      return;
    }
    if (clusterState.owns(shard) && machine != null) {
      out.send(MISDIRECTED, Cbor.bytes(Cbor.map()), 0);
      return;
    }
    if (proxyOwner.hasNoReachableOwner(shard)) {
      redirect(null, out);
      return;
    }
    String owner = membership.ownerOf(shard);
    boolean ownedByPeer = owner != null && !owner.equals(clusterState.settings.node());
    if (ownedByPeer && receivedAt == clusterState.now()) {
      clusterState.endpoints.put(report.host(), report.endpoint());
      if (membership.recordRedirect(report.host(), shard)) {
        StatusQuery.query(
            clusterState.env,
            report.host(),
            report.endpoint(),
            answer -> {
              if (answer.isFromHost()) {
                membership.reportUnreachable(report.host(), shard);
              }
            });
      }
    }
    if (membership.isOwnerChanging(shard)
        && clusterState.now() - receivedAt < Constants.HELLO_WAIT_MS) {
      // Sent to a node that is gone it would lose five seconds, and perhaps come here again.
      pendingHeartbeats.add(new PendingHeartbeat(report, out, receivedAt));
    } else {
      redirect(ownedByPeer ? owner : null, out);
    }
  }

  private void respondUnavailable(UnavailableCause cause, Responder out) {
    clusterState.metrics.countUnavailable(Metrics.RequestType.WORKER, cause);
    out.send(503, EMPTY_BODY, 0);
  }

  private static void redirect(String ownerName, Responder out) {
    ObjectNode body = Cbor.map();
    if (ownerName != null) {
      body.put("steward", ownerName);
    }
    out.send(MISDIRECTED, Cbor.bytes(body), 0);
  }

  /** Looks again at workers that wait for their shard to change hands. */
  void retryPending() {
    if (!pendingHeartbeats.isEmpty()) {
      List<PendingHeartbeat> retried = List.copyOf(pendingHeartbeats);
      pendingHeartbeats.clear();
      retried.forEach(pending -> answer(pending.report, pending.out, pending.receivedAt));
    }
  }

  private void handleUnknownMachine(WorkerReport report, Responder out) {
    if (membership.isLeader()) {
      discovery.onReport(report);
      respondUnavailable(UnavailableCause.NEW_MACHINE, out);
      return;
    }
    redirect(membership.leader(), out);
  }
}
