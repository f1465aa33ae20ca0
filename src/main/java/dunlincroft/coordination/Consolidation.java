package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Resources;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains machines that are not needed, the most expensive kind first, so that they can be returned
 * to the cloud.
 */
final class Consolidation {
  private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

  private final ClusterState cluster;
  private final DirectCommands commands;
  private final Demand demand;
  private final MachineProvisioner provisioner;
  private long nextConsolidationMs;

  Consolidation(
      ClusterState cluster,
      DirectCommands commands,
      Demand demand,
      MachineProvisioner provisioner) {
    this.cluster = cluster;
    this.commands = commands;
    this.demand = demand;
    this.provisioner = provisioner;
  }

  /**
   * Compares supply with demand for each machine type, starts and cancels drains accordingly, and
   * evicts the tasks that remain on draining machines.
   */
  void tick() {
    Map<String, Demand.MachineDemand> needs = demand.smoothedDemand();
    Set<String> neededHosts = provisioner.assessReplicas().reservedHosts();
    for (MachineType type : cluster.machineTypes.values()) {
      Demand.MachineDemand need = needs.getOrDefault(type.label(), new Demand.MachineDemand());
      MachineProvisioner.MachineCounts counts = provisioner.countMachines(type.label());
      List<Machine> draining = new ArrayList<>();
      List<Machine> spare = new ArrayList<>();
      int ownedCount = 0;
      for (Machine machine : cluster.machines.values()) {
        if (!type.label().equals(machine.typeLabel)) {
          continue;
        }
        ownedCount += machine.blockStamp > 0 ? 1 : 0;
        if (neededHosts.contains(machine.host)) {
          keepForReplica(machine);
        } else if (machine.drainReason == DrainReason.SURPLUS) {
          draining.add(machine);
        } else if (!machine.drainReason.isDraining()
            && machine.targetShard == null
            && machine.session.hasReported()
            && !machine.hasService()) {
          spare.add(machine);
        }
      }
      long onDemandDraining = draining.stream().filter(machine -> !machine.preemptible).count();
      // Every shard owner computes the same surplus: each drains the fraction that corresponds to
      // its part of the machines.
      double ownedFraction = (double) ownedCount / Math.max(1, counts.leasedCount());
      int excess =
          (int)
                  ((counts.onDemandCount()
                          + counts.preemptibleCount()
                          - demand.onDemandTarget(type, need)
                          - need.preemptible)
                      * ownedFraction)
              - draining.size();
      double onDemandExcess =
          (counts.onDemandCount() - demand.onDemandTarget(type, need)) * ownedFraction
              - onDemandDraining;
      int onDemandToDrain = (int) onDemandExcess;
      if (excess < 0) {
        draining.stream()
            .filter(machine -> machine.lifecycle == MachineLifecycle.IN_USE)
            .limit(-excess)
            .forEach(
                machine -> {
                  machine.drainReason = machine.drainReason.onNeeded();
                  cluster.placementDue = true;
                });
        continue;
      }
      spare.sort(
          Comparator.comparing((Machine m) -> m.preemptible)
              .thenComparingLong(m -> m.used().cpu()));
      for (Machine machine : spare) {
        if (excess < 1 || (!machine.preemptible && onDemandToDrain < 1)) {
          continue;
        }
        excess--;
        onDemandToDrain -= machine.preemptible ? 0 : 1;
        LOG.info("host {} is not needed: draining", machine.host);
        machine.drainReason = machine.drainReason.onSurplus();
      }
      boolean noSpareOnDemand = spare.stream().allMatch(machine -> machine.preemptible);
      if (noSpareOnDemand && excess >= 1 && onDemandExcess >= Constants.MIN_CONSOLIDATION_EXCESS) {
        consolidate(type);
      }
    }
    cluster.machines.values().stream()
        .filter(m -> m.drainReason == DrainReason.SURPLUS)
        .forEach(this::evictLastTasks);
  }

  /**
   * Cancels the drain of a machine on which a waiting replica is expected to be placed, whatever
   * the total counts say.
   */
  private void keepForReplica(Machine machine) {
    if (machine.drainReason == DrainReason.SURPLUS
        && machine.lifecycle == MachineLifecycle.IN_USE) {
      machine.drainReason = machine.drainReason.onNeeded();
      cluster.placementDue = true;
    }
  }

