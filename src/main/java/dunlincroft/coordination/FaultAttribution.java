package dunlincroft.coordination;

import dunlincroft.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Distinguishes faulty machines from faulty jobs by the tasks that fail and those that run. */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  private final ClusterState cluster;
  private final PlacementLog placementLog;

  FaultAttribution(ClusterState cluster, PlacementLog placementLog) {
    this.cluster = cluster;
    this.placementLog = placementLog;
  }

  /** A task has run for a while or to its end. */
  void onRanWell(Placement placement) {
    if (placement.job.onTaskRan()) {
      LOG.info(
          "job {} runs on host {}: it is not faulty", placement.job.id, placement.machine.host);
      placementLog.markDirty(placement.job, placement.task, false);
    }
  }

  /**
   * A task has failed. If its job has run elsewhere, each failed task counts against the machine. A
   * job that has not run yet may fail everywhere, with many tasks at once: all its failures
   * together count as one, and only several such jobs count against the machine.
   */
  void onFailure(Machine machine, Placement placement) {
    JobRun job = placement.job;
    boolean wasFaulty = job.faulty;
    if (job.onTaskFailed(machine.host, cluster.now())) {
      machine.consecutiveFailures++;
    }
    if (job.faulty) {
      machine.failedJobs.remove(job.id);
    } else {
      machine.failedJobs.put(job.id, cluster.now());
    }
    if (job.faulty && !wasFaulty) {
      LOG.info(
          "job {} has failed on {} machines and run on none: one task at a time from now on",
          job.id,
          Constants.FAULTY_JOB_MACHINES);
      cluster.machines.values().forEach(other -> other.failedJobs.remove(job.id));
    }
    boolean isMachineFaulty =
        machine.consecutiveFailures >= Constants.FAULTY_MACHINE_FAILURES
            || machine.failedJobs.size() >= Constants.FAULTY_MACHINE_FAILURES;
    if (isMachineFaulty && !machine.drainReason.isDraining() && canDrainFaulty()) {
      LOG.info(
          "host {} failed {} tasks of jobs that ran elsewhere, and {} jobs in all, consecutively:"
              + " taken for sick, draining",
          machine.host,
          machine.consecutiveFailures,
          machine.failedJobs.size());
      machine.drainReason = machine.drainReason.onSickness();
      machine.placements.values().forEach(other -> other.job.markForStop(other));
    }
  }

  /**
   * Limits the damage of a wrong diagnosis: at most an eighth of the machines are replaced at a
   * time.
   */
  private boolean canDrainFaulty() {
    long faultyMachines =
        cluster.machines.values().stream().filter(m -> m.drainReason == DrainReason.SICK).count();
    return faultyMachines < Math.max(1, cluster.machines.size() / 8);
  }
}
