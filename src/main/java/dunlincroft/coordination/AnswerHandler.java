package dunlincroft.coordination;

import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.transport.Env.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes in the reports by which workers answer questions and direct commands. */
final class AnswerHandler {
  private static final Logger LOG = LoggerFactory.getLogger(AnswerHandler.class);

  private final ClusterState clusterState;
  private final ReportHandler reportHandler;
  private final FenceRaiser fenceRaiser;

  AnswerHandler(ClusterState clusterState, ReportHandler reportHandler, FenceRaiser fenceRaiser) {
    this.clusterState = clusterState;
    this.reportHandler = reportHandler;
    this.fenceRaiser = fenceRaiser;
  }

  /** The newest message of a worker at the moment at which it is asked something. */
  record LastReport(long sessionNumber, long counter) {
    static LastReport of(Machine machine) {
      return new LastReport(machine.session.sessionNumber(), machine.session.counter());
    }
  }

  /**
   * Takes in the report in an answer, unless another machine gave it or one that knows a newer
   * fence. Returns whether it was taken in.
   */
  boolean process(Machine machine, LastReport lastReport, Reply reply) {
    try {
      WorkerReport report = WorkerReport.parse(Cbor.parse(reply.body()));
      if (!report.host().equals(machine.host)
          || report.fence() > clusterState.fenceToken(machine)) {
        return false;
      }
      if (!report.after(lastReport.sessionNumber, lastReport.counter)) {
        handleRestart(machine, report);
      } else if (machine.session.isNewer(report)) {
        reportHandler.handle(machine, report);
      } else {
        reportHandler.onOvertakenAnswer(machine); // A report overtook the answer.
      }
      return true;
    } catch (Malformed e) {
      LOG.info("host {} answered with a malformed report: {}", machine.host, e.getMessage());
      return false;
    }
  }

  /**
   * An answer to a question that is no newer than what was known when it was asked: the worker has
   * restarted, under its old name. What it ran is gone, and is ordered again under the same tries.
   * Orders to its former life may still be on their way and would find nothing that they repeat:
   * the fence is raised, and until the worker has seen that nothing counts as absent.
   */
  private void handleRestart(Machine machine, WorkerReport report) {
    LOG.info("host {} has restarted: its {} tasks too", machine.host, machine.placements.size());
    long fence = clusterState.fenceToken(machine);
    machine.session.onRestart(fence);
    reportHandler.handle(machine, report);
    fenceRaiser.raise(machine);
  }
}
