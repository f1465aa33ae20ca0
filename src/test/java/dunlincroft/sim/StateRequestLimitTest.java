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
 * The state service's requests are few, while it would take many more changes than come: watches
 * and the barriers of polls ask without end, and must leave requests for what changes something.
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

  /** Nearly all requests were used. */
  private static void assertRequestsScarce(SimCluster cluster, int before, int seconds) {
    assertThat(cluster.state.requestCount - before)
        .as("requests were scarce")
        .isGreaterThan((int) (0.8 * RPS * seconds));
  }

  /** Nearly all requests are used, and jobs are accepted as they come all the same. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void jobsAreAcceptedThoughReadsCouldTakeAllRequests(long seed) throws MalformedException {
    SimCluster cluster = clusterWithJobs(seed);
    cluster.clock.runUntil(20_000);
    int before = cluster.state.requestCount;
    cluster.clock.runUntil(50_000);
    assertRequestsScarce(cluster, before, 30);
    assertThat(cluster.checks.accepted).as("accepted").hasSizeGreaterThan(JOBS - 8);
    runAndVerify(cluster);
  }

  /** The holder crashes in it, and comes back. */
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
    assertThat(cluster.checks.accepted).as("accepted").hasSizeGreaterThan(JOBS - 8);
    runAndVerify(cluster);
  }
}
