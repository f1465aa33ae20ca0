package dunlincroft.sim;

import dunlincroft.sim.OwnershipChanges.Change;
import dunlincroft.sim.OwnershipChanges.Step;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Worker heartbeats that reach the next owner of a shard: copies arrive at every controller when
 * the change of ownership is recorded, and delayed heartbeats arrive after the new owner's first
 * write.
 */
final class DelayedHeartbeats {
  /** Copies reach all controllers within a second of the recorded change of ownership. */
  private static final int MAX_COPY_DELAY_MS = 900;

  /** Maximum time from the new owner's first write until a delayed heartbeat arrives. */
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

  /**
   * Stale copies that each controller answered within a second of a recorded change of ownership.
   */
  final int[] staleCopiesAtTakeover;

  /** Stale heartbeats that reached the new owner after it had already answered their worker. */
  int staleAfterAnswer;

  /** Those of {@link #staleAfterAnswer} that came from an earlier session of the worker. */
  int staleOfEarlierSessions;

  DelayedHeartbeats(SimCluster cluster) {
    this.cluster = cluster;
    staleCopiesAtTakeover = new int[cluster.nodeCount()];
  }

  /** Keeps copies of a fraction of all heartbeats for the next change of ownership. */
  void copyForNextOwner(double share, long ms) {
    listenForChanges();
    copyShare = share;
    cluster.clock.after(ms, () -> copyShare = 0);
  }

  /** Delays a fraction of all heartbeats until the next owner has made its first write. */
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

  /**
   * Copies or delays a heartbeat that is being sent. Returns whether it is delayed; its worker then
   * gets no answer.
   */
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
