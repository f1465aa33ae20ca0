package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Resources;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.protocol.WorkerReport.TaskReport;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates the state of tasks from the reports of workers. A placement ends only when the worker
 * reports so or when its machine is released.
 */
final class ReportHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ReportHandler.class);

  private final ClusterState cluster;
  private final PlacementLog placementLog;
  private final FaultAttribution faultAttribution;

  ReportHandler(
      ClusterState cluster, PlacementLog placementLog, FaultAttribution faultAttribution) {
    this.cluster = cluster;
    this.placementLog = placementLog;
    this.faultAttribution = faultAttribution;
  }

  /**
   * Handles a reply that a newer report of the worker has overtaken: it still shows that the worker
   * receives our messages.
   */
  void onOvertakenAnswer(Machine machine) {
    onReachable(machine);
    machine.session.onAnswer();
  }

  /** Reacts to a sign that a worker receives our messages, if that was not known before. */
  private void onReachable(Machine machine) {
    switch (machine.session.state()) {
      case UNREPORTED, REACHABLE -> {}
      case UNCERTAIN -> cluster.placementDue = true;
      case UNREACHABLE -> {
        cluster.placementDue = true;
        LOG.info(
            "host {} hears us again, after {} ms",
            machine.host,
            cluster.now() - machine.session.unreachableSinceMs());
      }
    }
  }

  /** Processes a report that is newer than all reports seen before. */
  void handle(Machine machine, WorkerReport report) {
    if (!machine.session.hasReported()) {
      LOG.info(
          "host {} ({} {} {}) reports to us",
          machine.host,
          machine.typeLabel,
          machine.zone,
          machine.preemptible ? "spot" : "ordinary");
      cluster.placementDue = true;
    }
    onReachable(machine);
    machine.session.onReport(report, cluster.now());
    machine.endpoint = report.endpoint();
    DrainReason reasonBefore = machine.drainReason;
    if (report.reclaimNoticeS() == WorkerReport.NO_RECLAIM_NOTICE) {
      machine.drainReason = reasonBefore.onNoReclaimNotice();
    } else if (reasonBefore.onReclaimNotice() != reasonBefore) {
      onReclaimNotice(machine, report.reclaimNoticeS());
    }
    machine.reportedTasks = report.tasks();
    machine.placements.values().forEach(placement -> placement.inLastReport = false);
    Resources orphanedResources = Resources.NONE;
    for (TaskReport reportedTask : report.tasks()) {
      Placement placement = machine.placements.get(reportedTask.id());
      if (placement != null && placement.attempt == reportedTask.attempt()) {
        placement.inLastReport = true;
        updatePlacement(machine, placement, reportedTask);
      } else {
        JobRun job = cluster.jobs.get(reportedTask.job());
        if (reportedTask.hasExited() && Wire.DONE.equals(reportedTask.cause()) && job != null) {
          onDoneByOlderAttempt(job, reportedTask.task());
        } else if (!reportedTask.hasExited() && job != null) {
          orphanedResources = orphanedResources.plus(job.spec.resources());
        }
      }
    }
    machine.orphanedResources = orphanedResources;
    for (Placement placement : List.copyOf(machine.placements.values())) {
      if (!placement.inLastReport) {
        placement.reportedStatus = null;
        if (placement.stopRequested && machine.session.isAbsenceProven()) {
          removePlacement(placement, "not on the machine");
        }
      }
    }
    if (machine.hasNoTasks() && machine.idleSinceMs < 0) {
      machine.idleSinceMs = cluster.now();
    } else if (!machine.hasNoTasks()) {
      machine.idleSinceMs = -1;
    }
  }

  /** Drains a machine after the cloud provider announced that it will reclaim it. */
  private void onReclaimNotice(Machine machine, double warningS) {
    LOG.info("host {} will be reclaimed in {} s: draining", machine.host, warningS);
    machine.drainReason = machine.drainReason.onReclaimNotice();
    cluster.placementDue = true;
    for (Placement placement : machine.placements.values()) {
      double remainingS =
          placement.job.spec.estimatedRunS() - (cluster.now() - placement.placedAtMs) / 1000.0;
      // The machine may be reclaimed after only half of the announced time. Tasks that will not end
      // within that time are moved at once.
      if (remainingS > warningS / 2) {
        placement.job.markForStop(placement);
      }
    }
  }

  /** Updates a placement from a report that contains its task. */
  private void updatePlacement(Machine machine, Placement placement, TaskReport reportedTask) {
    boolean started =
        placement.reportedStatus == null || !placement.reportedStatus.equals(Wire.RUNNING);
    placement.reportedStatus = reportedTask.status();
    placement.orderSent = true;
    if (!reportedTask.hasExited()) {
      if (started && reportedTask.status().equals(Wire.RUNNING)) {
        machine.markImageCached(placement.job.spec.image());
        placement.runningSinceMs = cluster.now();
        cluster.metrics.recordStart(placement, cluster.now());
      } else if (reportedTask.status().equals(Wire.RUNNING)
          && cluster.now() - placement.runningSinceMs > Constants.MIN_PROVEN_RUN_MS) {
        faultAttribution.onRanWell(placement);
      }
      return;
    }
    if (!machine.session.hasSeenOurFence()) {
      // An order of a previous owner to run this attempt may still be in flight, and the worker
      // would obey it once its session has changed. Until the worker has seen our fence, the exit
      // of the task is not final.
      return;
    }
    String cause = reportedTask.cause() == null ? "" : reportedTask.cause();
    if (cause.equals(Wire.DONE) && !placement.job.spec.isService()) {
      machine.markImageCached(placement.job.spec.image());
      machine.consecutiveFailures = 0;
      machine.failedJobs.clear();
      faultAttribution.onRanWell(placement);
      if (placement.runningSinceMs > 0) {
        cluster.conditions.onTaskFinished(
            placement.job.spec, (cluster.now() - placement.runningSinceMs) / 1000.0);
      }
      LOG.debug(
          "{} attempt {} is done on host {}",
          placement.taskName(),
          placement.attempt,
          machine.host);
      placement.job.removePlacement(placement);
      placement.job.markDone(placement.task);
      placementLog.markDirty(placement.job, placement.task, false);
      cluster.placementDue = true;
    } else {
      if (machine.session.hasUnresolvedCommand()) {
        // A command without an answer could start this attempt again if the worker restarts. The
        // fence is raised first.
        return;
      }
      if (cause.equals(Wire.NO_CAPACITY)) {
        machine.avoidUntilMs = cluster.now() + Constants.REFUSED_START_AVOIDANCE_MS;
      } else if (!cause.equals(Wire.STOPPED)) {
        faultAttribution.onFailure(machine, placement);
      }
      removePlacement(placement, cause);
    }
  }

  /**
   * Marks a task as done after an older attempt, which no record names any more, has completed it.
   * A task that is placed again is left to its current attempt.
   */
  private void onDoneByOlderAttempt(JobRun job, int task) {
    if (job.done.get(task) || task >= job.spec.taskCount() || job.spec.isService()) {
      return;
    }
    Placement currentPlacement = job.placed.get(task);
    if (currentPlacement == null) {
      LOG.debug("{} is done by an older attempt", Wire.taskId(job.id, task));
      job.markDone(task);
      placementLog.markDirty(job, task, false);
    }
  }

  /**
   * Removes a placement whose task is proven to be absent from the machine. The task waits to be
   * placed again unless its job is cancelled.
   */
  void removePlacement(Placement placement, String reason) {
    LOG.debug(
        "{} attempt {} removed from host {}: {}",
        placement.taskName(),
        placement.attempt,
        placement.machine.host,
        reason);
    placement.job.removePlacement(placement);
    placementLog.markDirty(placement.job, placement.task, false);
    cluster.placementDue = true;
  }
}
