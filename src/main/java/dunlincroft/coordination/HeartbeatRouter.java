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
  private static final byte[] EMPTY = new byte[0];

  private final ClusterState world;
  private final Membership members;
  private final HeartbeatHandler handler;
  private final FenceRaiser fences;
  private final MachineDiscovery discovery;
  private final StandIn standIn;

  /** A report whose machine's shard is between two holders. */
  private record Waiting(WorkerReport report, Responder out, long since) {}

  private final List<Waiting> waiting = new ArrayList<>();

  HeartbeatRouter(
      ClusterState world,
      Membership members,
      WorkerProtocol workers,
      MachineDiscovery discovery,
      StandIn standIn) {
    this.world = world;
    this.members = members;
    this.handler = workers.heartbeats;
    this.fences = workers.fences;
    this.discovery = discovery;
    this.standIn = standIn;
  }

  /** Answers a worker: orders from the holder of its machine's shard, or the way there. */
  void answer(WorkerReport report, Responder out) {
    answer(report, out, world.now());
  }

  private void answer(WorkerReport report, Responder out, long since) {
    if (!world.feed.synced()) {
      unavailable(UnavailableCause.NOT_SYNCED, out);
      return;
    }
    BlockIndex.Block block = world.blocks.blockOf(report.host());
    if (block == null) {
      unknown(report, out);
      return;
    }
    String shard = block.record().shard();
    Machine machine = world.machines.get(report.host());
    if (world.owns(shard) && machine != null) {
      // A cancellation that some user was told and we do not know of could outlast its time.
      if (members.cancellationLagMs() > world.maxCancellationLagMs()) {
        unavailable(UnavailableCause.UNSURE_OF_CANCELS, out);
        return;
      }
      ObjectNode answer = handler.answer(machine, report);
      if (answer != null) {
        out.send(200, Cbor.bytes(answer), 0);
        return;
      }
      world.feed.barrier(ok -> fences.raiseAbove(report.host(), report.fence()));
    }
    if (standIn.answersFor(report, block)) {
      out.send(200, Cbor.bytes(standIn.answer(report)), 0);
      return;
    }
    if (world.owns(shard) && machine != null) {
      out.send(MISDIRECTED, Cbor.bytes(Cbor.map()), 0);
      return;
    }
    if (standIn.nobodyFollows(shard)) {
      away(null, out);
      return;
    }
    String holder = members.ownerOf(shard);
    boolean others = holder != null && !holder.equals(world.settings.node());
    if (others && since == world.now()) {
      world.endpoints.put(report.host(), report.endpoint());
      if (members.recordRedirect(report.host(), shard)) {
        StatusQuery.query(
            world.env,
            report.host(),
            report.endpoint(),
            answer -> {
              if (answer.isFromHost()) {
                members.reportUnreachable(report.host(), shard);
              }
            });
      }
    }
    if (members.isOwnerChanging(shard) && world.now() - since < Constants.HELLO_WAIT_MS) {
      // Sent to a node that is gone it would lose five seconds, and perhaps come here again.
      waiting.add(new Waiting(report, out, since));
    } else {
      away(others ? holder : null, out);
    }
  }

  private void unavailable(UnavailableCause cause, Responder out) {
    world.metrics.turnedAway(Figures.Asker.WORKER, cause);
    out.send(503, EMPTY, 0);
  }

  private static void away(String steward, Responder out) {
    ObjectNode away = Cbor.map();
    if (steward != null) {
      away.put("steward", steward);
    }
    out.send(MISDIRECTED, Cbor.bytes(away), 0);
  }

  /** Looks again at workers that wait for their shard to change hands. */
  void answerWaiting() {
    if (!waiting.isEmpty()) {
      List<Waiting> again = List.copyOf(waiting);
      waiting.clear();
      again.forEach(each -> answer(each.report, each.out, each.since));
    }
  }

  private void unknown(WorkerReport report, Responder out) {
    if (members.isLeader()) {
      discovery.onReport(report);
      unavailable(UnavailableCause.NEW_MACHINE, out);
      return;
    }
    away(members.leader(), out);
  }
}
