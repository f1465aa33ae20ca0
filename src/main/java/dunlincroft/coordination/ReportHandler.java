package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.protocol.WorkerReport.Piece;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes what a report says the state of tasks. A placement ends only by the word of the worker or
 * by the release of its machine.
 */
final class ReportHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ReportHandler.class);

  private final ClusterState world;
  private final Ledger ledger;
  private final FaultAttribution faults;

  ReportHandler(ClusterState world, Ledger ledger, FaultAttribution faults) {
    this.world = world;
    this.ledger = ledger;
    this.faults = faults;
  }

  /** It has shown that it hears, by an answer that a report of its has overtaken. */
  void answered(Machine machine) {
    hears(machine);
    machine.session.onAnswer();
  }

  /** What follows if a machine hears that did not before. */
  private void hears(Machine machine) {
    switch (machine.session.state()) {
      case UNREPORTED, REACHABLE -> {}
      case UNCERTAIN -> world.placementDue = true;
      case UNREACHABLE -> {
        world.placementDue = true;
        LOG.info(
            "host {} hears us again, after {} ms",
            machine.host,
            world.now() - machine.session.unreachableSinceMs());
      }
    }
  }

  /** Takes a report in that is newer than those seen before. */
  void read(Machine machine, WorkerReport report) {
    if (!machine.session.hasReported()) {
      LOG.info(
          "host {} ({} {} {}) reports to us",
          machine.host,
          machine.typeLabel,
          machine.zone,
          machine.preemptible ? "spot" : "ordinary");
      world.placementDue = true;
    }
    hears(machine);
    machine.session.onReport(report, world.now());
    machine.endpoint = report.endpoint();
    if (report.warningS() != WorkerReport.NO_WARNING && machine.drainReason == null) {
      warned(machine, report.warningS());
    }
    machine.reportedTasks = report.pieces();
    machine.placements.values().forEach(p -> p.inLastReport = false);
    Room orphans = Room.NONE;
    for (Piece piece : report.pieces()) {
      Placement p = machine.placements.get(piece.id());
      if (p != null && p.attempt == piece.attempt()) {
        p.inLastReport = true;
        show(machine, p, piece);
      } else {
        JobRun job = world.jobs.get(piece.job());
        if (piece.exited() && Wire.DONE.equals(piece.cause()) && job != null) {
          doneByOlderAttempt(job, piece.task());
        } else if (!piece.exited() && job != null) {
          orphans = orphans.plus(job.spec.room());
        }
      }
    }
    machine.orphanedResources = orphans;
    for (Placement p : List.copyOf(machine.placements.values())) {
      if (!p.inLastReport) {
        p.reportedStatus = null;
        if (p.stopRequested && machine.session.isAbsenceProven()) {
          clear(p, "not on the machine");
        }
      }
    }
    if (machine.hasNoTasks() && machine.idleSinceMs < 0) {
      machine.idleSinceMs = world.now();
    } else if (!machine.hasNoTasks()) {
      machine.idleSinceMs = -1;
    }
  }

  private void warned(Machine machine, double warningS) {
    LOG.info("host {} will be taken in {} s: draining", machine.host, warningS);
    machine.drainReason = "notice";
    world.placementDue = true;
    for (Placement p : machine.placements.values()) {
      double left = p.job.spec.expectS() - (world.now() - p.placedAtMs) / 1000.0;
      // A notice may be half as long as it says; what will not end in that time moves at once.
      if (left > warningS / 2) {
        p.job.halt(p);
      }
    }
  }

  /** A report shows a recorded placement. */
  private void show(Machine machine, Placement p, Piece piece) {
    boolean started = p.reportedStatus == null || !p.reportedStatus.equals(Wire.RUNNING);
    p.reportedStatus = piece.status();
    p.orderSent = true;
    if (!piece.exited()) {
      if (started && piece.status().equals(Wire.RUNNING)) {
        machine.markImageCached(p.job.spec.bundle());
        p.runningSinceMs = world.now();
        world.metrics.started(p, world.now());
      } else if (piece.status().equals(Wire.RUNNING)
          && world.now() - p.runningSinceMs > Constants.RAN_MS) {
        faults.onRanWell(p);
      }
      return;
    }
    if (!machine.session.hasSeenOurFence()) {
      // A holder before us may still order this try, and the worker would obey once its session
      // has changed. Until the worker has seen our fence, its word is not the last one.
      return;
    }
    String cause = piece.cause() == null ? "" : piece.cause();
    if (cause.equals(Wire.DONE) && !p.job.spec.daemon()) {
      machine.markImageCached(p.job.spec.bundle());
      machine.consecutiveFailures = 0;
      machine.failedJobs.clear();
      faults.onRanWell(p);
      if (p.runningSinceMs > 0) {
        world.conditions.onTaskFinished(p.job.spec, (world.now() - p.runningSinceMs) / 1000.0);
      }
      LOG.debug("{} try {} is done on host {}", p.taskName(), p.attempt, machine.host);
      p.job.clear(p);
      p.job.finish(p.task);
      ledger.dirty(p.job, p.task, false);
      world.placementDue = true;
    } else {
      if (machine.session.hasUnresolvedCommand()) {
        // An order without an answer may repeat this try, should the worker begin anew: the fence
        // is raised first.
        return;
      }
      if (cause.equals(Wire.FULL)) {
        machine.avoidUntilMs = world.now() + Constants.DOUBT_MS;
      } else if (!cause.equals(Wire.STOPPED)) {
        faults.onFailure(machine, p);
      }
      clear(p, cause);
    }
  }

  private void doneByOlderAttempt(JobRun job, int task) {
    if (job.done.get(task) || task >= job.spec.pieces() || job.spec.daemon()) {
      return;
    }
    Placement other = job.placed.get(task);
    if (other == null) {
      LOG.debug("{} is done by an older try", Wire.piece(job.id, task));
      job.finish(task);
      ledger.dirty(job, task, false);
    }
  }

  /** The task is proven to be off the machine; it waits again unless its job is cancelled. */
  void clear(Placement p, String why) {
    LOG.debug("{} try {} left host {}: {}", p.taskName(), p.attempt, p.machine.host, why);
    p.job.clear(p);
    ledger.dirty(p.job, p.task, false);
    world.placementDue = true;
  }
}
