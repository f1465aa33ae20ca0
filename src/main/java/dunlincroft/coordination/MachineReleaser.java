package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.BlockRecord;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A shard's holder returns machines that are dead, sick, noticed, late or empty and not needed. A
 * release answered 200 is the proof that lets tasks move.
 */
final class MachineReleaser {
  private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);

  private final ClusterState world;
  private final ReportHandler reports;
  private final MachineProbe probe;
  private final Cloud cloud;
  private final MachineDiscovery discovery;
  private final Consolidation consolidation;
  private final ZoneOutageDetector zones;
  private final Set<String> recording = new HashSet<>();
  private boolean releasing;
  private final long suspectMs;

  MachineReleaser(
      ClusterState world,
      ReportHandler reports,
      MachineProbe probe,
      Cloud cloud,
      MachineDiscovery discovery,
      Consolidation consolidation,
      ZoneOutageDetector zones) {
    this.world = world;
    this.reports = reports;
    this.probe = probe;
    this.cloud = cloud;
    this.discovery = discovery;
    this.consolidation = consolidation;
    this.zones = zones;
    this.suspectMs = world.reportIntervalsMs(Constants.SUSPECT_REPORTS);
  }

  void tick() {
    zones.tick();
    List<Machine> release = new ArrayList<>();
    for (Machine machine : world.machines.values()) {
      String why = whyRelease(machine);
      boolean room = !releasing && release.size() < Constants.MAX_RELEASE;
      if (why != null && machine.lifecycle == MachineLifecycle.IN_USE && room) {
        LOG.info(
            "host {} is released: {}; {} tasks on it", machine.host, why, machine.placed.size());
        world.metrics.count(Figures.Event.RELEASE);
        release.add(machine);
      }
    }
    if (!release.isEmpty()) {
      release(release);
    }
    recordReleased();
  }

  private String whyRelease(Machine machine) {
    long silent = zones.silentMs(machine);
    if (machine.blockStamp == 0) {
      return "no block names it";
    }
    if ("failed".equals(machine.draining)) {
      return "failed";
    }
    if (machine.draining != null && machine.empty() && machine.session.hasReported()) {
      return machine.draining.equals(Consolidation.SURPLUS) && !consolidation.paid(machine)
          ? null
          : machine.draining;
    }
    if (silent > suspectMs) {
      if (machine.session.onSilence()) {
        world.metrics.count(Figures.Event.SUSPECT);
        LOG.info("host {} is suspected: silent for {} ms, asked directly", machine.host, silent);
      }
      probe.probe(machine);
    }
    if (machine.session.hasReported() || !machine.placed.isEmpty()) {
      return silent > zones.releaseAfterMs(machine) && zones.isAnyMachineReachable()
          ? (machine.session.deaf() ? "deaf, without an answer for " : "silent for ")
              + silent
              + " ms"
          : null;
    }
    double startup = machine.type == null ? 60 : machine.type.startupS();
    double boot = startup * 1000 * Constants.BOOT_FACTOR + Constants.BOOT_EXTRA_MS;
    boolean late =
        world.env.wallMillis() - machine.hiredAtWall > boot && silent > Constants.BOOT_EXTRA_MS;
    return late ? "never came up" : null;
  }

  private void release(List<Machine> machines) {
    releasing = true;
    ObjectNode body = Cbor.map();
    for (Machine machine : machines) {
      machine.lifecycle = machine.lifecycle.onReleaseAsked();
      machine.draining = machine.draining == null ? "released" : machine.draining;
      body.withArray("hosts").add(machine.host);
      discovery.gone(machine.host);
    }
    cloud.call(
        true,
        "POST",
        Wire.RELEASE,
        body,
        (status, answer) -> {
          releasing = false;
          for (Machine machine : machines) {
            if (status == 200) {
              released(machine); // It stays unusable until its block shows it no longer.
            } else {
              machine.lifecycle = machine.lifecycle.onReleaseFailed();
            }
          }
          recordReleased();
          if (status != 200) {
            LOG.info("release of {} machines not carried out: {}", machines.size(), status);
          }
        });
  }

  /** The cloud's word: the machine and all that was on it are gone. */
  private void released(Machine machine) {
    if (machine.lifecycle == MachineLifecycle.DROPPED) {
      return;
    }
    for (Placement p : List.copyOf(machine.placed.values())) {
      reports.clear(p, "released");
    }
    machine.lifecycle = machine.lifecycle.onReleaseConfirmed();
    if (machine.blockStamp == 0 || world.blocks.blockOf(machine.host) == null) {
      world.onMachineReleased(machine);
    }
  }

  /**
   * Takes released machines out of their blocks: a change for each block, however many they are.
   */
  private void recordReleased() {
    Map<BlockIndex.Block, List<String>> gone = new LinkedHashMap<>();
    for (Machine machine : world.machines.values()) {
      BlockIndex.Block block =
          machine.lifecycle == MachineLifecycle.RELEASED
              ? world.blocks.blockOf(machine.host)
              : null;
      if (block != null && !recording.contains(block.name())) {
        gone.computeIfAbsent(block, b -> new ArrayList<>()).add(machine.host);
      }
    }
    gone.forEach(
        (block, hosts) -> {
          String shard = block.record().shard();
          String key = Wire.key(Replica.BLOCKS, block.name());
          BlockRecord left = block.record().without(hosts);
          Txn txn =
              new Txn()
                  .guard(Wire.key(Replica.SHARDS, shard), world.ownedShards.getLong(shard))
                  .guard(key, block.stamp());
          if (left.hosts().isEmpty()) {
            txn.remove(key);
          } else {
            txn.put(key, left.toNode());
          }
          recording.add(block.name());
          world.store.commit(
              Urgency.HANDS,
              txn,
              result -> {
                recording.remove(block.name());
                LOG.debug(
                    "{} released machines leave block {}: {}",
                    hosts.size(),
                    block.name(),
                    result.outcome());
              });
        });
  }
}
