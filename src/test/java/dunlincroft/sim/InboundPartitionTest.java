package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Five of the fullest machines hear nothing, as in {@link
 * FailureDetectionTest#servicesRestartElsewhereWhenAcknowledgementsAreLost}, with seeds at which
 * services were late.
 *
 * <p>In the cases of seeds 104 and 139 the leader is not the owner of the machines. The log shows
 * "host-000003 is suspected: silent for 3626 ms" at the owner, and the leader's first "hired 1 of 1
 * m16/a/ordinary" three seconds later, after the release: the leader rents, and did not know of the
 * owner's suspicion. In the other cases replicas that may go to any zone took the room of the only
 * zone that was left to others: "replicas of 1 services find no room: 1 more m16/b/ordinary" comes
 * after the machines were given up.
 */
class InboundPartitionTest {
  private static final long FAULT_AT_MS = 30_000;

  private static final long END_MS = 750_000;

  /** What is allowed from the third report without an answer on, and for how many replicas. */
  private static final long WITHIN_MS = 5000;

  private static final double REQUIRED_SHARE = 0.95;

  @ParameterizedTest
  @CsvSource({
    "104,5,0,2",
    "113,3,2,4",
    "118,3,0,2",
    "139,3,1,4",
    "139,3,0,2",
    "144,3,0,2",
  })
  void replicasRestartElsewhereInTime(
      long seed, int controllers, int crashedControllers, double reportS)
      throws MalformedException {
    SimCluster cluster =
        FailureDetectionTest.busy(seed, new Size(controllers, 60, 80, 8, 8, 80, reportS));
    int ownerNode = cluster.nodeIndex(cluster.ownerName());
    for (int node = 0, remaining = crashedControllers; node < controllers; node++) {
      if (node != ownerNode && remaining-- > 0) {
        cluster.crash(node, 90_000);
      }
    }
    cluster.clock.runUntil(FAULT_AT_MS + 3000);
    List<SimWorker> unacknowledged = FailureDetectionTest.withMostServices(cluster, 5);
    Set<String> affected = FailureDetectionTest.fullyRunningServices(cluster, unacknowledged);
    // The other team's limit is full: what it has lost room of waits for other work of its own.
    affected.removeIf(ref -> !cluster.specOf(ref).team().equals("blue"));
    unacknowledged.forEach(worker -> worker.loseInbound(120_000));
    while (!unacknowledged.stream()
        .allMatch(worker -> worker.terminated || worker.unansweredHeartbeatTimes.size() >= 3)) {
      cluster.clock.runUntil(cluster.clock.now() + 100);
    }
    cluster.clock.runUntil(cluster.clock.now() + WITHIN_MS);
    int runningReplicas =
        affected.stream()
            .mapToInt(ref -> cluster.checks.runningElsewhere(ref, unacknowledged))
            .sum();
    int expectedReplicas = affected.stream().mapToInt(ref -> cluster.specOf(ref).taskCount()).sum();
    assertThat((double) runningReplicas / expectedReplicas).isGreaterThanOrEqualTo(REQUIRED_SHARE);
    // With seed 144 the other team has work at its limit for 640 s: it ends late by right.
    cluster.clock.runUntil(END_MS);
    FailureDetectionTest.assertRecovered(cluster);
  }
}
