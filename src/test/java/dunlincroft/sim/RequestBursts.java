package dunlincroft.sim;

import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.transport.Env;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Users that send bursts of requests: as soon as a job is accepted, done or confirmed as cancelled,
 * they query all nodes within milliseconds and repeat the submission; some cancel the job
 * immediately. Others cancel, query and resubmit around the end of a job's last task.
 */
final class RequestBursts {
  private static final long QUERY_TIMEOUT_MS = 2000;
  private static final long SUBMIT_TIMEOUT_MS = 5000;

  /** The requests of a burst are sent within this time. */
  private static final int BURST_SPAN_MS = 6;

  /** Approximate time from the end of a job's last task until the end of the job is recorded. */
  private static final int END_RECORDING_MS = 1800;

  private final SimCluster cluster;
  private final Random random;

  private long burstsUntil;
  private long cancelsUntil;

  /** Fraction of the ending jobs that are cancelled around their end. */
  private double cancelAtEndShare;

  /** Fraction of the jobs that are cancelled as soon as they are accepted. */
  double cancelAtAcceptanceShare = 0.1;

  /** Jobs that were chosen for a cancellation around their end; each is chosen at most once. */
  private final Set<String> cancelledNearEnd = new HashSet<>();

  /** Number of bursts after a job was accepted, done, or confirmed as cancelled. */
  int burstsAtAcceptance;

  int burstsAtCompletion;
  int burstsAtCancellation;

  /** Number of cancellations sent around the end of a job's last task. */
  int cancelsAtEnd;

  RequestBursts(SimCluster cluster, long seed) {
    this.cluster = cluster;
    random = new Random(seed);
  }

  /** Users send bursts of requests for the next {@code ms}. */
  void enableFor(long ms) {
    burstsUntil = Math.max(burstsUntil, cluster.clock.now() + ms);
  }

  /** For the next {@code ms}, this share of the ending jobs is cancelled around their end. */
  void cancelAtEnd(double share, long ms) {
    cancelAtEndShare = share;
    cancelsUntil = Math.max(cancelsUntil, cluster.clock.now() + ms);
  }

  /** A user got the first answer that a job is accepted, done or cancelled. */
  void onNewState(JobSpec spec, String state) {
    if (cluster.clock.now() >= burstsUntil) {
      return;
    }
    switch (state) {
      case "done" -> burstsAtCompletion++;
      case "withdrawn" -> burstsAtCancellation++;
      default -> burstsAtAcceptance++;
    }
    boolean unfinished = !state.equals("done") && !state.equals("withdrawn");
    if (unfinished && random.nextDouble() < cancelAtAcceptanceShare) {
      schedule(random.nextInt(BURST_SPAN_MS), () -> cancel(cluster.randomNode(), spec));
    }
    queryAllNodes(spec);
  }

  /** Queries every node twice, and repeats the submission at one node. */
  void queryAllNodes(JobSpec spec) {
    for (int node = 0; node < cluster.nodeCount(); node++) {
      int target = node;
      schedule(random.nextInt(BURST_SPAN_MS), () -> query(target, spec));
      schedule(BURST_SPAN_MS + random.nextInt(200), () -> query(target, spec));
    }
    schedule(
        random.nextInt(BURST_SPAN_MS), () -> submit(random.nextInt(cluster.nodeCount()), spec));
  }

  /** The last task of a job ended on its machine. */
  void onLastTaskEnded(JobSpec spec) {
    boolean chosen = random.nextDouble() < cancelAtEndShare;
    if (cluster.clock.now() < cancelsUntil && chosen && cancelledNearEnd.add(spec.ref())) {
      schedule(
          random.nextInt(END_RECORDING_MS),
          () -> cancelNearEnd(random.nextInt(cluster.nodeCount()), spec));
    }
  }

  /**
   * Sends a cancellation to one node, and queries and a repeated submission to random nodes, in any
   * order.
   */
  void cancelNearEnd(int node, JobSpec spec) {
    cancelsAtEnd++;
    schedule(random.nextInt(BURST_SPAN_MS), () -> cancel(node, spec));
    schedule(
        random.nextInt(BURST_SPAN_MS), () -> submit(random.nextInt(cluster.nodeCount()), spec));
    schedule(random.nextInt(BURST_SPAN_MS), () -> query(random.nextInt(cluster.nodeCount()), spec));
    schedule(random.nextInt(300), () -> query(random.nextInt(cluster.nodeCount()), spec));
  }

  private void schedule(long ms, Runnable action) {
    cluster.clock.after(ms, action);
  }

  void query(int node, JobSpec spec) {
    send(node, "GET", "/submissions/" + spec.ref(), spec, null);
  }

  void submit(int node, JobSpec spec) {
    send(node, "POST", "/submissions", spec, Cbor.bytes(spec.toNode()));
  }

  /** Cancels at a node; if that fails, the user retries like any other user. */
  void cancel(int node, JobSpec spec) {
    cluster.checks.cancelRequested.add(spec.ref());
    send(node, "POST", "/submissions/" + spec.ref() + "/cancel", spec, Cbor.bytes(Cbor.map()));
  }

  private void send(int node, String method, String path, JobSpec spec, byte[] body) {
    long sentAt = cluster.clock.now();
    long timeoutMs = method.equals("GET") ? QUERY_TIMEOUT_MS : SUBMIT_TIMEOUT_MS;
    cluster.net.call(
        "user",
        new Env.Call(cluster.nodeAddress(node), method, path, body, timeoutMs),
        reply -> {
          cluster.checkAnswer(spec, reply, sentAt);
          if (path.endsWith("/cancel") && reply.status() != 200) {
            cluster.cancel(spec);
          }
        });
  }
}
