package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerOrder;
import dunlincroft.protocol.WorkerReport.TaskReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Derives the orders to workers from the records. A recorded placement is an order to run until the
 * worker reports the task.
 */
final class WorkerOrders {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerOrders.class);

  private final ClusterState cluster;
  private final FenceRaiser fences;

  /** Called with a machine once its deferred starts may be sent. */
  private Consumer<Machine> startsDueListener = machine -> {};

  WorkerOrders(ClusterState cluster, FenceRaiser fences) {
    this.cluster = cluster;
    this.fences = fences;
  }

  /** Sets the listener that gets the machines whose deferred starts may be sent. */
  void setStartsDueListener(Consumer<Machine> listener) {
    this.startsDueListener = listener;
  }

  /** The orders being collected for one message, and whether a proof is still missing for more. */
  private static final class Draft {
    final Machine machine;
    final long fence;
    final boolean isDirect;
    final boolean isAbsenceProven;
    final List<WorkerOrder> orders = new ArrayList<>();

    /** An ended or stopped attempt waits for the proof that no command in flight starts it. */
    boolean needsProof;

    Draft(Machine machine, long fence, boolean isDirect) {
      this.machine = machine;
      this.fence = fence;
      this.isDirect = isDirect;
      this.isAbsenceProven = machine.session.isAbsenceProven();
    }
  }

  /**
   * The orders for a worker, by its last report and the records. Starts under a condition are sent
   * only in answers to reports: these are never executed late, as direct commands may be.
   */
  List<WorkerOrder> forMachine(Machine machine, long fence, boolean isDirect) {
    Draft draft = new Draft(machine, fence, isDirect);
    for (TaskReport reported : machine.reportedTasks) {
      Placement placement = machine.placements.get(reported.id());
      if (placement != null && placement.attempt == reported.attempt()) {
        addStop(draft, placement, reported);
      } else if (cluster.feed.synced() && !hasUnsettledRecord(reported)) {
        addForUnplaced(draft, reported);
      }
    }
    for (Placement placement : machine.placements.values()) {
      if (placement.recorded && !placement.inLastReport) {
        addStart(draft, placement);
      }
    }
    if (machine.session.firstFence() > fence
        || (draft.needsProof && machine.session.isUnresolved(fence))) {
      fences.raise(machine);
    }
    List<WorkerOrder> orders = draft.orders;
    return orders.size() > Constants.MAX_ORDERS_PER_MESSAGE
        ? orders.subList(0, Constants.MAX_ORDERS_PER_MESSAGE)
        : orders;
  }

  /** Stops a reported task whose placement is to be stopped. */
  private static void addStop(Draft draft, Placement placement, TaskReport reported) {
    draft.needsProof |= reported.hasExited();
    if (!placement.stopRequested || reported.hasExited()) {
      return;
    }
    boolean isSaving = reported.status().equals(Wire.SAVING);
    if (!isSaving || placement.job.stopMode() == JobRun.StopMode.ABANDON) {
      draft.orders.add(
          WorkerOrder.kill(
              reported.id(), reported.attempt(), isSaving ? 0 : placement.stopGraceS()));
    }
  }

  /** Stops a reported attempt that no record names, or discards it once it has ended. */
  private void addForUnplaced(Draft draft, TaskReport reported) {
    if (!reported.hasExited()) {
      logOrphan(draft.machine, reported);
      draft.orders.add(WorkerOrder.kill(reported.id(), reported.attempt(), 0));
    } else if (draft.machine.session.canDiscard(reported.id())) {
      // Once the worker has discarded the ended task, an order to run the same attempt would
      // start it again; hence the proof that no such order, nor a copy of one, is still valid.
      draft.orders.add(WorkerOrder.discard(reported.id(), reported.attempt()));
    } else {
      draft.needsProof = true;
    }
  }

  /** Starts a recorded placement that the worker has not reported yet. */
  private void addStart(Draft draft, Placement placement) {
    if (placement.stopRequested) {
      draft.needsProof |= !draft.isAbsenceProven;
      return;
    }
    if (cluster.feed.stalenessMs() > Constants.MAX_STALENESS_MS) {
      return; // Without the state service nothing is started; what runs continues.
    }
    if (draft.fence > cluster.replica.revision()) {
      // No start is sent under a fence above a cancellation that has not been read.
      deferStarts(draft.machine);
      return;
    }
    if (placement.job.noLateStart
        && (draft.isDirect || cluster.conditions.cutOffAction(placement.job.spec) != null)) {
      return;
    }
    placement.orderSent = true;
    draft.orders.add(WorkerOrder.run(placement.taskName(), placement.attempt));
  }

  /**
   * Sends the starts a little later: the fence comes from a write of this controller that the
   * change feed has not delivered yet.
   */
  private void deferStarts(Machine machine) {
    if (!machine.hasDeferredStarts) {
      machine.hasDeferredStarts = true;
      cluster.env.after(
          Constants.PLACEMENT_INTERVAL_MS,
          () -> {
            machine.hasDeferredStarts = false;
            if (cluster.machines.get(machine.host) == machine) {
              startsDueListener.accept(machine);
            }
          });
    }
  }

  private void logOrphan(Machine machine, TaskReport reported) {
    if (cluster.metrics.countForLine(Metrics.Event.ORPHAN)) {
      LOG.info(
          "host {} runs orphaned task {} attempt {}, {}: stopping it; session {}, fence seen {}",
          machine.host,
          reported.id(),
          reported.attempt(),
          cluster.isOwnAttempt(machine, reported.attempt())
              ? "which we started and which had ended"
              : "which a former owner started",
          machine.session.sessionNumber(),
          machine.session.fenceSeen());
    }
  }

  /** Whether a record of this task is being written or belongs to a shard of another node. */
  private boolean hasUnsettledRecord(TaskReport reported) {
    JobRun job = cluster.jobs.get(reported.job());
    if (job == null) {
      return cluster.jobIndex.get(reported.job()) != null;
    }
    return reported.task() >= job.spec.taskCount() || !job.record.isClean(reported.task());
  }
}
