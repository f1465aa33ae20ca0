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
 * Guards against controllers without machine types, which accept no job: the types must reach them
 * soon by way of the record.
 */
class MachineTypeRecordTest extends OverlappingFaultsScenario {
  private static final int JOBS = 12;
  private static final long CLOUD_BACK_MS = 3000;
  private static final long OUTAGE_MS = 4000;

  /** Shorter than the time after which the load balancer excludes nodes that are not ready. */
  private static final long ACCEPTED_WITHIN_MS = 4000;

  /**
   * Only the leader gets an answer from the cloud, and its first write of the machine types fails
   * during an outage. The write was once retried only a minute later, and at the lowest priority.
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
    assertThat(cluster.checks.accepted)
        .as("accepted by controllers other than the leader")
        .hasSize(JOBS);
    runAndVerify(cluster);
  }
}
