package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against reads that use up the request limit of the state service. Few requests are
 * allowed, but many more changes than are made: watches and the read barriers of polls cause
 * requests all the time, and must leave some for writes.
 */
class StateRequestLimitTest extends OverlappingFaultsScenario {
  private static final double RPS = 20;
  private static final double WRITE_RPS = 60;
  private static final int JOBS = 80;
  private static final long SUBMIT_INTERVAL_MS = 500;

  private SimCluster clusterWithJobs(long seed) throws MalformedException {
    Size size = new Size(5, 60, JOBS, 8, 8, WRITE_RPS, 2, RPS);
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, size);
    Random random = new Random(seed);
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = FaultPairsTest.randomJob(random, i);
      jobs.add(spec);
      long cancelAfterMs = spec.isService() ? 150_000 : 0;
      cluster.clock.after(
          5000 + SUBMIT_INTERVAL_MS * i, () -> cluster.submitAndFollow(spec, cancelAfterMs));
    }
    return cluster;
  }

  /** Asserts that nearly all allowed requests were used. */
  private static void assertRequestsScarce(SimCluster cluster, int before, int seconds) {
    assertThat(cluster.state.requestCount - before)
        .as("requests used")
        .isGreaterThan((int) (0.8 * RPS * seconds));
  }

  /** Nearly all allowed requests are used, and jobs are still accepted as they are submitted. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void jobsAreAcceptedThoughReadsCouldTakeAllRequests(long seed) throws MalformedException {
    SimCluster cluster = clusterWithJobs(seed);
    cluster.clock.runUntil(20_000);
    int before = cluster.state.requestCount;
    cluster.clock.runUntil(50_000);
    assertRequestsScarce(cluster, before, 30);
    assertThat(cluster.checks.accepted).as("accepted jobs").hasSizeGreaterThan(JOBS - 8);
    runAndVerify(cluster);
  }

  /** The owner crashes under this load, and restarts. */
  @ParameterizedTest
  @ValueSource(longs = {4, 5})
  void ownerCrashesWhileRequestsAreScarce(long seed) throws MalformedException {
    SimCluster cluster = clusterWithJobs(seed);
    cluster.checks.setFaultsEnd(100_000);
    cluster.clock.runUntil(30_000);
    String oldOwner = cluster.ownerName();
    int before = cluster.state.requestCount;
    cluster.crashOwner(10_000);
    cluster.clock.runUntil(45_000);
    assertRequestsScarce(cluster, before, 15);
    assertThat(cluster.ownerName()).isNotEqualTo(oldOwner);
    cluster.clock.runUntil(70_000);
    assertThat(cluster.checks.accepted).as("accepted jobs").hasSizeGreaterThan(JOBS - 8);
    runAndVerify(cluster);
  }
}
