package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against faults when a zone, or all controllers, are unavailable for longer than a lease.
 */
class LeaseExpiryTest extends OverlappingFaultsScenario {
  private static final long LONGER_THAN_A_LEASE_MS = 33_000;

  private static List<SimWorker> inside(SimCluster cluster, String zone) {
    return cluster.cloud.machines.values().stream()
        .filter(worker -> worker.zone.equals(zone))
        .toList();
  }

  /**
   * A zone with workers and a controller is cut off, with the owner inside or outside. Users cancel
   * jobs that have tasks inside.
   */
  @ParameterizedTest
  @CsvSource({
    "1, true, 33000",
    "2, true, 60000",
    "3, true, 45000",
    "1, false, 33000",
    "2, false, 60000",
    "4, false, 45000"
  })
  void zoneIsCutOffBeyondTheLease(long seed, boolean ownerInside, long ms)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String zone = ownerInside ? cluster.ownerZone() : cluster.zoneWithoutOwner();
    String oldOwner = cluster.ownerName();
    List<SimWorker> inside = inside(cluster, zone);
    int tasksInside = inside.stream().mapToInt(worker -> worker.tasks.size()).sum();
    assertThat(tasksInside).as("tasks inside").isGreaterThan(3);
    int starts = cluster.checks.starts;
    cluster.cutZone(zone, ms);
    cancelEveryNth(cluster, 2, 300);
    for (int i = 0; i < 12; i++) {
      JobSpec more = InvariantsTest.batchJob("run-more-" + i, "blue", 6, 2);
      cluster.clock.after(1000L * i, () -> cluster.submitAndFollow(more, 0));
    }
    cluster.clock.runUntil(FAULTS_AT_MS + ms - 500);
    assertThat(cluster.ownerName().equals(oldOwner))
        .as("shard owned by the same controller")
        .isEqualTo(!ownerInside);
    assertThat(cluster.checks.starts).as("starts outside the zone").isGreaterThan(starts + 20);
    assertThat(cluster.checks.cancelConfirmedAt).hasSizeGreaterThan(10);
    assertThat(inside)
        .as("no worker inside renews its lease for ever")
        .allMatch(worker -> worker.terminated || worker.renewedAt < FAULTS_AT_MS + 26_000);
    runAndVerify(cluster);
  }

  /**
   * All controllers are down, restart at once or one by one, and find that all worker sessions are
   * new.
   */
  @ParameterizedTest
  @CsvSource({"1, 0", "2, 0", "3, 4000", "4, 9000", "5, 300"})
  void allControllersAreDownBeyondTheLease(long seed, long restartIntervalMs)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 110_000);
    cluster.clock.runUntil(FAULTS_AT_MS);
    cancelEveryNth(cluster, 3, 40);
    cluster.clock.runUntil(FAULTS_AT_MS + 1000);
    Map<SimWorker, Long> sessions =
        cluster.cloud.machines.values().stream()
            .collect(Collectors.toMap(Function.identity(), SimWorker::session));
    int running = sum(cluster, worker -> worker.tasks.size());
    assertThat(running).isGreaterThan(20);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.crash(node, LONGER_THAN_A_LEASE_MS + node * restartIntervalMs);
    }
    cluster.clock.runUntil(FAULTS_AT_MS + LONGER_THAN_A_LEASE_MS);
    assertThat(cluster.checks.tasksLostToLease).as("tasks ended by leases").isGreaterThan(15);
    assertThat(sessions)
        .allSatisfy((worker, tenure) -> assertThat(worker.session()).isGreaterThan(tenure));
    int starts = cluster.checks.starts;
    cluster.clock.runUntil(FAULTS_AT_MS + LONGER_THAN_A_LEASE_MS + 30_000);
    assertThat(cluster.checks.starts).as("starts after the restart").isGreaterThan(starts + 10);
    runAndVerify(cluster);
  }
}
