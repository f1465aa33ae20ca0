package dunlincroft.coordination;

import dunlincroft.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells faulty machines from faulty jobs by the tasks that fail, and by those that run. */
final class FaultAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FaultAttribution.class);

  private final ClusterState world;
  private final Ledger ledger;

  FaultAttribution(ClusterState world, Ledger ledger) {
    this.world = world;
    this.ledger = ledger;
  }

  void ranWell(Placement p) {
    if (p.job.ranWell()) {
      LOG.info("job {} runs on host {}: it is not faulty", p.job.id, p.machine.host);
      ledger.dirty(p.job, p.task, false);
    }
  }

  /**
   * Is it the machine or the job? A job that ran elsewhere speaks against the machine with each of
   * its tasks. One that has not run yet may fail everywhere, many tasks at once: all of them say no
   * more than one, and only so many such jobs together speak against the machine.
   */
  void failed(Machine machine, Placement p) {
    JobRun job = p.job;
    boolean wasFaulty = job.faulty;
    if (job.failed(machine.host, world.now())) {
      machine.failures++;
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
      world.machines.values().forEach(other -> other.failedJobs.remove(job.id));
    }
    boolean sick =
        machine.failures >= Constants.SICK_AFTER
            || machine.failedJobs.size() >= Constants.SICK_AFTER;
    if (sick && machine.draining == null && sickAllowed()) {
      LOG.info(
          "host {} failed {} tasks of jobs that ran elsewhere, and {} jobs in all, in a row: taken"
              + " for sick, draining",
          machine.host,
          machine.failures,
          machine.failedJobs.size());
      machine.draining = "sick";
      machine.placed.values().forEach(other -> other.job.halt(other));
    }
  }

  /** A wrong guess must do no harm: at most an eighth of the machines are replaced at a time. */
  private boolean sickAllowed() {
    long sick = world.machines.values().stream().filter(m -> "sick".equals(m.draining)).count();
    return sick < Math.max(1, world.machines.size() / 8);
  }
}
