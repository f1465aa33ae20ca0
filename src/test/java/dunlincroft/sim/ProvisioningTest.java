package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Renting, returning and draining machines, and the cloud's machine list, with faults of the cloud.
 */
class ProvisioningTest {
  private SimCluster cluster;
  private SimCloud cloud;

  @BeforeEach
  void createClusterWithFiveMachines() throws MalformedException {
    cluster = new SimCluster(11, Policy.DEFAULT, Size.SMALL);
    cloud = cluster.cloud;
  }

  private void submitJob(long atMs, int tasks) {
    String ref = "run-w" + atMs;
    cluster.clock.after(
        atMs, () -> cluster.submitAndFollow(InvariantsTest.batchJob(ref, "blue", tasks, 2), 0));
  }

  private void assertInvariants() {
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).hasSize(cluster.submittedJobs());
  }

  /**
   * Hosts of all recorded blocks; {@link InvariantChecks} verifies that no host is in two blocks.
   */
  private List<String> leasedHosts() {
    List<String> hosts = new ArrayList<>();
    for (JsonNode block : cluster.state.dataUnder("d/blocks/").values()) {
      block.path("hosts").fieldNames().forEachRemaining(hosts::add);
    }
    return hosts;
  }

  @Test
  void machinesRefusedInOneZoneAreRentedInOthers() {
    cloud.zonesWithoutCapacity.addAll(List.of("a", "c"));
    submitJob(5000, 90);
    cluster.clock.runUntil(20_000);
    assertThat(cloud.machines).hasSizeGreaterThan(8);
    assertThat(cloud.machines.values().stream().skip(5))
        .allMatch(worker -> worker.zone.equals("b"));
    cluster.clock.runUntil(120_000);
    assertInvariants();
  }

  /**
   * A machine boots within a second, while the answer to the rental takes three: it is leased once
   * and rented once.
   */
  @Test
  void workersThatReportBeforeTheRentalIsAnsweredAreLeasedOnce() {
    cloud.bootMs = 0;
    cloud.answerDelayMs = 3000;
    cloud.maxMachines = 40;
    submitJob(5000, 60);
    cluster.clock.runUntil(20_000);
    assertThat(leasedHosts()).doesNotHaveDuplicates().hasSameSizeAs(cloud.machines.keySet());
    assertThat(cloud.machines).hasSizeBetween(7, 16);
    cluster.clock.runUntil(120_000);
    assertInvariants();
  }

  @Test
  void machinesThatNeverBootAreReplacedAndReturned() {
    cloud.bootMs = Long.MAX_VALUE / 4;
    submitJob(5000, 60);
    cluster.clock.runUntil(15_000);
    int notBooted = cloud.machines.size() - 5;
    assertThat(notBooted).isPositive();
    cloud.bootMs = 2000;
    cluster.clock.runUntil(150_000);
    assertThat(cloud.releasedMachines).isGreaterThanOrEqualTo(notBooted);
    assertInvariants();
  }

  @Test
  void machinesAreReturnedOnceTheyAreIdle() {
    submitJob(5000, 90);
    cluster.clock.runUntil(30_000);
    int peak = cloud.machines.size();
    assertThat(peak).isGreaterThan(8);
    cluster.clock.runUntil(55_000);
    assertThat(cloud.releasedMachines)
        .as("not returned in the minute that is paid anyway")
        .isZero();
    cluster.clock.runUntil(180_000);
    assertThat(cloud.machines.size()).isLessThan(peak - 3);
    assertThat(cloud.tasksLostToRelease).isZero();
    assertInvariants();
  }

  @Test
  void failedMachineIsReturnedAndUnexpectedOneLeased() {
    cluster.clock.runUntil(10_000);
    SimWorker lost = cloud.machines.firstEntry().getValue();
    SimWorker unexpected = cloud.rent("b", true);
    submitJob(10_000, 40);
    cluster.clock.runUntil(14_000);
    cloud.failedHosts.add(lost.host);
    lost.hang(1_000_000);
    cluster.clock.runUntil(30_000);
    assertThat(leasedHosts()).contains(unexpected.host).doesNotContain(lost.host);
    cluster.clock.runUntil(120_000);
    assertInvariants();
  }

  /** A third of the machines silent at once: more likely a fault on the controllers' side. */
  @Test
  void manySilentMachinesAreNotReturnedAtOnce() {
    submitJob(1000, 40);
    cluster.clock.runUntil(10_000);
    cloud.machines.values().forEach(worker -> worker.hang(12_000));
    cluster.clock.runUntil(24_000);
    assertThat(cloud.tasksLostToRelease).isZero();
    cluster.clock.runUntil(150_000);
    assertInvariants();
  }
}
