package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.conditions.Condition.CutOffAction;
import dunlincroft.conditions.Decision;
import dunlincroft.protocol.Wire;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Applies start conditions to jobs: when their tasks may start, which records guard a start, and
 * when tasks must have ended. Does nothing while no condition is active.
 */
final class StartConditions {
  private final ClusterState cluster;

  StartConditions(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Whether a job may start tasks now. Withdraws starts that were decided under other guards and
   * are not recorded yet.
   */
  boolean mayStart(JobRun job) {
    if (!cluster.conditions.active()) {
      return true;
    }
    Decision decision = cluster.conditions.decide(job.spec);
    if (!decision.guards().equals(job.startGuards)) {
      job.markUnrecordedForStop();
      job.startGuards = decision.guards();
    }
    job.deadlineMs = decision.deadlineMs();
    job.noLateStart = decision.noLateStart();
    job.migrationSides = decision.sides();
    return decision.startAllowed();
  }

  /**
   * Whether the records that a job's starts were decided by are unchanged, as far as the replica
   * shows.
   */
  boolean guardsHold(JobRun job) {
    for (Map.Entry<String, Long> guard : job.startGuards.entrySet()) {
      if (cluster.replica.stampOf(guard.getKey()) != guard.getValue()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Moves one replica of a service to its migration side: one at a time, while all others run and a
   * machine of its side has free capacity. A task can be on one machine only, so the replica is
   * unavailable until it has started again. Tasks of batch arrays run to their end where they are.
   * Tasks that do not run yet are moved at once. Returns how many tasks are to be stopped.
   */
  private int moveOneReplica(JobRun job, Set<Machine> machinesWithStops) {
    Placement candidate = null;
    boolean allRunning = job.waitingTaskCount() == 0;
    for (Placement p : job.placed.values()) {
      boolean running = Wire.RUNNING.equals(p.reportedStatus) && !p.stopRequested;
      allRunning &= running;
      if (!p.stopRequested && !job.isOnAssignedSide(p)) {
        if (!running) {
          job.markForStop(p);
          machinesWithStops.add(p.machine);
          return 1;
        }
        candidate = candidate == null ? p : candidate;
      }
    }
    if (candidate == null
        || !allRunning
        || !job.spec.isService()
        || !hasCapacityToMove(job, candidate)) {
      return 0;
    }
    job.markForStop(candidate);
    machinesWithStops.add(candidate.machine);
    return 1;
  }

  /** Whether a machine of a replica's migration side has free capacity for it. */
  private boolean hasCapacityToMove(JobRun job, Placement p) {
    job.filterBySide(job.migrationSides.sideOf(p.task));
    boolean found = false;
    for (Machine machine : cluster.machines.values()) {
      boolean zoneAllowed =
          machine.zone.equals(p.machine.zone)
              || job.tasksPerZone.getInt(machine.zone) < job.spec.maxTasksPerZone();
      found |=
          zoneAllowed
              && cluster.isUsable(machine)
              && cluster.allows(job, machine)
              && job.matchesSideFilter(machine)
              && job.spec.resources().fitsInto(machine.free());
    }
    job.filterBySide(-1);
    return found;
  }

  /**
   * Stops tasks whose start conditions have ended: those that do not run yet in any case, running
   * ones as their condition demands. Also moves replicas to their migration side. Returns the
   * machines on which tasks are to be stopped.
   */
  Set<Machine> stopEnded() {
    Set<Machine> machinesWithStops = new LinkedHashSet<>();
    if (!cluster.conditions.active()) {
      return machinesWithStops;
    }
    int movesLeft = Constants.MAX_CONCURRENT_MOVES;
    for (JobRun job : cluster.jobs.values()) {
      if (!job.placed.isEmpty() && mayStart(job) && job.migrationSides != null && movesLeft > 0) {
        movesLeft -= moveOneReplica(job, machinesWithStops);
      }
      CutOffAction end = job.placed.isEmpty() ? null : cluster.conditions.cutOffAction(job.spec);
      job.applyConditionEnd(end);
      if (end == null || job.cancelled) {
        continue;
      }
      for (Placement p : job.placed.values()) {
        boolean started =
            Wire.RUNNING.equals(p.reportedStatus) || Wire.SAVING.equals(p.reportedStatus);
        if (!p.stopRequested && (!started || end != CutOffAction.FINISH)) {
          job.markForStop(p);
          machinesWithStops.add(p.machine);
        }
      }
    }
    return machinesWithStops;
  }
}
