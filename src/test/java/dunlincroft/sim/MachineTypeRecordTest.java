package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Who knows no machine types accepts nothing: they must come by way of the record, and soon. */
class MachineTypeRecordTest extends OverlappingFaultsScenario {
  private static final int JOBS = 12;
  private static final long CLOUD_BACK_MS = 3000;
  private static final long OUTAGE_MS = 4000;

  /** Sooner than the balancer leads users away from nodes that are not ready. */
  private static final long ACCEPTED_WITHIN_MS = 4000;

  /**
   * The cloud answers the leader alone, and the first writing of the types fails in an outage. It
   * was written again a minute later, and with the least urgency of all.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void failedMachineTypeWriteIsRetriedSoon(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(70_000);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.refuseCloudToNode(node, CLOUD_BACK_MS);
    }
    cluster.clock.runUntil(CLOUD_BACK_MS + 1);
    int leader = cluster.leader();
    assertThat(leader).isNotNegative();
    for (int node = 0; node < cluster.nodeCount(); node++) {
      if (node != leader) {
        cluster.refuseCloudToNode(node, 60_000);
      }
    }
    cluster.state.outage(OUTAGE_MS);
    cluster.clock.runUntil(CLOUD_BACK_MS + OUTAGE_MS);
    assertThat(cluster.state.dataUnder("d/types/")).as("not recorded in the outage").isEmpty();
    Random random = new Random(seed);
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = FaultPairsTest.randomJob(random, i);
      cluster.pinConnection(spec.ref(), (leader + 1 + i % 4) % cluster.nodeCount());
      cluster.submitAndFollow(spec, spec.isService() ? 100_000 : 0);
    }
    cluster.clock.runUntil(CLOUD_BACK_MS + OUTAGE_MS + ACCEPTED_WITHIN_MS);
    assertThat(cluster.leader()).isEqualTo(leader);
    assertThat(cluster.checks.accepted).as("accepted by others than the leader").hasSize(JOBS);
    runAndVerify(cluster);
  }
}
