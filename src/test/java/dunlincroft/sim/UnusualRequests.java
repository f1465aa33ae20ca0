package dunlincroft.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Users that submit jobs which can never run or lack a field, repeat submissions of unfinished
 * jobs, and cancel jobs that are done.
 */
final class UnusualRequests {
  private static final long SUBMIT_TIMEOUT_MS = 5000;
  private static final int MAX_INTERVAL_MS = 700;

  /** Required fields of a submission. */
  static final List<String> REQUIRED =
      List.of(
          "ref",
          "jobclass",
          "owner",
          "shape",
          "rank",
          "pieces",
          "cpus",
          "gpus",
          "ramGb",
          "bundle",
          "imageGb",
          "samePlace",
          "spread",
          "lendable",
          "expectS",
          "snapshotS",
          "flushS");

  /** Why a job can never run. */
  enum Infeasibility {
    UNKNOWN_TEAM(job -> job.put("owner", "green")),
    UNKNOWN_TYPE(job -> job.putArray("flavours").add("m64")),
    NO_TYPE(job -> job.putArray("flavours")),
    UNKNOWN_ZONE(job -> job.put("hall", "z")),
    TOO_MANY_CPUS(job -> job.put("cpus", SimCluster.CPUS_PER_MACHINE + 0.5)),
    TOO_MUCH_MEMORY(job -> job.put("ramGb", 64.25)),
    UNAVAILABLE_GPU(job -> job.put("gpus", 1)),
    TASK_OVER_LIMIT(job -> job.put("owner", "red").put("cpus", 40.5)),
    SERVICE_OVER_LIMIT(
        job -> job.put("owner", "red").put("shape", "daemon").put("cpus", 14).put("pieces", 3));

    private final java.util.function.Consumer<ObjectNode> change;

    Infeasibility(java.util.function.Consumer<ObjectNode> change) {
      this.change = change;
    }

    /** Whether this can be decided without the machine types. */
    boolean dependsOnlyOnTeam() {
      return this == UNKNOWN_TEAM || this == TASK_OVER_LIMIT || this == SERVICE_OVER_LIMIT;
    }
  }

  private final SimCluster cluster;
  private final Random random;
  private long activeUntil;
  private int sentCount;

  /** Number of answers by status: to jobs that can never run, and to jobs that lack a field. */
  final Map<Integer, Integer> infeasible = new HashMap<>();

  final Map<Integer, Integer> missingField = new HashMap<>();

  /** Number of cancellations of done jobs, and of repeated submissions of unfinished jobs. */
  int cancelsOfDone;

  int repeatedSubmissions;

  UnusualRequests(SimCluster cluster, long seed) {
    this.cluster = cluster;
    random = new Random(seed);
  }

  /** Sends such requests for the next {@code ms}. */
  void enableFor(long ms) {
    boolean active = cluster.clock.now() < activeUntil;
    activeUntil = Math.max(activeUntil, cluster.clock.now() + ms);
    if (!active) {
      sendSome();
    }
  }

  private void sendSome() {
    if (cluster.clock.now() >= activeUntil) {
      return;
    }
    Infeasibility[] all = Infeasibility.values();
    infeasible(cluster.randomNode(), all[random.nextInt(all.length)]);
    missingField(cluster.randomNode(), REQUIRED.get(random.nextInt(REQUIRED.size())));
    repeatOpenSubmission();
    cancelDoneJob();
    cluster.clock.after(random.nextInt(MAX_INTERVAL_MS), this::sendSome);
  }

  private void repeatOpenSubmission() {
    List<String> open = new ArrayList<>(cluster.checks.accepted);
    open.removeAll(cluster.checks.finalStates.keySet());
    open.sort(null);
    if (!open.isEmpty()) {
      repeatedSubmissions++;
      JobSpec spec = cluster.specOf(open.get(random.nextInt(open.size())));
      cluster.requestBursts.submit(cluster.randomNode(), spec);
    }
  }

  private void cancelDoneJob() {
    List<String> done = new ArrayList<>(cluster.checks.finalStates.keySet());
    done.removeIf(ref -> !cluster.checks.finalStates.get(ref).equals("done"));
    done.sort(null);
    if (!done.isEmpty()) {
      cancelsOfDone++;
      JobSpec spec = cluster.specOf(done.get(random.nextInt(done.size())));
      cluster.requestBursts.cancel(cluster.randomNode(), spec);
      cluster.requestBursts.submit(cluster.randomNode(), spec);
    }
  }

  private ObjectNode validJob() {
    try {
      return FaultPairsTest.randomJob(random, 0).toNode().put("ref", "run-odd-" + sentCount++);
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Submits a job that can never run. */
  void infeasible(int node, Infeasibility reason) {
    ObjectNode job = validJob().put("shape", "batch").put("owner", "blue");
    reason.change.accept(job);
    send(node, job, 422, reason.name(), infeasible);
  }

  /** Submits a job that lacks a field. */
  void missingField(int node, String field) {
    ObjectNode job = validJob();
    job.remove(field);
    send(node, job, 400, "missing field " + field, missingField);
  }

  private void send(
      int node, ObjectNode job, int expectedStatus, String reason, Map<Integer, Integer> count) {
    cluster.net.call(
        "user",
        new Env.Call(
            cluster.nodeAddress(node), "POST", "/submissions", Cbor.bytes(job), SUBMIT_TIMEOUT_MS),
        reply -> {
          count.merge(reply.status(), 1, Integer::sum);
          try {
            boolean hasReason =
                reply.body().length > 0
                    && !Cbor.parse(reply.body()).path("error").asText().isEmpty();
            cluster.checks.onRefusal(
                job.path("ref").asText(), reason, expectedStatus, reply.status(), hasReason);
          } catch (MalformedException e) {
            throw new IllegalStateException(e);
          }
        });
  }
}
