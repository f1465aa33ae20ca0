package dunlincroft.sim;

import dunlincroft.sim.OwnershipChanges.Change;
import dunlincroft.sim.OwnershipChanges.Step;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reports that come to whoever acts next: copies reach every controller as it begins, and others
 * that were held up on their way arrive after it has acted.
 */
final class DelayedHeartbeats {
  /** Copies are with all controllers within a second of the beginning. */
  private static final int MAX_COPY_DELAY_MS = 900;

  /** Held up reports come so long after the first write of the new holder. */
  private static final int MAX_DELAY_AFTER_WRITE_MS = 3000;

  private static final long ANSWER_TIMEOUT_MS = 4000;

  private record DelayedHeartbeat(SimWorker worker, byte[] report, long session, long counter) {
    boolean isStale() {
      return !worker.terminated && worker.isOlder(session, counter);
    }
  }

  private final SimCluster cluster;
  private boolean listening;
  private double copyShare;
  private double delayShare;
  private final List<DelayedHeartbeat> copies = new ArrayList<>();
  private final List<DelayedHeartbeat> delayed = new ArrayList<>();

  /** Old copies that each controller answered within a second of a new holder's beginning. */
  final int[] staleCopiesAtTakeover;

  /** Old reports that reached the new holder after it had answered their worker. */
  int staleAfterAnswer;

  /** Those of them of an earlier session of the worker. */
  int staleOfEarlierSessions;

  DelayedHeartbeats(SimCluster cluster) {
    this.cluster = cluster;
    staleCopiesAtTakeover = new int[cluster.nodeCount()];
  }

  /** Copies of such a part of all reports are kept for the next holder. */
  void copyForNextOwner(double share, long ms) {
    listenForChanges();
    copyShare = share;
    cluster.clock.after(ms, () -> copyShare = 0);
  }

  /** Such a part of all reports is held up until the next holder has acted. */
  void delayForNextOwner(double share, long ms) {
    listenForChanges();
    delayShare = share;
    cluster.clock.after(ms, () -> delayShare = 0);
  }

  private void listenForChanges() {
    if (!listening) {
      listening = true;
      new OwnershipChanges(cluster).listeners.add(this::onStep);
    }
  }

  /** Whether a report that leaves now is held up: its worker gets no answer. */
  boolean intercept(SimWorker worker, byte[] report, long session, long counter) {
    if (copyShare > 0 && cluster.random.nextDouble() < copyShare) {
      copies.add(new DelayedHeartbeat(worker, report, session, counter));
    }
    if (delayShare > 0 && cluster.random.nextDouble() < delayShare) {
      delayed.add(new DelayedHeartbeat(worker, report, session, counter));
      return true;
    }
    return false;
  }

  private void onStep(Step step, Change change) {
    if (step == Step.RECORDED) {
      for (DelayedHeartbeat each : copies) {
        for (int node = 0; node < cluster.nodeCount(); node++) {
          int to = node;
          int ms = cluster.random.nextInt(MAX_COPY_DELAY_MS);
          cluster.clock.after(ms, () -> sendCopy(each, to, change.recordedAt));
        }
      }
      copies.clear();
    } else if (step == Step.FIRST_WRITE) {
      for (DelayedHeartbeat each : delayed) {
        int ms = cluster.random.nextInt(MAX_DELAY_AFTER_WRITE_MS);
        cluster.clock.after(ms, () -> sendDelayed(each, change));
      }
      delayed.clear();
    }
  }

  private void sendCopy(DelayedHeartbeat heartbeat, int to, long recordedAt) {
    boolean stale = heartbeat.isStale();
    send(
        heartbeat,
        to,
        reply -> {
          boolean inTime = cluster.clock.now() - recordedAt <= 1000;
          staleCopiesAtTakeover[to] += stale && inTime && reply.status() != 0 ? 1 : 0;
        });
  }

  private void sendDelayed(DelayedHeartbeat heartbeat, Change change) {
    int to = cluster.nodeIndex(change.to);
    SimWorker worker = heartbeat.worker;
    boolean acted = worker.renewedBy == to && worker.renewedAt > change.recordedAt;
    boolean counted = acted && heartbeat.isStale();
    boolean earlier = worker.isOfEarlierSession(heartbeat.session);
    send(
        heartbeat,
        to,
        reply -> {
          staleAfterAnswer += counted && reply.status() == 200 ? 1 : 0;
          staleOfEarlierSessions += counted && reply.status() == 200 && earlier ? 1 : 0;
        });
  }

  private void send(DelayedHeartbeat heartbeat, int to, Consumer<Env.Reply> then) {
    cluster.net.call(
        heartbeat.worker.address,
        new Env.Call(
            cluster.nodeAddress(to), "POST", "/hello", heartbeat.report, ANSWER_TIMEOUT_MS),
        then);
  }
}
