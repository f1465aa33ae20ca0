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

/** Machines: the leader rents and leases them; a shard's holder returns them. */
final class Supply {
  private static final Logger LOG = LoggerFactory.getLogger(Supply.class);

  /** The name of the record of all machine types. */
  private static final String ALL = "all";

  private final ClusterState world;
  private final Membership members;
  private final Ledger ledger;
  private final Cloud cloud;
  private final MachineDiscovery discovery;
  private final MachineList list;
  private final Renting renting;
  private final Consolidation consolidation;
  private final MachineReleaser releaser;
  private long nextTypes;
  private boolean recordingTypes;
  private long nextInLineUntil;
  private long soonUntil;
  private List<String> silentMachines = List.of();

  Supply(
      ClusterState world,
      Membership members,
      WorkerProtocol workers,
      Ledger ledger,
      Cloud cloud,
      Demand demand,
      MachineDiscovery discovery) {
    this.world = world;
    this.members = members;
    this.ledger = ledger;
    this.cloud = cloud;
    this.discovery = discovery;
    this.list = new MachineList(world, members, workers.probe, cloud, discovery);
    ZoneOutageDetector zones = new ZoneOutageDetector(world, members);
    this.renting = new Renting(world, members, cloud, demand, discovery, zones);
    this.consolidation = new Consolidation(world, workers.commands, demand, renting);
    this.releaser =
        new MachineReleaser(
            world, workers.reports, workers.probe, cloud, discovery, consolidation, zones);
  }

  // ---- types ----

  /** Every node learns the types from the record; who knows none asks the cloud. */
  void typesTick() {
    if (members.isLeader()
        && !recordingTypes
        && !world.machineTypes.isEmpty()
        && world.replica.get(Replica.TYPES, ALL) == null) {
      recordTypes();
    }
    if (world.now() < nextTypes || (!members.isLeader() && !world.machineTypes.isEmpty())) {
      return;
    }
    nextTypes = world.now() + (world.machineTypes.isEmpty() ? 2000 : Constants.TYPES_MS);
    cloud.call(
        false,
        "GET",
        Wire.MACHINE_TYPES,
        null,
        (status, body) -> {
          List<MachineType> types =
              status == 200 && body != null ? ClusterState.parseMachineTypes(body) : List.of();
          if (types.isEmpty()) {
            LOG.info("machine types not to be had: {}", status);
            nextTypes = world.now() + 2000;
            return;
          }
          boolean first = world.machineTypes.isEmpty();
          world.setMachineTypes(types);
          if (members.isLeader() && first) {
            recordTypes();
          }
        });
  }

  /**
   * As urgent as who holds what: without the types no other controller accepts any job, and the
   * cloud need not answer them all. It is written again until the record is there.
   */
  private void recordTypes() {
    recordingTypes = true;
    world.store.commit(
        Urgency.HANDS,
        members
            .guardAsLeader(new Txn())
            .put(
                Wire.key(Replica.TYPES, ALL),
                MachineType.toNode(List.copyOf(world.machineTypes.values()))),
        result -> {
          recordingTypes = false;
          LOG.debug("types recorded: {}", result.outcome());
        });
  }

  // ---- the leader ----

  void leaderTick() {
    discovery.tick();
    recordShares();
    list.tick();
    if (!world.machineTypes.isEmpty() && world.feed.stalenessMs() < Constants.STALE_MS) {
      renting.tick();
      renting.helpReplicas();
      renting.helpStarved();
    }
    ledger.sweep();
  }

  /** The first lease holder gets each team's whole limit; shares move by their holders alone. */
  private void recordShares() {
    List<String> holders = members.leasedShards();
    if (holders.isEmpty()) {
      return;
    }
    Txn txn = members.guardAsLeader(new Txn());
    for (Settings.Team team : world.settings.teams().values()) {
      String key = Wire.key(Replica.SHARES, team.name());
      if (world.replica.get(Replica.SHARES, team.name()) == null
          && txn.size() < world.settings.txnOps()) {
        ObjectNode share = Cbor.map();
        share
            .putObject(holders.get(0))
            .put("cpu", team.limit().cpu())
            .put("gpu", team.limit().gpu());
        txn.guard(key, 0).put(key, share);
      }
    }
    if (txn.size() > 0) {
      world.store.commit(
          Urgency.HANDS, txn, result -> LOG.debug("shares recorded: {}", result.outcome()));
    }
  }

  // ---- the holder ----

  void findMachines() {
    list.findMachines();
  }

  /** We are first in line to hold machines, perhaps at once: where they are is looked up ahead. */
  void lookAhead(boolean soon) {
    nextInLineUntil = world.now() + 2 * Constants.SUPPLY_MS;
    soonUntil = soon ? nextInLineUntil : soonUntil;
    if (soon) {
      cloud.rate(world.settings.cloudRps() * cloudPart());
    }
    list.lookAhead(soon);
  }

  /** Machines of ours that do not serve, as of the last second. */
  List<String> silentMachines() {
    return silentMachines;
  }

  void holderTick() {
    silentMachines = renting.silentMachines();
    renting.hearOthers();
    cloud.rate(world.settings.cloudRps() * cloudPart());
    if (world.feed.stalenessMs() > Constants.STALE_MS || world.ownedShards.isEmpty()) {
      return;
    }
    releaser.tick();
    consolidation.tick();
  }

  /**
   * Our part of the cloud's rate. Who has just taken machines over and does not lead yet must look
   * up where they are at once, and so must who is about to; the next in line looks them up now and
   * then, the others want next to nothing.
   */
  private double cloudPart() {
    List<String> holders = members.leasedShards();
    long ours = holders.stream().filter(world::owns).count();
    if (members.isLeader()) {
      return ours == holders.size() ? Constants.CLOUD_ALL_PART : Constants.CLOUD_HALF_PART;
    }
    if (ours > 0) {
      return Constants.CLOUD_HALF_PART * ours / holders.size();
    }
    if (world.now() < soonUntil) {
      return Constants.CLOUD_HALF_PART;
    }
    double standby = 1 - Constants.CLOUD_ALL_PART;
    return world.now() < nextInLineUntil ? standby : standby / members.names().size();
  }
}
