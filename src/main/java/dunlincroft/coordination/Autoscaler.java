package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Wire;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adjusts the number of machines to the demand: the leader rents machines and leases them to
 * shards, the owner of a shard releases them.
 */
final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

  /** Name of the record of all machine types. */
  private static final String ALL_TYPES = "all";

  private final ClusterState cluster;
  private final Membership membership;
  private final PlacementLog placementLog;
  private final CloudClient cloud;
  private final MachineDiscovery discovery;
  private final MachineList machineList;
  private final MachineProvisioner provisioner;
  private final Consolidation consolidation;
  private final MachineReleaser releaser;
  private long nextTypeQueryMs;
  private boolean isRecordingTypes;

  /** Until when this node counts as the next in line to acquire a shard with machines. */
  private long standbyUntilMs;

  /** Until when such a takeover counts as imminent. */
  private long takeoverImminentUntilMs;

  private List<String> silentMachines = List.of();

  Autoscaler(
      ClusterState cluster,
      Membership membership,
      WorkerProtocol workers,
      PlacementLog placementLog,
      CloudClient cloud,
      Demand demand,
      MachineDiscovery discovery) {
    this.cluster = cluster;
    this.membership = membership;
    this.placementLog = placementLog;
    this.cloud = cloud;
    this.discovery = discovery;
    this.machineList = new MachineList(cluster, membership, workers.probe, cloud, discovery);
    ZoneOutageDetector zoneOutages = new ZoneOutageDetector(cluster, membership);
    this.provisioner =
        new MachineProvisioner(cluster, membership, cloud, demand, discovery, zoneOutages);
    this.consolidation = new Consolidation(cluster, workers.commands, demand, provisioner);
    this.releaser =
        new MachineReleaser(
            cluster, workers.reports, workers.probe, cloud, discovery, consolidation, zoneOutages);
  }

  // ---- types ----

  /**
   * Keeps the machine types current. All nodes read them from the record that the leader writes;
   * the leader, and a node that knows none, query the cloud.
   */
  void refreshTypes() {
    if (membership.isLeader()
        && !isRecordingTypes
        && !cluster.machineTypes.isEmpty()
        && cluster.replica.get(Replica.TYPES, ALL_TYPES) == null) {
      recordTypes();
    }
    if (cluster.now() < nextTypeQueryMs
        || (!membership.isLeader() && !cluster.machineTypes.isEmpty())) {
      return;
    }
    nextTypeQueryMs =
        cluster.now()
            + (cluster.machineTypes.isEmpty() ? 2000 : Constants.MACHINE_TYPES_REFRESH_MS);
    cloud.call(
        false,
        "GET",
        Wire.MACHINE_TYPES,
        null,
        (status, body) -> {
          List<MachineType> types =
              status == 200 && body != null ? ClusterState.parseMachineTypes(body) : List.of();
          if (types.isEmpty()) {
            LOG.info("machine types are unavailable: status {}", status);
            nextTypeQueryMs = cluster.now() + 2000;
            return;
          }
          boolean isFirst = cluster.machineTypes.isEmpty();
          cluster.setMachineTypes(types);
          if (membership.isLeader() && isFirst) {
            recordTypes();
          }
        });
  }

  /**
   * Records the machine types, with the same urgency as shard ownership: without them no other
   * controller accepts any job, and the cloud may not answer all controllers. The write is repeated
   * until the record exists.
   */
  private void recordTypes() {
    isRecordingTypes = true;
    cluster.store.commit(
        Urgency.HANDS,
        membership
            .guardAsLeader(new Txn())
            .put(
                Wire.key(Replica.TYPES, ALL_TYPES),
                MachineType.toNode(List.copyOf(cluster.machineTypes.values()))),
        result -> {
          isRecordingTypes = false;
          LOG.debug("machine types recorded: {}", result.outcome());
        });
  }

  // ---- the leader ----

  /** Periodic work of the leader. */
  void leaderTick() {
    discovery.tick();
    recordShares();
    machineList.tick();
    if (!cluster.machineTypes.isEmpty()
        && cluster.feed.stalenessMs() < Constants.MAX_STALENESS_MS) {
      provisioner.tick();
      provisioner.provisionForReplicas();
      provisioner.provisionForStarved();
    }
    placementLog.removeOrphanedPages();
  }

  /**
   * Creates the records of team limit shares: the first shard with block leases gets the whole
   * limit of each team. After that only the owners of shards transfer shares.
   */
  private void recordShares() {
    List<String> shards = membership.leasedShards();
    if (shards.isEmpty()) {
      return;
    }
    Txn txn = membership.guardAsLeader(new Txn());
    for (Settings.Team team : cluster.settings.teams().values()) {
      String key = Wire.key(Replica.SHARES, team.name());
      if (cluster.replica.get(Replica.SHARES, team.name()) == null
          && txn.size() < cluster.settings.maxTxnOps()) {
        ObjectNode share = Cbor.map();
        share
            .putObject(shards.get(0))
            .put("cpu", team.limit().cpu())
            .put("gpu", team.limit().gpu());
        txn.guard(key, 0).put(key, share);
      }
    }
    if (txn.size() > 0) {
      cluster.store.commit(
          Urgency.HANDS,
          txn,
          result -> LOG.debug("team limit shares recorded: {}", result.outcome()));
    }
  }

  // ---- the owner of shards ----

  /** Looks up the endpoints of machines that this node has just acquired. */
  void locateMachines() {
    machineList.locateMachines();
  }

  /**
   * This node is next in line to acquire a shard with machines, possibly at once: prefetches their
   * endpoints.
   */
  void prefetchEndpoints(boolean takeoverImminent) {
    standbyUntilMs = cluster.now() + 2 * Constants.AUTOSCALING_INTERVAL_MS;
    takeoverImminentUntilMs = takeoverImminent ? standbyUntilMs : takeoverImminentUntilMs;
    if (takeoverImminent) {
      cloud.setRate(cluster.settings.cloudRps() * cloudRateFraction());
    }
    machineList.prefetchEndpoints(takeoverImminent);
  }

  /** Machines of this node that do not serve, as of the last second. */
  List<String> silentMachines() {
    return silentMachines;
  }

  /** Periodic work of every controller, mostly for the shards that it owns. */
  void ownerTick() {
    silentMachines = provisioner.silentMachines();
    provisioner.refreshSilentOnPeers();
    cloud.setRate(cluster.settings.cloudRps() * cloudRateFraction());
    if (cluster.feed.stalenessMs() > Constants.MAX_STALENESS_MS || cluster.ownedShards.isEmpty()) {
      return;
    }
    releaser.tick();
    consolidation.tick();
  }

  /**
   * Fraction of the cloud's request rate that this node may use. A node that has just acquired
   * machines and does not lead yet must look up their endpoints at once, and so must a node that is
   * about to acquire some; the next in line looks them up occasionally, and the others need next to
   * nothing.
   */
  private double cloudRateFraction() {
    List<String> shards = membership.leasedShards();
    long ownedCount = shards.stream().filter(cluster::owns).count();
    if (membership.isLeader()) {
      return ownedCount == shards.size()
          ? Constants.FULL_CLOUD_RATE_FRACTION
          : Constants.HALF_CLOUD_RATE_FRACTION;
    }
    if (ownedCount > 0) {
      return Constants.HALF_CLOUD_RATE_FRACTION * ownedCount / shards.size();
    }
    if (cluster.now() < takeoverImminentUntilMs) {
      return Constants.HALF_CLOUD_RATE_FRACTION;
    }
    double standbyFraction = 1 - Constants.FULL_CLOUD_RATE_FRACTION;
    return cluster.now() < standbyUntilMs
        ? standbyFraction
        : standbyFraction / membership.names().size();
  }
}
