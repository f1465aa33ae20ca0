package dunlincroft.coordination;

import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.transport.Env.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Processes the reports that workers return in reply to status queries and direct commands. */
final class AnswerHandler {
  private static final Logger LOG = LoggerFactory.getLogger(AnswerHandler.class);

  private final ClusterState cluster;
  private final ReportHandler reportHandler;
  private final FenceRaiser fenceRaiser;

  AnswerHandler(ClusterState cluster, ReportHandler reportHandler, FenceRaiser fenceRaiser) {
    this.cluster = cluster;
    this.reportHandler = reportHandler;
    this.fenceRaiser = fenceRaiser;
  }

  /**
   * Session number and counter of the newest report of a worker that is known when a request is
   * sent to it.
   */
  record LastReport(long sessionNumber, long counter) {
    static LastReport of(Machine machine) {
      return new LastReport(machine.session.sessionNumber(), machine.session.counter());
    }
  }

  /**
   * Processes the report in a reply. A report of another machine, or of a worker that has already
   * seen a fence above ours, is rejected. Returns whether the report was accepted.
   */
  boolean process(Machine machine, LastReport lastReport, Reply reply) {
    try {
      WorkerReport report = WorkerReport.parse(Cbor.parse(reply.body()));
      if (!report.host().equals(machine.host) || report.fence() > cluster.fenceToken(machine)) {
        return false;
      }
      if (!report.isNewerThan(lastReport.sessionNumber, lastReport.counter)) {
        handleRestart(machine, report);
      } else if (machine.session.isNewer(report)) {
        reportHandler.handle(machine, report);
      } else {
        reportHandler.onOvertakenAnswer(machine); // A newer report arrived before this reply.
      }
      return true;
    } catch (MalformedException e) {
      LOG.info("host {} answered with a malformed report: {}", machine.host, e.getMessage());
      return false;
    }
  }

  /**
   * Handles a reply whose report is no newer than the last one known when the request was sent: the
   * worker has restarted under its old host name. Its tasks are lost and are ordered again under
   * the same attempt numbers. Orders sent to the previous process may still be in flight; the new
   * process has no task by which to recognize them as duplicates and would execute them. Therefore
   * the fence is raised, and no task counts as absent until the worker has seen the new fence.
   */
  private void handleRestart(Machine machine, WorkerReport report) {
    LOG.info(
        "host {} has restarted; its {} tasks are lost", machine.host, machine.placements.size());
    long fence = cluster.fenceToken(machine);
    machine.session.onRestart(fence);
    reportHandler.handle(machine, report);
    fenceRaiser.raise(machine);
  }
}
