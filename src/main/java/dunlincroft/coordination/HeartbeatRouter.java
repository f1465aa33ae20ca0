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
 * Answers the heartbeats of all workers: with orders if this controller owns the machine's shard,
 * otherwise with a redirect to its owner. While the ownership of the shard is changing, the
 * heartbeat is held for a limited time.
 */
final class HeartbeatRouter {
  private static final int MISDIRECTED = 421;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ClusterState cluster;
  private final Membership membership;
  private final HeartbeatHandler heartbeatHandler;
  private final FenceRaiser fenceRaiser;
  private final MachineDiscovery discovery;
  private final ProxyOwner proxyOwner;

  /** A heartbeat that is held because the ownership of its machine's shard is changing. */
  private record PendingHeartbeat(WorkerReport report, Responder out, long receivedAt) {}

  private final List<PendingHeartbeat> pendingHeartbeats = new ArrayList<>();

  HeartbeatRouter(
      ClusterState cluster,
      Membership membership,
      WorkerProtocol workerProtocol,
      MachineDiscovery discovery,
      ProxyOwner proxyOwner) {
    this.cluster = cluster;
    this.membership = membership;
    this.heartbeatHandler = workerProtocol.heartbeats;
    this.fenceRaiser = workerProtocol.fences;
    this.discovery = discovery;
    this.proxyOwner = proxyOwner;
  }

  /**
   * Answers a worker with orders if this controller owns its machine's shard, otherwise with a
   * redirect to the owner.
   */
  void answer(WorkerReport report, Responder out) {
    answer(report, out, cluster.now());
  }

  private void answer(WorkerReport report, Responder out, long receivedAt) {
    if (!cluster.feed.synced()) {
      respondUnavailable(UnavailableCause.NOT_SYNCED, out);
      return;
    }
    BlockIndex.Block block = cluster.blocks.blockOf(report.host());
    if (block == null) {
      handleUnknownMachine(report, out);
      return;
    }
    String shard = block.record().shard();
    Machine machine = cluster.machines.get(report.host());
    if (cluster.owns(shard) && machine != null) {
      // A cancellation that was reported to a user may not be known here. Renewing the lease could
      // let its tasks run beyond the time within which a cancelled job must end.
      if (membership.cancellationLagMs() > cluster.maxCancellationLagMs()) {
        respondUnavailable(UnavailableCause.UNSURE_OF_CANCELS, out);
        return;
      }
      ObjectNode answer = heartbeatHandler.answer(machine, report);
      if (answer != null) {
        out.send(200, Cbor.bytes(answer), 0);
        return;
      }
      cluster.feed.barrier(ok -> fenceRaiser.raiseAbove(report.host(), report.fence()));
    }
    if (proxyOwner.canAnswer(report, block)) {
      out.send(200, Cbor.bytes(proxyOwner.answer(report)), 0);
      return;
    }
    if (cluster.owns(shard) && machine != null) {
      out.send(MISDIRECTED, Cbor.bytes(Cbor.map()), 0);
      return;
    }
    if (proxyOwner.hasNoReachableOwner(shard)) {
      redirect(null, out);
      return;
    }
    String owner = membership.ownerOf(shard);
    boolean ownedByPeer = owner != null && !owner.equals(cluster.settings.nodeName());
    if (ownedByPeer && receivedAt == cluster.now()) {
      cluster.endpoints.put(report.host(), report.endpoint());
      if (membership.recordRedirect(report.host(), shard)) {
        StatusQuery.query(
            cluster.env,
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
        && cluster.now() - receivedAt < Constants.WORKER_HEARTBEAT_WAIT_MS) {
      // A redirect to a controller that is gone would cost the worker five seconds, and the worker
      // might be sent back here.
      pendingHeartbeats.add(new PendingHeartbeat(report, out, receivedAt));
    } else {
      redirect(ownedByPeer ? owner : null, out);
    }
  }

  private void respondUnavailable(UnavailableCause cause, Responder out) {
    cluster.metrics.countUnavailable(Metrics.RequestType.WORKER, cause);
    out.send(503, EMPTY_BODY, 0);
  }

  /** Redirects a worker to a controller; if none is named, the worker tries all others. */
  private static void redirect(String ownerName, Responder out) {
    ObjectNode body = Cbor.map();
    if (ownerName != null) {
      body.put("steward", ownerName);
    }
    out.send(MISDIRECTED, Cbor.bytes(body), 0);
  }

  /**
   * Evaluates the held heartbeats again. Those whose shard is still changing owners remain held.
   */
  void retryPending() {
    if (!pendingHeartbeats.isEmpty()) {
      List<PendingHeartbeat> retried = List.copyOf(pendingHeartbeats);
      pendingHeartbeats.clear();
      retried.forEach(pending -> answer(pending.report, pending.out, pending.receivedAt));
    }
  }

  /** Answers a worker whose machine belongs to no block: the leader adopts such machines. */
  private void handleUnknownMachine(WorkerReport report, Responder out) {
    if (membership.isLeader()) {
      discovery.onReport(report);
      respondUnavailable(UnavailableCause.NEW_MACHINE, out);
      return;
    }
    redirect(membership.leader(), out);
  }
}
