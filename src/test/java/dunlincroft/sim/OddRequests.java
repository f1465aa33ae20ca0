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
 * Users that send what can never run or lacks a field, repeat submissions of unfinished jobs, and
 * cancel jobs that are done.
 */
final class OddRequests {
  private static final long SUBMIT_MS = 5000;
  private static final int EACH_MS = 700;

  /** Fields that no submission may lack. */
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
  enum Impossible {
    UNKNOWN_TEAM(job -> job.put("owner", "green")),
    UNKNOWN_TYPE(job -> job.putArray("flavours").add("m64")),
    NO_TYPE(job -> job.putArray("flavours")),
    UNKNOWN_ZONE(job -> job.put("hall", "z")),
    TOO_MANY_CPUS(job -> job.put("cpus", SimCluster.CPUS + 0.5)),
    TOO_MUCH_MEMORY(job -> job.put("ramGb", 64.25)),
    A_GPU(job -> job.put("gpus", 1)),
    TASK_OVER_LIMIT(job -> job.put("owner", "red").put("cpus", 40.5)),
    SERVICE_OVER_LIMIT(
        job -> job.put("owner", "red").put("shape", "daemon").put("cpus", 14).put("pieces", 3));

    private final java.util.function.Consumer<ObjectNode> change;

    Impossible(java.util.function.Consumer<ObjectNode> change) {
      this.change = change;
    }

    /** Whether this can be told without the machine types. */
    boolean byTeam() {
      return this == UNKNOWN_TEAM || this == TASK_OVER_LIMIT || this == SERVICE_OVER_LIMIT;
    }
  }

  private final SimCluster cluster;
  private final Random random;
  private long until;
  private int sent;

  /** Answers to jobs that can never run, and to those that lack a field, by status. */
  final Map<Integer, Integer> impossible = new HashMap<>();

  final Map<Integer, Integer> lacking = new HashMap<>();

  /** Jobs that were done when they were cancelled, and submissions repeated of open jobs. */
  int cancelsOfDone;

  int repeated;

  OddRequests(SimCluster cluster, long seed) {
    this.cluster = cluster;
    random = new Random(seed);
  }

  /** Such requests come for so many milliseconds. */
  void during(long ms) {
    boolean going = cluster.clock.now() < until;
    until = Math.max(until, cluster.clock.now() + ms);
    if (!going) {
      some();
    }
  }

  private void some() {
    if (cluster.clock.now() >= until) {
      return;
    }
    Impossible[] all = Impossible.values();
    impossible(cluster.anyNode(), all[random.nextInt(all.length)]);
    lacking(cluster.anyNode(), REQUIRED.get(random.nextInt(REQUIRED.size())));
    repeatOpen();
    cancelDone();
    cluster.clock.after(random.nextInt(EACH_MS), this::some);
  }

  private void repeatOpen() {
    List<String> open = new ArrayList<>(cluster.checks.accepted);
    open.removeAll(cluster.checks.toldFinal.keySet());
    open.sort(null);
    if (!open.isEmpty()) {
      repeated++;
      JobSpec spec = cluster.uploaded(open.get(random.nextInt(open.size())));
      cluster.closeLooks.submit(cluster.anyNode(), spec);
    }
  }

  private void cancelDone() {
    List<String> done = new ArrayList<>(cluster.checks.toldFinal.keySet());
    done.removeIf(ref -> !cluster.checks.toldFinal.get(ref).equals("done"));
    done.sort(null);
    if (!done.isEmpty()) {
      cancelsOfDone++;
      JobSpec spec = cluster.uploaded(done.get(random.nextInt(done.size())));
      cluster.closeLooks.cancel(cluster.anyNode(), spec);
      cluster.closeLooks.submit(cluster.anyNode(), spec);
    }
  }

  private ObjectNode usual() {
    try {
      return PairsTest.job(random, 0).toNode().put("ref", "run-odd-" + sent++);
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Submits a job that can never run. */
  void impossible(int node, Impossible why) {
    ObjectNode job = usual().put("shape", "batch").put("owner", "blue");
    why.change.accept(job);
    send(node, job, 422, why.name(), impossible);
  }

  /** Submits a job that lacks a field. */
  void lacking(int node, String field) {
    ObjectNode job = usual();
    job.remove(field);
    send(node, job, 400, "no " + field, lacking);
  }

  private void send(
      int node, ObjectNode job, int refusal, String why, Map<Integer, Integer> count) {
    cluster.net.call(
        "user",
        new Env.Call(cluster.nodeAddress(node), "POST", "/submissions", Cbor.bytes(job), SUBMIT_MS),
        reply -> {
          count.merge(reply.status(), 1, Integer::sum);
          try {
            boolean clear =
                reply.body().length > 0
                    && !Cbor.parse(reply.body()).path("error").asText().isEmpty();
            cluster.checks.refused(job.path("ref").asText(), why, refusal, reply.status(), clear);
          } catch (MalformedException e) {
            throw new IllegalStateException(e);
          }
        });
  }
}
