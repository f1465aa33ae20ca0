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
 * Releases machines of this node's shards that are dead, faulty, about to be preempted by the
 * cloud, overdue at boot, or empty and not needed. A release that the cloud answers with 200 proves
 * that the machine's tasks have ended and may be started elsewhere.
 */
final class MachineReleaser {
  private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);

  private final ClusterState cluster;
  private final ReportHandler reports;
  private final MachineProbe probe;
  private final CloudClient cloud;
  private final MachineDiscovery discovery;
  private final Consolidation consolidation;
  private final ZoneOutageDetector zoneOutages;
  private final Set<String> blocksInCommit = new HashSet<>();
  private boolean isReleasing;
  private final long suspectAfterMs;

  MachineReleaser(
      ClusterState cluster,
      ReportHandler reports,
      MachineProbe probe,
      CloudClient cloud,
      MachineDiscovery discovery,
      Consolidation consolidation,
      ZoneOutageDetector zoneOutages) {
    this.cluster = cluster;
    this.reports = reports;
    this.probe = probe;
    this.cloud = cloud;
    this.discovery = discovery;
    this.consolidation = consolidation;
    this.zoneOutages = zoneOutages;
    this.suspectAfterMs = cluster.reportIntervalsMs(Constants.SUSPECT_REPORT_INTERVALS);
  }

  /**
   * Releases the machines for which there is a reason, and removes released ones from their blocks.
   */
  void tick() {
    zoneOutages.tick();
    List<Machine> toRelease = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      String reason = releaseReason(machine);
      boolean hasBatchSpace = !isReleasing && toRelease.size() < Constants.MAX_RELEASE_MACHINES;
      if (reason != null && machine.lifecycle == MachineLifecycle.IN_USE && hasBatchSpace) {
        LOG.info(
            "host {} is released: {}; {} tasks on it",
            machine.host,
            reason,
            machine.placements.size());
        cluster.metrics.count(Metrics.Event.RELEASE);
        toRelease.add(machine);
      }
    }
    if (!toRelease.isEmpty()) {
      release(toRelease);
    }
    recordReleased();
  }

  /** Why a machine has to be released now, or null. Queries machines that have become silent. */
  private String releaseReason(Machine machine) {
    long silenceMs = zoneOutages.silentMs(machine);
    if (machine.blockStamp == 0) {
      return "not named by any block record";
    }
    if (machine.drainReason == DrainReason.STOPPED) {
      return machine.drainReason.toString();
    }
    if (machine.drainReason.isDraining() && machine.hasNoTasks() && machine.session.hasReported()) {
      return machine.drainReason == DrainReason.SURPLUS
              && !consolidation.isPastMinimumBilling(machine)
          ? null
          : machine.drainReason.toString();
    }
    if (silenceMs > suspectAfterMs) {
      if (machine.session.onSilence()) {
        cluster.metrics.count(Metrics.Event.SUSPECT);
        LOG.info(
            "host {} is suspected: silent for {} ms, querying it directly",
            machine.host,
            silenceMs);
      }
      probe.probe(machine);
    }
    if (machine.session.hasReported() || !machine.placements.isEmpty()) {
      return silenceMs > zoneOutages.releaseAfterMs(machine) && zoneOutages.isAnyMachineReachable()
          ? (machine.session.isUnreachable() ? "unreachable, no answer for " : "silent for ")
              + silenceMs
              + " ms"
          : null;
    }
    double usualBootS = machine.type == null ? 60 : machine.type.startupS();
    double bootTimeoutMs =
        usualBootS * 1000 * Constants.BOOT_TIMEOUT_FACTOR + Constants.BOOT_EXTRA_MS;
    boolean isOverdue =
        cluster.env.wallMillis() - machine.rentedAtWallMs > bootTimeoutMs
            && silenceMs > Constants.BOOT_EXTRA_MS;
    return isOverdue ? "never came up" : null;
  }

  private void release(List<Machine> machines) {
    isReleasing = true;
    ObjectNode body = Cbor.map();
    for (Machine machine : machines) {
      machine.lifecycle = machine.lifecycle.onReleaseAsked();
      body.withArray("hosts").add(machine.host);
      discovery.markReleased(machine.host);
    }
    cloud.call(
        true,
        "POST",
        Wire.RELEASE_MACHINES,
        body,
        (status, answer) -> {
          isReleasing = false;
          for (Machine machine : machines) {
            if (status == 200) {
              onReleased(machine); // Remains unusable until its block no longer names it.
            } else {
              machine.lifecycle = machine.lifecycle.onReleaseFailed();
            }
          }
          recordReleased();
          if (status != 200) {
            LOG.info("release of {} machines not confirmed: status {}", machines.size(), status);
          }
        });
  }

  /** Handles a confirmed release: the machine and everything that ran on it are gone. */
  private void onReleased(Machine machine) {
    if (machine.lifecycle == MachineLifecycle.DROPPED) {
      return;
    }
    for (Placement placement : List.copyOf(machine.placements.values())) {
      reports.removePlacement(placement, "released");
    }
    machine.lifecycle = machine.lifecycle.onReleaseConfirmed();
    if (machine.blockStamp == 0 || cluster.blocks.blockOf(machine.host) == null) {
      cluster.onMachineReleased(machine);
    }
  }

  /** Removes released machines from their block records, with one write per block. */
  private void recordReleased() {
    Map<BlockIndex.Block, List<String>> releasedHosts = new LinkedHashMap<>();
    for (Machine machine : cluster.machines.values()) {
      BlockIndex.Block block =
          machine.lifecycle == MachineLifecycle.RELEASED
              ? cluster.blocks.blockOf(machine.host)
              : null;
      if (block != null && !blocksInCommit.contains(block.name())) {
        releasedHosts.computeIfAbsent(block, b -> new ArrayList<>()).add(machine.host);
      }
    }
    releasedHosts.forEach(
        (block, hosts) -> {
          String shard = block.record().shard();
          String key = Wire.key(Replica.BLOCKS, block.name());
          BlockRecord remaining = block.record().without(hosts);
          Txn txn =
              new Txn()
                  .guard(Wire.key(Replica.SHARDS, shard), cluster.ownedShards.getLong(shard))
                  .guard(key, block.stamp());
          if (remaining.hosts().isEmpty()) {
            txn.remove(key);
          } else {
            txn.put(key, remaining.toNode());
          }
          blocksInCommit.add(block.name());
          cluster.store.commit(
              Urgency.HANDS,
              txn,
              result -> {
                blocksInCommit.remove(block.name());
                LOG.debug(
                    "removed {} released machines from block {}: {}",
                    hosts.size(),
                    block.name(),
                    result.outcome());
              });
        });
  }
}
