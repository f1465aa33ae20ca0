package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Order;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.Env;
import dunlincroft.transport.Env.Reply;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends orders straight to workers, one call at a time for each machine. */
final class DirectCommands {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommands.class);

  private final ClusterState world;
  private final WorkerOrders workerOrders;
  private final AnswerHandler answers;
  private final MachineProbe probe;

  DirectCommands(
      ClusterState world, WorkerOrders workerOrders, AnswerHandler answers, MachineProbe probe) {
    this.world = world;
    this.workerOrders = workerOrders;
    this.answers = answers;
    this.probe = probe;
  }

  /** Sends orders straight to the worker, one call at a time; the hello lane is the fallback. */
  void push(Machine machine) {
    if (machine.session.commandOut()) {
      machine.pushAgain = true;
      return;
    }
    // One that did not answer is left to its hellos until it is heard again.
    if (!machine.session.hasReported()
        || machine.session.lostCommandSinceHeard()
        || machine.endpoint == null) {
      return;
    }
    long fence = world.fenceToken(machine);
    List<Order> orders = workerOrders.forMachine(machine, fence, true);
    if (orders.stream().allMatch(DirectCommands::canWait) && machine.session.fenceSeen() >= fence) {
      return;
    }
    machine.session.onCommand(true);
    ObjectNode body = Order.body(fence, orders).put("tenure", machine.session.tenure());
    AnswerHandler.Known known = AnswerHandler.Known.of(machine);
    world.env.call(
        new Env.Call(
            machine.endpoint, "POST", Wire.COMMANDS, Cbor.bytes(body), Constants.WORKER_CALL_MS),
        reply -> pushed(machine, fence, known, reply));
  }

  /** What has ended may stay in the reports until the next one: no call is worth it. */
  private static boolean canWait(Order order) {
    return order.verb().equals(Wire.REAP);
  }

  private void pushed(Machine machine, long fence, AnswerHandler.Known known, Reply reply) {
    machine.session.onCommand(false);
    boolean again = machine.pushAgain;
    machine.pushAgain = false;
    if (reply.status() != 200 && reply.status() != 409) {
      if (reply.left()) {
        // It may be executed minutes from now, as long as the fence stays.
        machine.session.onUnresolvedCommand(fence);
        if (world.machines.get(machine.host) == machine) {
          probe.unsure(machine);
        }
      }
      machine.session.onCommandLost(world.now());
      LOG.info("host {} did not answer direct orders ({})", machine.host, reply.status());
      return;
    }
    if (world.machines.get(machine.host) != machine) {
      return;
    }
    if (!answers.take(machine, known, reply)) {
      return;
    }
    if (reply.status() == 200 || again) {
      boolean more =
          again
              || !workerOrders.forMachine(machine, world.fenceToken(machine), true).stream()
                  .allMatch(DirectCommands::canWait);
      if (more) {
        world.env.after(Constants.PLACE_MS, () -> pushIfKnown(machine));
      }
    }
  }

  private void pushIfKnown(Machine machine) {
    if (world.machines.get(machine.host) == machine) {
      push(machine);
    }
  }
}
