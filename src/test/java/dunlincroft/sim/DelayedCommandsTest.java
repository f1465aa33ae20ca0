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
 * Guards against releasing a team's quota too early. Single commands are delayed while reports
 * still arrive; their jobs are cancelled as they start, and their team is at its limit, so that
 * quota released too early exceeds the limit at once.
 */
class DelayedCommandsTest {
  private static final int JOBS = 160;
  private static final long FIRST_SUBMIT_MS = 15_000;

  @ParameterizedTest
  @ValueSource(longs = {2, 3, 4})
  void cancelledWhileCommandsAreDelayed(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(140_000);
    Random random = new Random(seed);
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = InvariantsTest.batchJob("run-" + i, "red", 2, 4);
      long cancelMs = i % 3 == 0 ? 0 : 1000 + random.nextInt(30_000);
      cluster.clock.after(
          FIRST_SUBMIT_MS + 400L * i, () -> cluster.submitAndFollow(spec, cancelMs));
    }
    cluster.clock.runUntil(FIRST_SUBMIT_MS);
    cluster.net.delayedCommandShare = 0.3;
    cluster.clock.runUntil(100_000);
    cluster.net.delayedCommandShare = 0;
    cluster.clock.runUntil(500_000);
    assertThat(cluster.net.commandsAfterTimeout).as("commands delayed").isGreaterThan(5);
    assertThat(cluster.checks.cancelConfirmedAt).as("cancelled jobs").hasSizeGreaterThan(50);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(JOBS);
  }
}
