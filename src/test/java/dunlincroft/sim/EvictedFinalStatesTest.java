package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong answers about jobs that ended long ago and whose final states every
 * controller has evicted from memory.
 */
class EvictedFinalStatesTest {
  private static final int EVICTED = 60;

  /** Time the controllers need to read all records, a few keys at a time. */
  private static final long INITIAL_READ_MS = 120_000;

  /**
   * Records a job's final state as the state service keeps it and as its user was told long ago.
   */
  private static JobSpec createEndedJob(SimCluster cluster, int number) {
    String ref = String.format("run-old-%06d", number);
    String state = number % 2 == 0 ? "done" : "withdrawn";
    JobSpec spec = InvariantsTest.batchJob(ref, "blue", 1, 1);
    cluster.createRecord("d/jobs/" + ref, Cbor.map().put("status", state).put("done", 1));
    if (number < EVICTED) {
      cluster.checks.completedTasks.put(ref, Set.of(ref + "/0"));
      cluster.checks.cancelRequested.add(ref);
      cluster.checks.onAnswer(spec, 200, Cbor.map().put("status", state).put("done", 1), 0);
    }
    return spec;
  }

  /** Queries, submissions and cancellations at every node are answered with the final state. */
  @Test
  void everyNodeAnswersEvictedFinalStates() throws MalformedException {
    SimCluster cluster = new SimCluster(1, Policy.DEFAULT, Size.SMALL);
    List<JobSpec> evictedJobs = new ArrayList<>();
    for (int i = 0; i < Constants.MAX_ENDED_JOBS_IN_MEMORY + EVICTED; i++) {
      JobSpec spec = createEndedJob(cluster, i);
      if (i < EVICTED) {
        evictedJobs.add(spec);
      }
    }
    cluster.clock.runUntil(INITIAL_READ_MS);
    int[] lookups = new int[1];
    cluster.net.onSent =
        (path, body) -> lookups[0] += path.startsWith("/keys/d/jobs/run-old") ? 1 : 0;
    int jobQueries = 0;
    for (int i = 0; i < evictedJobs.size(); i++) {
      JobSpec spec = evictedJobs.get(i);
      for (int node = 0; node < cluster.nodeCount(); node++) {
        int each = node;
        cluster.clock.after(200L * i, () -> cluster.requestBursts.query(each, spec));
        cluster.clock.after(200L * i + 30, () -> cluster.requestBursts.submit(each, spec));
        cluster.clock.after(200L * i + 60, () -> cluster.requestBursts.cancel(each, spec));
      }
      jobQueries += cluster.nodeCount();
    }
    cluster.clock.runUntil(INITIAL_READ_MS + 30_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(lookups[0]).as("final states looked up").isGreaterThan(2 * jobQueries);
    assertThat(cluster.state.dataUnder("d/jobs/"))
        .hasSize(Constants.MAX_ENDED_JOBS_IN_MEMORY + EVICTED);
  }
}
