package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against marks that outlive their reason and keep work from the only machine that fits: one
 * zone has a single machine, and the cloud has no other.
 */
class LeftWaitingTest {
  private static final int MACHINES = 5;
  private static final String ZONE = "c";
  private static final long TROUBLE_AT_MS = 40_000;
  private static final long TROUBLE_MS = 15_000;
  private static final long END_MS = 300_000;

  private static SimCluster cluster(long seed, int serviceTasks) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, new Size(5, MACHINES, 80, 8, 8, 80));
    cluster.cloud.zonesWithoutCapacity.add(ZONE);
    cluster.checks.setFaultsEnd(TROUBLE_AT_MS + TROUBLE_MS);
    // The machine stays in use: it is not returned for want of work.
    JobSpec service = inZone(InvariantsTest.batchJob("run-service", "blue", serviceTasks, 1));
    JobSpec daemon = JobSpec.parse(service.toNode().put("shape", "daemon").put("rank", "prod"));
    cluster.clock.after(5000, () -> cluster.submitAndFollow(daemon, 0));
    cluster.clock.runUntil(TROUBLE_AT_MS);
    assertThat(cluster.checks.running(daemon.ref())).isEqualTo(serviceTasks);
    return cluster;
  }

  private static JobSpec inZone(JobSpec spec) throws MalformedException {
    return JobSpec.parse(spec.toNode().put("hall", ZONE).put("lendable", false));
  }

  private static SimWorker onlyMachine(SimCluster cluster) {
    return cluster.cloud.machines.values().stream()
        .filter(worker -> worker.zone.equals(ZONE))
        .findFirst()
        .orElseThrow();
  }

  private static void verifyThatBoundJobRuns(SimCluster cluster) throws MalformedException {
    JobSpec job = inZone(InvariantsTest.batchJob("run-bound", "blue", 1, 2, 3, 0));
    cluster.submitAndFollow(job, 0);
    cluster.clock.runUntil(END_MS);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).containsEntry(job.ref(), "done");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void jobThatFailedOnItsOnlyMachineRunsOnceThatIsWell(long seed) throws MalformedException {
    SimCluster cluster = cluster(seed, 1);
    SimWorker machine = onlyMachine(cluster);
    machine.faulty = true;
    cluster.clock.after(6000, () -> machine.faulty = false);
    verifyThatBoundJobRuns(cluster);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void machineWhoseReleaseWasRefusedGetsWorkOnceItIsBack(long seed) throws MalformedException {
    SimCluster cluster = cluster(seed, 1);
    SimWorker machine = onlyMachine(cluster);
    cluster.cutWorkerFromControllers(machine, 9000);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.refuseCloudToNode(node, TROUBLE_MS);
    }
    cluster.clock.runUntil(TROUBLE_AT_MS + TROUBLE_MS);
    assertThat(onlyMachine(cluster)).isSameAs(machine);
    verifyThatBoundJobRuns(cluster);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void workThatCanGoNowhereElseUsesTheReserveForServices(long seed) throws MalformedException {
    SimCluster cluster = cluster(seed, SimCluster.CPUS_PER_MACHINE - 4);
    verifyThatBoundJobRuns(cluster);
  }
}