  /**
   * Evicts the last tasks of a draining machine if all of them can save their state and so lose
   * next to nothing: they would run for minutes more, each keeping a machine that is billed as a
   * whole.
   */
  private void evictLastTasks(Machine machine) {
    if (!machine.placements.isEmpty()
        && isPastMinimumBilling(machine)
        && machine.placements.values().stream()
            .allMatch(placement -> takesSnapshots(placement) && isMovable(placement))) {
      LOG.info(
          "host {} is not needed: its {} tasks save and move",
          machine.host,
          machine.placements.size());
      evictAll(machine);
    }
  }

  /**
   * Stops all tasks of a draining machine; they become eligible for placement as soon as they have
   * left it.
   */
  private void evictAll(Machine machine) {
    for (Placement placement : machine.placements.values()) {
      placement.job.markForStop(placement);
      cluster.metrics.count(Metrics.Event.MOVE);
    }
    commands.push(machine);
  }

  private static boolean takesSnapshots(Placement placement) {
    return placement.job.spec.snapshotIntervalS() > 0;
  }

  private boolean isMovable(Placement placement) {
    return Wire.RUNNING.equals(placement.reportedStatus)
        && cluster.now() - placement.placedAtMs > Constants.MIN_RUN_BEFORE_MOVE_MS
        && !placement.stopRequested;
  }

  /**
   * Evicts the least used machine that runs services. Services run until their users end them and
   * would occupy nearly empty machines for hours. A machine qualifies only if every task on it fits
   * on another machine at once, for services one that already has the image, so that the
   * interruption is short. One machine is evicted at a time.
   */
  private void consolidate(MachineType type) {
    if (cluster.now() < nextConsolidationMs) {
      return;
    }
    cluster.machines.values().stream()
        .filter(machine -> machine.typeLabel.equals(type.label()) && !machine.preemptible)
        .filter(
            machine ->
                cluster.isUsable(machine) && machine.hasService() && isPastMinimumBilling(machine))
        .filter(machine -> machine.placements.values().stream().allMatch(this::isMovable))
        .filter(this::fitsElsewhere)
        .min(Comparator.comparingLong(machine -> machine.used().cpu()))
        .ifPresent(
            machine -> {
              LOG.info(
                  "host {} is not needed: its {} tasks move to machines with room",
                  machine.host,
                  machine.placements.size());
              nextConsolidationMs = cluster.now() + Constants.CONSOLIDATION_INTERVAL_MS;
              machine.drainReason = machine.drainReason.onSurplus();
              evictAll(machine);
            });
  }

  private boolean fitsElsewhere(Machine machine) {
    Map<Machine, Resources> free = new HashMap<>();
    for (Placement placement : machine.placements.values()) {
      JobSpec spec = placement.job.spec;
      if (!spec.isService() && !takesSnapshots(placement)) {
        return false;
      }
      Machine target =
          cluster.machines.values().stream()
              .filter(other -> other != machine && other.shard.equals(machine.shard))
              .filter(other -> cluster.isUsable(other) && cluster.allows(placement.job, other))
              .filter(other -> placement.job.migrationSides == null)
              .filter(
                  other ->
                      !spec.isService()
                          || other.imageState(spec.image()) == Machine.ImageState.CACHED)
              .filter(
                  other -> !spec.isService() || other.leavesZoneFailoverCapacity(spec.resources()))
              .filter(
                  other ->
                      other.zone.equals(machine.zone)
                          || placement.job.tasksPerZone.getInt(other.zone) < spec.maxTasksPerZone())
              .filter(other -> spec.resources().fitsInto(free.getOrDefault(other, other.free())))
              .findFirst()
              .orElse(null);
      if (target == null) {
        return false;
      }
      free.put(target, free.getOrDefault(target, target.free()).minus(spec.resources()));
    }
    return true;
  }

  /** Whether the minimum billing period is over; returning a machine earlier saves nothing. */
  boolean isPastMinimumBilling(Machine machine) {
    return cluster.env.wallMillis() - machine.rentedAtWallMs >= Constants.MIN_RENTAL_MS;
  }
}
