package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Order;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the heartbeats of workers. */
final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  private final ClusterState clusterState;
  private final ReportHandler reportHandler;
  private final WorkerOrders workerOrders;
  private final MachineProbe probe;

  HeartbeatHandler(
      ClusterState clusterState,
      ReportHandler reportHandler,
      WorkerOrders workerOrders,
      MachineProbe probe) {
    this.clusterState = clusterState;
    this.reportHandler = reportHandler;
    this.workerOrders = workerOrders;
    this.probe = probe;
  }

  /** Answers a heartbeat of a machine whose shard we hold; null: another fence is ahead of ours. */
  ObjectNode answer(Machine machine, WorkerReport report) {
    long fence = clusterState.fenceToken(machine);
    if (report.fence() > fence) {
      LOG.info(
          "host {} has seen fence {} above ours of {}: another node acts for it",
          machine.host,
          report.fence(),
          fence);
      return null;
    }
    if (!machine.session.isNewer(report)) {
      // A copy that comes late, or a worker that has begun anew under its old name: it looks the
      // same, and only an answer to a question tells.
      if (report.fence() < machine.session.fenceSeen()) {
        machine.endpoint = report.endpoint();
        probe.probe(machine);
      }
      return Order.body(fence, List.of());
    }
    if (report.fence() < machine.session.firstFence()) {
      // From before we acted for it, and so perhaps a copy: a machine that is long gone would seem
      // to live. It is asked, and its next report knows our fence.
      machine.endpoint = report.endpoint();
      probe.probe(machine);
      return Order.body(fence, List.of());
    }
    boolean missedAnswer =
        machine.session.hasMissedOurAnswer(
            report, clusterState.now(), clusterState.settings.leaseS() * 1000);
    long previouslyHeardMs = machine.session.lastHeardMs();
    // The worker has taken or dropped the answer before: it has one report out at a time. An older
    // report that comes late says nothing about the answer to a newer one.
    boolean answerCarriedStarts = machine.session.onAnswerSettled();
    reportHandler.handle(machine, report);
    missedAnswer |=
        answerCarriedStarts
            && machine.placements.values().stream().anyMatch(HeartbeatHandler::isUnconfirmedStart);
    if (missedAnswer) {
      machine.session.discountReport(previouslyHeardMs);
      probe.suspectMissedAnswer(machine);
    }
    List<Order> orders = workerOrders.forMachine(machine, fence, false);
    boolean hasStarts = orders.stream().anyMatch(order -> order.verb().equals(Wire.RUN));
    machine.session.onAnswered(fence, hasStarts, clusterState.now());
    return Order.body(fence, orders);
  }

  /** A start that left in an answer and is not in the report after it. */
  private static boolean isUnconfirmedStart(Placement placement) {
    return placement.recorded
        && placement.orderSent
        && !placement.stopRequested
        && !placement.inLastReport;
  }
}
