package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Empties machines that are not needed, the dearest kind first, so that they can be returned. */
final class Consolidation {
  private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

  /** Why such a machine drains. */
  static final String SURPLUS = "surplus";

  private final ClusterState world;
  private final DirectCommands commands;
  private final Demand demand;
  private final Renting renting;
  private long nextConsolidation;

  Consolidation(ClusterState world, DirectCommands commands, Demand demand, Renting renting) {
    this.world = world;
    this.commands = commands;
    this.demand = demand;
    this.renting = renting;
  }

  /** Empties and returns what is not needed, the dearest kind first. */
  void tick() {
    Map<String, Demand.MachineDemand> needs = demand.smoothedDemand();
    Set<String> countedOn = renting.replicas().reservedHosts();
    for (MachineType type : world.machineTypes.values()) {
      Demand.MachineDemand need = needs.getOrDefault(type.label(), new Demand.MachineDemand());
      Renting.Have have = renting.have(type.label());
      List<Machine> draining = new ArrayList<>();
      List<Machine> spare = new ArrayList<>();
      int ours = 0;
      for (Machine machine : world.machines.values()) {
        if (!type.label().equals(machine.flavour)) {
          continue;
        }
        ours += machine.blockStamp > 0 ? 1 : 0;
        if (countedOn.contains(machine.host)) {
          keep(machine);
        } else if (SURPLUS.equals(machine.draining)) {
          draining.add(machine);
        } else if (machine.draining == null
            && machine.moveTo == null
            && machine.session.hasReported()
            && !machine.hasDaemon()) {
          spare.add(machine);
        }
      }
      long dear = draining.stream().filter(machine -> !machine.lendable).count();
      // Several holders see the same surplus: each returns its part of it.
      double part = (double) ours / Math.max(1, have.blocks());
      int overAll =
          (int)
                  ((have.ordinary()
                          + have.cheap()
                          - demand.onDemandTarget(type, need)
                          - need.preemptible)
                      * part)
              - draining.size();
      double dearOver = (have.ordinary() - demand.onDemandTarget(type, need)) * part - dear;
      int overDear = (int) dearOver;
      if (overAll < 0) {
        draining.stream()
            .filter(machine -> machine.lifecycle == MachineLifecycle.IN_USE)
            .limit(-overAll)
            .forEach(
                machine -> {
                  machine.draining = null;
                  world.placementDue = true;
                });
        continue;
      }
      spare.sort(
          Comparator.comparing((Machine m) -> m.lendable).thenComparingLong(m -> m.used().cpu()));
      for (Machine machine : spare) {
        if (overAll < 1 || (!machine.lendable && overDear < 1)) {
          continue;
        }
        overAll--;
        overDear -= machine.lendable ? 0 : 1;
        LOG.info("host {} is not needed: draining", machine.host);
        machine.draining = SURPLUS;
      }
      boolean dearest = spare.stream().allMatch(machine -> machine.lendable);
      if (dearest && overAll >= 1 && dearOver >= Constants.CONSOLIDATE_OVER) {
        consolidate(type);
      }
    }
    world.machines.values().stream().filter(m -> SURPLUS.equals(m.draining)).forEach(this::clear);
  }

  /** A replica waits that has room there: the machine is needed, whatever the numbers say. */
  private void keep(Machine machine) {
    if (SURPLUS.equals(machine.draining) && machine.lifecycle == MachineLifecycle.IN_USE) {
      machine.draining = null;
      world.placementDue = true;
    }
  }

  /**
   * The last tasks on a machine that is not needed move if all of them lose next to nothing: they
   * run for minutes, and each keeps a machine that is paid for whole.
   */
  private void clear(Machine machine) {
    if (!machine.placed.isEmpty()
        && paid(machine)
        && machine.placed.values().stream().allMatch(p -> saves(p) && movable(p))) {
      LOG.info(
          "host {} is not needed: its {} tasks save and move", machine.host, machine.placed.size());
      move(machine);
    }
  }

  /** Stops the tasks of a machine that drains: they wait again as soon as they are off it. */
  private void move(Machine machine) {
    for (Placement p : machine.placed.values()) {
      p.job.halt(p);
      world.metrics.count(Figures.Event.MOVE);
    }
    commands.push(machine);
  }

  private static boolean saves(Placement p) {
    return p.job.spec.snapshotS() > 0;
  }

  private boolean movable(Placement p) {
    return Wire.RUNNING.equals(p.reportedStatus)
        && world.now() - p.placedAtMs > Constants.MOVE_AFTER_MS
        && !p.stopRequested;
  }

  /**
   * Services end when their users say so and would hold nearly empty machines for hours. The least
   * used machine of theirs is emptied when every one of them has room at once, elsewhere and with
   * its image there, so that it is away for a moment only. One machine at a time.
   */
  private void consolidate(MachineType type) {
    if (world.now() < nextConsolidation) {
      return;
    }
    world.machines.values().stream()
        .filter(machine -> machine.flavour.equals(type.label()) && !machine.lendable)
        .filter(machine -> world.isUsable(machine) && machine.hasDaemon() && paid(machine))
        .filter(machine -> machine.placed.values().stream().allMatch(this::movable))
        .filter(this::fitsElsewhere)
        .min(Comparator.comparingLong(machine -> machine.used().cpu()))
        .ifPresent(
            machine -> {
              LOG.info(
                  "host {} is not needed: its {} tasks move to machines with room",
                  machine.host,
                  machine.placed.size());
              nextConsolidation = world.now() + Constants.CONSOLIDATE_MS;
              machine.draining = SURPLUS;
              move(machine);
            });
  }

  private boolean fitsElsewhere(Machine machine) {
    Map<Machine, Room> free = new HashMap<>();
    for (Placement p : machine.placed.values()) {
      JobSpec spec = p.job.spec;
      if (!spec.daemon() && !saves(p)) {
        return false;
      }
      Machine to =
          world.machines.values().stream()
              .filter(other -> other != machine && other.shard.equals(machine.shard))
              .filter(other -> world.isUsable(other) && world.allows(p.job, other))
              .filter(other -> p.job.sides == null)
              .filter(other -> !spec.daemon() || other.warmth(spec.bundle()) == Machine.Warmth.WARM)
              .filter(other -> !spec.daemon() || other.leavesRoomForAZone(spec.room()))
              .filter(
                  other ->
                      other.hall.equals(machine.hall)
                          || p.job.perZone.getInt(other.hall) < spec.zoneMost())
              .filter(other -> spec.room().fits(free.getOrDefault(other, other.free())))
              .findFirst()
              .orElse(null);
      if (to == null) {
        return false;
      }
      free.put(to, free.getOrDefault(to, to.free()).minus(spec.room()));
    }
    return true;
  }

  /** Whether the time is over that costs as much when the machine is returned. */
  boolean paid(Machine machine) {
    return world.env.wallMillis() - machine.hiredAtWall >= Constants.PAID_MS;
  }
}
