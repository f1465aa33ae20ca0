package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.WorkerOrder;
import dunlincroft.protocol.WorkerReport;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the heartbeats of workers whose machines this controller owns. */
final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  private final ClusterState cluster;
  private final ReportHandler reportHandler;
  private final WorkerOrders workerOrders;
  private final FenceRaiser fenceRaiser;
  private final MachineProbe probe;

  HeartbeatHandler(
      ClusterState cluster,
      ReportHandler reportHandler,
      WorkerOrders workerOrders,
      FenceRaiser fenceRaiser,
      MachineProbe probe) {
    this.cluster = cluster;
    this.reportHandler = reportHandler;
    this.workerOrders = workerOrders;
    this.fenceRaiser = fenceRaiser;
    this.probe = probe;
  }

  /**
   * Answers the heartbeat of a machine whose shard this controller owns. Returns null if the worker
   * has already seen a fence above ours.
   */
  ObjectNode answer(Machine machine, WorkerReport report) {
    if (report.fence() > cluster.fenceToken(machine)
        && report.fence() <= cluster.replica.revision()) {
      // No other owner's fence can be that low: a stand-in has raised it, or this node itself.
      fenceRaiser.raiseToReadRevision(machine);
    }
    long fence = cluster.fenceToken(machine);
    if (report.fence() > fence) {
      LOG.info(
          "host {} has seen fence {} above our fence {}: another controller acts for it",
          machine.host,
          report.fence(),
          fence);
      return null;
    }
    if (isDoubtful(machine, report)) {
      return WorkerOrder.body(fence, List.of());
    }
    process(machine, report);
    return orders(machine);
  }

  /** Whether a report may be a delayed duplicate; its worker is then queried where that helps. */
  private boolean isDoubtful(Machine machine, WorkerReport report) {
    if (!machine.session.isNewer(report)) {
      // Either a delayed duplicate, or a worker that has restarted under its old host name. Both
      // look the same; only the reply to a status query tells them apart.
      if (report.fence() < machine.session.fenceSeen()) {
        query(machine, report);
      }
      return true;
    }
    if (report.fence() < machine.session.firstFence()) {
      // The report was sent before this controller acquired the machine, and may be a delayed
      // duplicate: if it were accepted, a machine that is long gone would appear to be alive. The
      // worker is queried instead, and its next report carries our fence.
      query(machine, report);
      return true;
    }
    return false;
  }

  private void query(Machine machine, WorkerReport report) {
    machine.endpoint = report.endpoint();
    probe.probe(machine);
  }

  /** Takes in a new report, and draws from it whether the worker receives our answers. */
  private void process(Machine machine, WorkerReport report) {
    boolean missedAnswer =
        machine.session.hasMissedOurAnswer(
            report, cluster.now(), cluster.settings.workerLeaseS() * 1000);
    long previouslyHeardMs = machine.session.lastHeardMs();
    // The worker has already processed or lost the previous answer, as it has only one report in
    // flight at a time. An older report that arrives late says nothing about the answer to a newer
    // one.
    boolean answerCarriedStarts = machine.session.onAnswerSettled();
    reportHandler.handle(machine, report);
    missedAnswer |=
        answerCarriedStarts
            && machine.placements.values().stream().anyMatch(HeartbeatHandler::isUnconfirmedStart);
    if (missedAnswer) {
      machine.session.discountReport(previouslyHeardMs);
      probe.suspectMissedAnswer(machine);
    }
  }

  /** The answer to the report that was just processed. */
  private ObjectNode orders(Machine machine) {
    if (mustVoidCopiedStarts(machine)) {
      fenceRaiser.raiseToReadRevision(machine);
    }
    long fence = cluster.fenceToken(machine);
    List<WorkerOrder> orders = workerOrders.forMachine(machine, fence, false);
    int starts = cluster.metrics.countSent(orders, Metrics.Event.HEARTBEAT_START);
    machine.session.onAnswered(fence, starts > 0, cluster.now());
    return WorkerOrder.body(fence, orders);
  }

  /**
   * Whether an ended attempt must stay with the worker until it has seen a higher fence. While a
   * command is in flight the fence is left alone, as the worker would reject the command.
   */
  private static boolean mustVoidCopiedStarts(Machine machine) {
    return !machine.session.isCommandInFlight()
        && machine.reportedTasks.stream()
            .anyMatch(task -> task.hasExited() && machine.session.isStartRepeatable(task.id()));
  }

  /** Whether a start was sent in an answer and is missing from the report that followed. */
  private static boolean isUnconfirmedStart(Placement placement) {
    return placement.recorded
        && placement.orderSent
        && !placement.stopRequested
        && !placement.inLastReport;
  }
}
