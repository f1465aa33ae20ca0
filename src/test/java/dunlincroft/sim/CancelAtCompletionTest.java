package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong final state when a job ends as its user acts on it. Cancellations, queries
 * and repeated submissions arrive within milliseconds of the end of a job's last task, at the owner
 * and at other nodes: around the worker's report, the write of the job's end, and the answer to
 * that write.
 */
class CancelAtCompletionTest extends OverlappingFaultsScenario {
  private static final int JOBS = 200;

  private static final long FAULTS_OVER_MS = 80_000;
  private static final long END_MS = 150_000;

  /** Longest time from the report of a task's end to the write of its job's end. */
  private static final int MAX_END_WRITE_MS = 60;

  private final Set<String> reportedEnds = new HashSet<>();

  /** Requests around a job's end at the node that owned the job, and at other nodes. */
  private int requestsAtOwner;

  private int requestsAtOtherNodes;

  /**
   * Writes of a job's end that the state service rejected because of a cancellation, and the
   * reverse.
   */
  private int rejectedEnds;

  private int rejectedCancels;

  /** Jobs cancelled around their end, by the final state that their users were told. */
  private int answeredDone;

  private int answeredWithdrawn;

  private SimCluster smallJobs(long seed) throws MalformedException {
    reportedEnds.clear();
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    Random random = new Random(seed);
    cluster.checks.setFaultsEnd(FAULTS_OVER_MS);
    cluster.requestBursts.cancelAtEnd(0.2, FAULTS_OVER_MS);
    cluster.net.onSent =
        (path, body) -> {
          if (path.equals("/hello")) {
            onWorkerReport(cluster, random, body);
          }
        };
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = InvariantsTest.batchJob("run-" + i, "blue", 1 + random.nextInt(3), 0.5);
      cluster.clock.after(5000 + 250L * i, () -> cluster.submitAndFollow(spec, 0));
    }
    return cluster;
  }

  /**
   * When a worker reports the end of a job's last task, users send requests around the write that
   * follows.
   */
  private void onWorkerReport(SimCluster cluster, Random random, ObjectNode body) {
    for (JsonNode task : body.path("pieces")) {
      String ref = task.path("piece").asText().split("/")[0];
      int ended = cluster.checks.completedTasks.getOrDefault(ref, Set.of()).size();
      boolean last = ended == cluster.specOf(ref).taskCount();
      if (last && task.path("cause").asText().equals("done") && reportedEnds.add(ref)) {
        boolean toOwner = random.nextBoolean();
        int node = toOwner ? ownerNodeOf(cluster, ref) : random.nextInt(cluster.nodeCount());
        JobSpec spec = cluster.specOf(ref);
        long offset = random.nextInt(MAX_END_WRITE_MS);
        if (node >= 0) {
          requestsAtOwner += toOwner ? 1 : 0;
          requestsAtOtherNodes += toOwner ? 0 : 1;
          cluster.clock.after(offset, () -> cluster.requestBursts.cancelNearEnd(node, spec));
        }
      }
    }
  }

  /** The index of the node that owns a job according to the records; -1 if its end is recorded. */
  private static int ownerNodeOf(SimCluster cluster, String ref) {
    JsonNode job = cluster.state.dataUnder("d/jobs/" + ref).get("");
    if (job == null || job.has("status")) {
      return -1;
    }
    String shard = job.path("shard").asText();
    return cluster.nodeIndex(
        cluster.state.dataUnder("d/shards/" + shard).get("").path("holder").asText());
  }

  /** Plays a day to its end and adds up the requests that overlapped the end of a job. */
  private void playAndCount(SimCluster cluster) {
    runAndVerify(cluster, END_MS);
    rejectedEnds += cluster.state.rejectedEnds;
    rejectedCancels += cluster.state.rejectedCancels;
    for (String ref : cluster.checks.cancelRequested) {
      boolean ended = cluster.checks.completedTasks.getOrDefault(ref, Set.of()).size() > 0;
      boolean done = cluster.checks.finalStates.get(ref).equals("done");
      answeredDone += done ? 1 : 0;
      answeredWithdrawn += ended && !done ? 1 : 0;
    }
  }

  private void assertRequestsOverlappedEnds(int days) {
    assertThat(requestsAtOwner).as("requests at the owner").isGreaterThan(20 * days);
    assertThat(requestsAtOtherNodes).as("requests at other nodes").isGreaterThan(20 * days);
    assertThat(rejectedEnds).as("ends rejected because of a cancellation").isGreaterThan(days);
    assertThat(rejectedCancels).as("cancellations rejected because of the end").isGreaterThan(1);
    assertThat(answeredDone).as("jobs told as done").isGreaterThan(10 * days);
    assertThat(answeredWithdrawn)
        .as("jobs with finished tasks told as cancelled")
        .isGreaterThan(10 * days);
  }

  @Test
  void cancellationsAroundTheEndOfTheLastTask() throws MalformedException {
    for (long seed = 1; seed <= 4; seed++) {
      playAndCount(smallJobs(seed));
    }
    assertRequestsOverlappedEnds(4);
  }

  /** The same while the owner changes, at the very moment at which some jobs end. */
  @Test
  void cancellationsAroundTheEndDuringOwnerChanges() throws MalformedException {
    for (long seed = 5; seed <= 8; seed++) {
      SimCluster cluster = smallJobs(seed);
      long awayMs = seed % 2 == 0 ? 200 : 8000;
      int[] ownerChanges = new int[1];
      long[] nextChangeAt = {20_000};
      BiConsumer<String, ObjectNode> previousListener = cluster.net.onSent;
      cluster.net.onSent =
          (path, body) -> {
            int before = reportedEnds.size();
            previousListener.accept(path, body);
            if (reportedEnds.size() > before
                && cluster.clock.now() > nextChangeAt[0]
                && ownerChanges[0] < 5) {
              ownerChanges[0]++;
              nextChangeAt[0] = cluster.clock.now() + 9000;
              cluster.clock.after(ownerChanges[0] * 11L, () -> cluster.crashOwner(awayMs));
            }
          };
      playAndCount(cluster);
      assertThat(ownerChanges[0]).as("owner changes at a job's end").isEqualTo(5);
    }
    assertRequestsOverlappedEnds(4);
  }
}
