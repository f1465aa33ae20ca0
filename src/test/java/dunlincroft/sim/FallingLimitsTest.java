package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a write that is rejected for its size and repeated unchanged for ever. */
class FallingLimitsTest extends OverlappingFaultsScenario {
  private static final long LIMITS_FALL_AT_MS = 30_000;

  /**
   * The state service takes smaller values than the settings say, without notice; the owner crashes
   * later.
   */
  @ParameterizedTest
  @CsvSource({"1,2048,false", "2,1024,false", "3,2048,true", "4,1024,true"})
  void jobsGoOnWhenValuesMustBeSmaller(long seed, int maxValueChars, boolean crash)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(LIMITS_FALL_AT_MS);
    cluster.state.maxValueChars = maxValueChars;
    if (crash) {
      cluster.clock.after(20_000, () -> cluster.crashOwner(300));
    }
    for (int i = 0; i < 20; i++) {
      JobSpec spec = InvariantsTest.batchJob("run-late-" + i, "blue", 10, 1, 5, 0);
      cluster.clock.after(5000 + 500L * i, () -> cluster.submitAndFollow(spec, 0));
    }
    runUntilDoneAndVerify(cluster);
    assertThat(cluster.state.rejectedAsTooLarge).as("rejected for size").isBetween(1, 60);
  }
}
