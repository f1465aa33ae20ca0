package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerOrder;
import dunlincroft.transport.Env;
import dunlincroft.transport.Env.Reply;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends orders directly to workers, one call at a time for each machine. */
final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommands.class);

  private final ClusterState cluster;
  private final WorkerOrders workerOrders;
  private final AnswerHandler answers;
  private final MachineProbe probe;

  DirectCommands(
      ClusterState cluster, WorkerOrders workerOrders, AnswerHandler answers, MachineProbe probe) {
    this.cluster = cluster;
    this.workerOrders = workerOrders;
    this.answers = answers;
    this.probe = probe;
  }

  /**
   * Sends the pending orders directly to the worker. Orders that cannot be sent this way are sent
   * in the answer to the next heartbeat.
   */
  void push(Machine machine) {
    if (machine.session.isCommandInFlight()) {
      machine.isPushPending = true;
      return;
    }
    // A worker that did not answer gets its orders with its heartbeats until it is heard again.
    if (!machine.session.hasReported()
        || machine.session.hasAbandonedCommandSinceHeard()
        || machine.endpoint == null) {
      return;
    }
    long fence = cluster.fenceToken(machine);
    List<WorkerOrder> orders = workerOrders.forMachine(machine, fence, true);
    if (areDeferrable(orders) && machine.session.fenceSeen() >= fence) {
      return;
    }
    machine.session.setCommandInFlight(true);
    cluster.metrics.count(Metrics.Event.COMMAND);
    cluster.metrics.countSent(orders, Metrics.Event.DIRECT_START);
    orders.stream()
        .filter(WorkerOrder::isRun)
        .forEach(order -> machine.session.onDirectStart(order.taskId(), fence));
    LOG.debug("command to host {} under fence {}: {}", machine.host, fence, orders);
    ObjectNode body =
        WorkerOrder.body(fence, orders).put("tenure", machine.session.sessionNumber());
    AnswerHandler.LastReport lastReport = AnswerHandler.LastReport.of(machine);
    cluster.env.call(
        new Env.Call(
            machine.endpoint,
            "POST",
            Wire.COMMANDS,
            Cbor.bytes(body),
            Constants.WORKER_CALL_TIMEOUT_MS),
        reply -> onReply(machine, fence, lastReport, reply));
  }

  /**
   * Whether all orders can wait for the next heartbeat: ended tasks may stay in the reports, and
   * discarding them is not worth a call.
   */
  private static boolean areDeferrable(List<WorkerOrder> orders) {
    return orders.stream().allMatch(WorkerOrder::isDiscard);
  }

  private void onReply(
      Machine machine, long fence, AnswerHandler.LastReport lastReport, Reply reply) {
    machine.session.setCommandInFlight(false);
    boolean pushRequested = machine.isPushPending;
    machine.isPushPending = false;
    if (reply.status() != 200 && reply.status() != 409) {
      if (reply.mayBeExecuted()) {
        // The command may be executed minutes later, as long as the fence stays.
        machine.session.onUnresolvedCommand(fence);
        cluster.metrics.count(Metrics.Event.COMMAND_UNANSWERED);
        if (cluster.machines.get(machine.host) == machine) {
          probe.suspectMissedAnswer(machine);
        }
      }
      machine.session.onCommandAbandoned(cluster.now());
      LOG.info("host {} did not answer a direct command: status {}", machine.host, reply.status());
      return;
    }
    if (cluster.machines.get(machine.host) != machine) {
      return;
    }
    if (reply.status() == 409 && cluster.metrics.countForLine(Metrics.Event.COMMAND_REJECTED)) {
      LOG.info(
          "host {} rejected a direct command under fence {}, session {}",
          machine.host,
          fence,
          lastReport.sessionNumber());
    }
    if (!answers.process(machine, lastReport, reply)) {
      return;
    }
    if (reply.status() == 200 || pushRequested) {
      boolean hasMore =
          pushRequested
              || !areDeferrable(
                  workerOrders.forMachine(machine, cluster.fenceToken(machine), true));
      if (hasMore) {
        cluster.env.after(Constants.PLACEMENT_INTERVAL_MS, () -> pushIfOwned(machine));
      }
    }
  }

  private void pushIfOwned(Machine machine) {
    if (cluster.machines.get(machine.host) == machine) {
      push(machine);
    }
  }
}
