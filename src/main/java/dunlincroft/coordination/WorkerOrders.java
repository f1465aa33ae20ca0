package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Order;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport.Piece;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes what the records say orders to workers. A recorded placement is an order to run until the
 * worker shows the task.
 */
final class WorkerOrders {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerOrders.class);

  private final ClusterState world;
  private final FenceRaiser fences;

  /** Sends a machine's orders straight away, once starts that waited may leave. */
  private Consumer<Machine> push = machine -> {};

  WorkerOrders(ClusterState world, FenceRaiser fences) {
    this.world = world;
    this.fences = fences;
  }

  void onStartsDue(Consumer<Machine> push) {
    this.push = push;
  }

  /**
   * What the worker must be told, given its last report and the records. Starts under a condition
   * go into answers to reports alone: these are never executed late, as direct orders may be.
   */
  List<Order> forMachine(Machine machine, long fence, boolean direct) {
    List<Order> orders = new ArrayList<>();
    boolean proven = machine.session.provenAbsent();
    boolean wantsProof = false;
    for (Piece piece : machine.pieces) {
      Placement p = machine.placed.get(piece.id());
      if (p != null && p.attempt == piece.attempt()) {
        wantsProof |= piece.exited();
        if (p.stopRequested && !piece.exited()) {
          boolean again = piece.status().equals(Wire.SAVING);
          if (!again || p.job.stopMode() == JobRun.StopMode.ABANDON) {
            orders.add(Order.kill(piece.id(), piece.attempt(), again ? 0 : p.stopGraceS()));
          }
        }
        continue;
      }
      if (!world.feed.synced() || unsettled(piece)) {
        continue;
      }
      if (!piece.exited()) {
        LOG.info(
            "host {} runs {} try {} that no record names: stopped",
            machine.host,
            piece.id(),
            piece.attempt());
        orders.add(Order.kill(piece.id(), piece.attempt(), 0));
      } else if (proven) {
        // Once reaped a late run of the same try would start it anew; hence the proof.
        orders.add(Order.reap(piece.id(), piece.attempt()));
      } else {
        wantsProof = true;
      }
    }
    for (Placement p : machine.placed.values()) {
      if (p.recorded && !p.inLastReport) {
        if (!p.stopRequested) {
          if (world.feed.stalenessMs() > Constants.STALE_MS) {
            continue; // Out of touch: what runs goes on, nothing starts.
          }
          if (fence > world.replica.revision()) {
            // No start leaves under a fence above a cancellation that we have not read.
            startSoon(machine);
            continue;
          }
          if (p.job.strict && (direct || world.conditions.cutOffAction(p.job.spec) != null)) {
            continue;
          }
          p.orderSent = true;
          orders.add(Order.run(p.taskName(), p.attempt));
        } else {
          wantsProof |= !proven;
        }
      }
    }
    if (machine.session.firstFence() > fence
        || (wantsProof && machine.session.isUnresolved(fence))) {
      fences.raise(machine);
    }
    return orders.size() > Constants.MAX_ORDERS ? orders.subList(0, Constants.MAX_ORDERS) : orders;
  }

  /** Its fence is a write of our own, ahead of what we have read: a moment more. */
  private void startSoon(Machine machine) {
    if (!machine.startsSoon) {
      machine.startsSoon = true;
      world.env.after(
          Constants.PLACE_MS,
          () -> {
            machine.startsSoon = false;
            if (world.machines.get(machine.host) == machine) {
              push.accept(machine);
            }
          });
    }
  }

  /** A record about this task is on its way, or belongs to a shard of another node. */
  private boolean unsettled(Piece piece) {
    JobRun job = world.jobs.get(piece.job());
    if (job == null) {
      return world.jobIndex.get(piece.job()) != null;
    }
    return piece.task() >= job.spec.pieces() || !job.record.clean(piece.task());
  }
}
