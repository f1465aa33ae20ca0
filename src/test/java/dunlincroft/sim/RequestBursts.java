package dunlincroft.sim;

import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.transport.Env;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Users that look closely: as soon as a job is accepted, ends or is confirmed as cancelled they ask
 * at all nodes within milliseconds and repeat the submission; some cancel at once. Others cancel,
 * ask and submit again around the end of a job's last task.
 */
final class RequestBursts {
  private static final long QUERY_TIMEOUT_MS = 2000;
  private static final long SUBMIT_TIMEOUT_MS = 5000;

  /** All questions of a look are sent within so many milliseconds. */
  private static final int BURST_SPAN_MS = 6;

  /** From the end of a task until its job's end is recorded it takes about so long. */
  private static final int END_RECORDING_MS = 1800;

  private final SimCluster cluster;
  private final Random random;

  private long burstsUntil;
  private long cancelsUntil;

  /** Part of the jobs that end which are called off around their end. */
  private double cancelAtEndShare;

  /** Part of the jobs that are called off as soon as they are accepted. */
  double cancelAtAcceptanceShare = 0.1;

  /** Jobs whose last task has ended as users see it: each is called off once at the most. */
  private final Set<String> cancelledNearEnd = new HashSet<>();

  /** Jobs looked at closely after they were accepted, ended, or were confirmed as cancelled. */
  int burstsAtAcceptance;

  int burstsAtCompletion;
  int burstsAtCancellation;

  /** Cancellations sent around the end of a last task. */
  int cancelsAtEnd;

  RequestBursts(SimCluster cluster, long seed) {
    this.cluster = cluster;
    random = new Random(seed);
  }

  /** Users look closely for so many milliseconds. */
  void enableFor(long ms) {
    burstsUntil = Math.max(burstsUntil, cluster.clock.now() + ms);
  }

  /** For so many milliseconds that share of the jobs that end is called off around the end. */
  void cancelAtEnd(double share, long ms) {
    cancelAtEndShare = share;
    cancelsUntil = Math.max(cancelsUntil, cluster.clock.now() + ms);
  }

  /** A user was told something new of a job: that it is accepted, done or cancelled. */
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

  /** Asks at every node, twice, and repeats the submission at one. */
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

  /** A cancellation at one node, questions and a repeated submission at others, in any order. */
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

  /** Cancels at a node; without an answer the user goes on as users do. */
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
