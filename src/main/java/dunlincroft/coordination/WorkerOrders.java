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

  private final ClusterState cluster;
  private final FenceRaiser fences;

  /** Sends a machine's orders straight away, once starts that waited may leave. */
  private Consumer<Machine> startsDueListener = machine -> {};

  WorkerOrders(ClusterState cluster, FenceRaiser fences) {
    this.cluster = cluster;
    this.fences = fences;
  }

  void setStartsDueListener(Consumer<Machine> listener) {
    this.startsDueListener = listener;
  }

  /**
   * What the worker must be told, given its last report and the records. Starts under a condition
   * go into answers to reports alone: these are never executed late, as direct orders may be.
   */
  List<Order> forMachine(Machine machine, long fence, boolean isDirect) {
    List<Order> orders = new ArrayList<>();
    boolean absenceProven = machine.session.isAbsenceProven();
    boolean needsProof = false;
    for (Piece reported : machine.reportedTasks) {
      Placement placement = machine.placements.get(reported.id());
      if (placement != null && placement.attempt == reported.attempt()) {
        needsProof |= reported.exited();
        if (placement.stopRequested && !reported.exited()) {
          boolean isSaving = reported.status().equals(Wire.SAVING);
          if (!isSaving || placement.job.stopMode() == JobRun.StopMode.ABANDON) {
            orders.add(
                Order.kill(
                    reported.id(), reported.attempt(), isSaving ? 0 : placement.stopGraceS()));
          }
        }
        continue;
      }
      if (!cluster.feed.synced() || hasUnsettledRecord(reported)) {
        continue;
      }
      if (!reported.exited()) {
        LOG.info(
            "host {} runs {} try {} that no record names: stopped",
            machine.host,
            reported.id(),
            reported.attempt());
        orders.add(Order.kill(reported.id(), reported.attempt(), 0));
      } else if (absenceProven) {
        // Once reaped a late run of the same try would start it anew; hence the proof.
        orders.add(Order.reap(reported.id(), reported.attempt()));
      } else {
        needsProof = true;
      }
    }
    for (Placement placement : machine.placements.values()) {
      if (placement.recorded && !placement.inLastReport) {
        if (!placement.stopRequested) {
          if (cluster.feed.stalenessMs() > Constants.STALE_MS) {
            continue; // Out of touch: what runs goes on, nothing starts.
          }
          if (fence > cluster.replica.revision()) {
            // No start leaves under a fence above a cancellation that we have not read.
            deferStarts(machine);
            continue;
          }
          if (placement.job.strict
              && (isDirect || cluster.conditions.cutOffAction(placement.job.spec) != null)) {
            continue;
          }
          placement.orderSent = true;
          orders.add(Order.run(placement.taskName(), placement.attempt));
        } else {
          needsProof |= !absenceProven;
        }
      }
    }
    if (machine.session.firstFence() > fence
        || (needsProof && machine.session.isUnresolved(fence))) {
      fences.raise(machine);
    }
    return orders.size() > Constants.MAX_ORDERS ? orders.subList(0, Constants.MAX_ORDERS) : orders;
  }

  /** Its fence is a write of our own, ahead of what we have read: a moment more. */
  private void deferStarts(Machine machine) {
    if (!machine.hasDeferredStarts) {
      machine.hasDeferredStarts = true;
      cluster.env.after(
          Constants.PLACE_MS,
          () -> {
            machine.hasDeferredStarts = false;
            if (cluster.machines.get(machine.host) == machine) {
              startsDueListener.accept(machine);
            }
          });
    }
  }

  /** A record about this task is on its way, or belongs to a shard of another node. */
  private boolean hasUnsettledRecord(Piece reported) {
    JobRun job = cluster.jobs.get(reported.job());
    if (job == null) {
      return cluster.jobIndex.get(reported.job()) != null;
    }
    return reported.task() >= job.spec.pieces() || !job.record.clean(reported.task());
  }
}
