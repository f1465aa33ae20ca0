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
 * Cancellations, questions and repeated submissions meet the end of a job's last task, at the
 * holder and at other nodes, milliseconds before and after: the report of the end, the write of the
 * job's end, and its answer.
 */
class CancelAtEndTest extends OverlappingFaultsScenario {
  private static final int JOBS = 200;

  private static final long TROUBLES_MS = 80_000;
  private static final long END_MS = 150_000;

  /** From the report of a task's end to the write of its job's end takes so long at the most. */
  private static final int WRITTEN_MS = 60;

  private final Set<String> reported = new HashSet<>();

  /** Meetings at the node that ran the job, and at others. */
  private int atHolder;

  private int elsewhere;

  /** Ends that a cancellation came before in the state service, and the other way round. */
  private int endsOvertaken;

  private int cancelsOvertaken;

  /** Jobs called off around their end, by what their users were told. */
  private int answeredDone;

  private int answeredWithdrawn;

  private SimCluster smallJobs(long seed) throws MalformedException {
    reported.clear();
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    Random random = new Random(seed);
    cluster.checks.setFaultsEnd(TROUBLES_MS);
    cluster.requestBursts.cancelAtEnd(0.2, TROUBLES_MS);
    cluster.net.onSent =
        (path, body) -> {
          if (path.equals("/hello")) {
            report(cluster, random, body);
          }
        };
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = RulesTest.simple("run-" + i, "blue", 1 + random.nextInt(3), 0.5);
      cluster.clock.after(5000 + 250L * i, () -> cluster.submitAndFollow(spec, 0));
    }
    return cluster;
  }

  /** A worker's report of the end of a job's last task leaves: users act around what follows. */
  private void report(SimCluster cluster, Random random, ObjectNode body) {
    for (JsonNode piece : body.path("pieces")) {
      String ref = piece.path("piece").asText().split("/")[0];
      int ended = cluster.checks.completedTasks.getOrDefault(ref, Set.of()).size();
      boolean last = ended == cluster.specOf(ref).taskCount();
      if (last && piece.path("cause").asText().equals("done") && reported.add(ref)) {
        boolean there = random.nextBoolean();
        int node = there ? holderOf(cluster, ref) : random.nextInt(cluster.nodeCount());
        JobSpec spec = cluster.specOf(ref);
        long offset = random.nextInt(WRITTEN_MS);
        if (node >= 0) {
          atHolder += there ? 1 : 0;
          elsewhere += there ? 0 : 1;
          cluster.clock.after(offset, () -> cluster.requestBursts.cancelNearEnd(node, spec));
        }
      }
    }
  }

  /** The node that runs a job, by the records; -1: its end is recorded. */
  private static int holderOf(SimCluster cluster, String ref) {
    JsonNode job = cluster.state.dataUnder("d/jobs/" + ref).get("");
    if (job == null || job.has("status")) {
      return -1;
    }
    String shard = job.path("shard").asText();
    return cluster.nodeIndex(
        cluster.state.dataUnder("d/shards/" + shard).get("").path("holder").asText());
  }

  /** Plays a day to its end and counts what met on it. */
  private void play(SimCluster cluster) {
    runAndVerify(cluster, END_MS);
    endsOvertaken += cluster.state.rejectedEnds;
    cancelsOvertaken += cluster.state.rejectedCancels;
    for (String ref : cluster.checks.cancelRequested) {
      boolean ended = cluster.checks.completedTasks.getOrDefault(ref, Set.of()).size() > 0;
      boolean done = cluster.checks.finalStates.get(ref).equals("done");
      answeredDone += done ? 1 : 0;
      answeredWithdrawn += ended && !done ? 1 : 0;
    }
  }

  private void assertMet(int days) {
    assertThat(atHolder).as("at the holder").isGreaterThan(20 * days);
    assertThat(elsewhere).as("at other nodes").isGreaterThan(20 * days);
    assertThat(endsOvertaken).as("ends refused by a cancellation").isGreaterThan(days);
    assertThat(cancelsOvertaken).as("cancellations refused by the end").isGreaterThan(1);
    assertThat(answeredDone).as("the end came first").isGreaterThan(10 * days);
    assertThat(answeredWithdrawn).as("the cancellation came first").isGreaterThan(10 * days);
  }

  @Test
  void cancellationsMeetTheEndOfTheLastTask() throws MalformedException {
    for (long seed = 1; seed <= 4; seed++) {
      play(smallJobs(seed));
    }
    assertMet(4);
  }

  /** The same while the holder changes, at the very moment of some ends. */
  @Test
  void andTheHolderChanges() throws MalformedException {
    for (long seed = 5; seed <= 8; seed++) {
      SimCluster cluster = smallJobs(seed);
      long away = seed % 2 == 0 ? 200 : 8000;
      int[] changes = new int[1];
      long[] next = {20_000};
      BiConsumer<String, ObjectNode> inner = cluster.net.onSent;
      cluster.net.onSent =
          (path, body) -> {
            int before = reported.size();
            inner.accept(path, body);
            if (reported.size() > before && cluster.clock.now() > next[0] && changes[0] < 5) {
              changes[0]++;
              next[0] = cluster.clock.now() + 9000;
              cluster.clock.after(changes[0] * 11L, () -> cluster.crashOwner(away));
            }
          };
      play(cluster);
      assertThat(changes[0]).as("changes of the holder at an end").isEqualTo(5);
    }
    assertMet(4);
  }
}
