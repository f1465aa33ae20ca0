package dunlincroft.sim;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.function.ObjLongConsumer;

/**
 * Every kind of fault that tests inject for some time. A fault of one controller hits the one that
 * owns the first leased shard at that moment. The order is part of the tests: they choose faults by
 * index.
 */
enum InjectedFault {
  STATE_OUTAGE((cluster, ms) -> cluster.state.outage(ms)),
  STATE_REFUSES_OWNER(SimCluster::refuseStateToOwner),
  STATE_SLOW((cluster, ms) -> cluster.slowStateService(30, ms)),
  LATE_WRITES((cluster, ms) -> cluster.delayWrites(0.3, ms)),
  /** Writes are executed at once and visible to other readers, but their answers are lost. */
  LOST_ANSWERS(
      (cluster, ms) -> cluster.loseAnswers(EnumSet.allOf(LostAnswers.Kind.class), 0.3, ms)),
  LATE_WRITES_AND_FAST_BOOTS(
      (cluster, ms) -> {
        cluster.cloud.bootMs = 600;
        cluster.delayWrites(0.3, ms);
        cluster.preemptSpotMachines(6);
        cluster.clock.after(ms, () -> cluster.cloud.bootMs = 2000);
      }),
  OWNER_CUT_FROM_STATE(SimCluster::cutOwnerFromState),
  OWNER_CUT_FROM_CONTROLLERS(SimCluster::cutOwnerFromControllers),
  OWNER_CUT_FROM_WORKERS(SimCluster::cutOwnerFromWorkers),
  PEER_CONNECTIONS_REFUSED(SimCluster::refusePeerConnections),
  OWNER_CRASHES((cluster, ms) -> cluster.crashOwner(ms)),
  OWNER_RESTARTS((cluster, ms) -> cluster.crashOwner(100 + ms % 300)),
  ALL_CRASH((cluster, ms) -> cluster.crashAll(4000)),
  ALL_RESTART((cluster, ms) -> cluster.crashAll(100 + ms % 300)),
  ALL_CRASH_ONE_RESTARTS(
      (cluster, ms) -> {
        int one = (int) (ms % cluster.nodeCount());
        for (int node = 0; node < cluster.nodeCount(); node++) {
          cluster.crash(node, node == one ? 200 : ms);
        }
      }),
  ROLLING_CRASHES(
      (cluster, ms) -> {
        for (int node = 0; node < cluster.nodeCount(); node++) {
          int each = node;
          cluster.clock.after(node * ms / 5, () -> cluster.crash(each, 2000));
        }
      }),
  TEN_LEADER_CHANGES((cluster, ms) -> cluster.crashBusiestRepeatedly(10, 4000, 100 + ms % 2500)),
  OWNER_PAUSED(SimCluster::pauseOwner),
  ALL_PAUSED((cluster, ms) -> cluster.pauseAll(Math.min(ms, 6000))),
  OWNER_UNRESPONSIVE(SimCluster::crashOwnerSilently),
  ZONE_PARTITIONED((cluster, ms) -> cluster.cutZone(cluster.zoneWithoutOwner(), ms)),
  OWNER_ZONE_PARTITIONED((cluster, ms) -> cluster.cutZone(cluster.ownerZone(), ms)),
  MACHINES_UNREACHABLE(
      (cluster, ms) ->
          busiestMachines(cluster).forEach(worker -> cluster.cutWorkerFromControllers(worker, ms))),
  MACHINES_HANG((cluster, ms) -> busiestMachines(cluster).forEach(worker -> worker.hang(ms))),
  MACHINES_WITHOUT_INBOUND(
      (cluster, ms) -> busiestMachines(cluster).forEach(worker -> worker.loseInbound(ms))),
  MACHINES_RESTART(
      (cluster, ms) -> busiestMachines(cluster).forEach(worker -> worker.restart(200))),
  MACHINES_TERMINATED(
      (cluster, ms) ->
          busiestMachines(cluster)
              .forEach(
                  worker -> {
                    cluster.cloud.machines.remove(worker.host);
                    worker.terminate();
                  })),
  SPOT_PREEMPTIONS((cluster, ms) -> cluster.preemptSpotMachines(8)),
  DUPLICATE_HEARTBEATS((cluster, ms) -> cluster.duplicateHeartbeats(0.3, ms)),
  LATE_HEARTBEATS_FOR_NEXT_OWNER(
      (cluster, ms) -> {
        cluster.delayedHeartbeats.copyForNextOwner(0.3, ms);
        cluster.delayedHeartbeats.delayForNextOwner(0.05, ms);
      }),

  /**
   * Where several controllers own machines, another controller acquires the shard and returns it
   * after a while.
   */
  SHARD_ACQUIRED_AND_RETURNED((cluster, ms) -> cluster.crashLastOwner(2000)),
  CLOUD_DOWN(SimCluster::cutCloud),
  REQUEST_BURSTS((cluster, ms) -> cluster.requestBursts.enableFor(ms)),
  UNUSUAL_REQUESTS((cluster, ms) -> cluster.unusualRequests.enableFor(ms)),
  CANCEL_AT_END((cluster, ms) -> cluster.requestBursts.cancelAtEnd(0.5, ms)),
  MACHINES_WITHOUT_OUTBOUND(
      (cluster, ms) -> busiestMachines(cluster).forEach(worker -> worker.blockOutbound(ms))),
  LATE_COMMANDS((cluster, ms) -> cluster.delayCommands(0.4, ms)),
  CANCEL_RUNNING_JOBS((cluster, ms) -> cluster.cancelRunningJobs(12, ms));

  private final ObjLongConsumer<SimCluster> injection;

  InjectedFault(ObjLongConsumer<SimCluster> injection) {
    this.injection = injection;
  }

  /** Injects the fault now, for {@code ms} if it is one that lasts. */
  void inject(SimCluster cluster, long ms) {
    injection.accept(cluster, ms);
  }

  /** The four machines with the most tasks. */
  static List<SimWorker> busiestMachines(SimCluster cluster) {
    return cluster.cloud.machines.values().stream()
        .sorted(Comparator.comparingInt(worker -> -worker.tasks.size()))
        .limit(4)
        .toList();
  }
}
