package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.MalformedException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against worker reports that arrive late, after another controller has begun to act as
 * owner: copies at all controllers, or delayed reports at the new owner.
 */
class DelayedReportsTest extends OverlappingFaultsScenario {
  /**
   * Owner crashes, some followed by a takeover by another controller and some by a restart of the
   * same one.
   */
  private static void crashOwners(SimCluster cluster, int number, long eachMs) {
    for (int i = 0; i < number; i++) {
      boolean restarts = i % 2 == 1;
      cluster.clock.after(eachMs * i, () -> cluster.crashOwner(restarts ? 200 : 9000));
    }
  }

  private SimCluster clusterWithDelayedReports(long seed) throws MalformedException {
    return busyCluster(
        seed, seed % 2 == 0 ? Policy.parse("holder_machines = 12;") : Policy.DEFAULT);
  }

  /** Copies of reports reach every controller within a second of a new owner's start. */
  @ParameterizedTest
  @CsvSource({"1,6000", "2,11000", "3,16000", "4,9000"})
  void oldReportsReachEveryControllerAsANewOwnerStarts(long seed, long eachMs)
      throws MalformedException {
    SimCluster cluster = clusterWithDelayedReports(seed);
    cluster.clock.runUntil(20_000);
    cluster.delayedHeartbeats.copyForNextOwner(0.4, 90_000);
    cluster.clock.after(5000, () -> crashOwners(cluster, 6, eachMs));
    cluster.clock.after(
        12_000, () -> InjectedFault.busiestMachines(cluster).forEach(each -> each.hang(22_000)));
    cluster.clock.after(16_000, () -> InjectedFault.MACHINES_RESTART.inject(cluster, 0));
    cluster.clock.after(30_000, () -> cluster.preemptSpotMachines(4));
    cluster.clock.after(8000, () -> cancelEveryNth(cluster, 4, 2500));
    cluster.clock.runUntil(125_000);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      assertThat(cluster.delayedHeartbeats.staleCopiesAtTakeover[node])
          .as("old copies at n%d within a second of a start as owner", node)
          .isGreaterThan(20);
    }
    runAndVerify(cluster);
  }

  /** Delayed reports arrive at the new owner after it has answered the worker that sent them. */
  @ParameterizedTest
  @CsvSource({"1,6000", "2,11000", "3,16000", "4,25000"})
  void delayedReportsArriveAfterTheNewOwnerHasAnswered(long seed, long eachMs)
      throws MalformedException {
    SimCluster cluster = clusterWithDelayedReports(seed);
    cluster.clock.runUntil(20_000);
    cluster.delayedHeartbeats.delayForNextOwner(0.15, 100_000);
    cluster.clock.after(5000, () -> crashOwners(cluster, 5, eachMs));
    cluster.clock.after(
        4000, () -> InjectedFault.busiestMachines(cluster).forEach(each -> each.hang(22_000)));
    cluster.clock.after(8000, () -> cancelEveryNth(cluster, 4, 2500));
    cluster.clock.runUntil(130_000);
    assertThat(cluster.delayedHeartbeats.staleAfterAnswer)
        .as("old reports at the new owner after it had answered their worker")
        .isGreaterThan(10);
    runAndVerify(cluster);
  }
}
