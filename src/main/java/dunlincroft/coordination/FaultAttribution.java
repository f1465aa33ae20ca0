package dunlincroft.coordination;

import dunlincroft.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells faulty machines from faulty jobs by the tasks that fail, and by those that run. */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  private final ClusterState cluster;
  private final Ledger placementLog;

  FaultAttribution(ClusterState cluster, Ledger placementLog) {
    this.cluster = cluster;
    this.placementLog = placementLog;
  }

  void onRanWell(Placement placement) {
    if (placement.job.ranWell()) {
      LOG.info(
          "job {} runs on host {}: it is not faulty", placement.job.id, placement.machine.host);
      placementLog.dirty(placement.job, placement.task, false);
    }
  }

  /**
   * Is it the machine or the job? A job that ran elsewhere speaks against the machine with each of
   * its tasks. One that has not run yet may fail everywhere, many tasks at once: all of them say no
   * more than one, and only so many such jobs together speak against the machine.
   */
  void onFailure(Machine machine, Placement placement) {
    JobRun job = placement.job;
    boolean wasFaulty = job.faulty;
    if (job.failed(machine.host, cluster.now())) {
      machine.consecutiveFailures++;
    }
    if (job.faulty) {
      machine.failedJobs.remove(job.id);
    } else {
      machine.failedJobs.add(job.id);
    }
    if (job.faulty && !wasFaulty) {
      LOG.info(
          "job {} has failed on {} machines and run on none: one task at a time from here on",
          job.id,
          Constants.JOB_FAULTY_AFTER);
      cluster.machines.values().forEach(other -> other.failedJobs.remove(job.id));
    }
    boolean isMachineFaulty =
        machine.consecutiveFailures >= Constants.SICK_AFTER
            || machine.failedJobs.size() >= Constants.SICK_AFTER;
    if (isMachineFaulty && machine.drainReason == null && canDrainFaulty()) {
      LOG.info(
          "host {} failed {} tasks of jobs that ran elsewhere, and {} jobs in all, in a row: taken"
              + " for sick, draining",
          machine.host,
          machine.consecutiveFailures,
          machine.failedJobs.size());
      machine.drainReason = "sick";
      machine.placements.values().forEach(other -> other.job.halt(other));
    }
  }

  /** A wrong guess must do no harm: at most an eighth of the machines are replaced at a time. */
  private boolean canDrainFaulty() {
    long faultyMachines =
        cluster.machines.values().stream().filter(m -> "sick".equals(m.drainReason)).count();
    return faultyMachines < Math.max(1, cluster.machines.size() / 8);
  }
}
