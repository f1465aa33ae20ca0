package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.LostAnswers.Kind;
import java.util.EnumSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost responses to writes that elect controllers, leaders and owners, or that move
 * machines and shares between owners: the winner must recognize by the records that its write
 * succeeded, and act.
 */
class LostOwnershipResponsesTest extends OverlappingFaultsScenario {
  @ParameterizedTest
  @CsvSource({
    "SESSION_LEASE,1,10",
    "SESSION_LEASE_RENEWED,2,80",
    "CONTROLLER,3,4",
    "LEADER,4,2",
    "LEADER,5,2",
    "SHARD,6,4",
    "LEASES,8,4",
    "SHARES_CREATED,9,1",
    "SHARE_MOVED,10,4",
    "BLOCK_MOVED,12,3",
    "NEW_BLOCK,14,10",
    "RELEASE,15,5",
    "TYPES,16,1"
  })
  void winnerRecognizesItsOwnWrite(Kind kind, long seed, int least) throws MalformedException {
    // Blocks are moved rarely, and more often with more owners.
    int machinesPerOwner = kind == Kind.BLOCK_MOVED ? 5 : 12;
    SimCluster cluster =
        busyCluster(seed, Policy.parse("holder_machines = " + machinesPerOwner + ";"));
    cluster.loseAnswers(EnumSet.of(kind), 0.7, 85_000);
    for (int i = 0; i < 5; i++) {
      long awayMs = i % 2 == 1 ? 14_000 : 200;
      cluster.clock.after(14_000 + 14_000L * i, () -> cluster.crashOwner(awayMs));
      cluster.clock.after(18_000 + 14_000L * i, () -> cluster.preemptSpotMachines(4));
    }
    cluster.clock.runUntil(20_000);
    cancelEveryNth(cluster, 4, 1500);
    cluster.clock.runUntil(86_000);
    runUntilDoneAndVerify(cluster);
    assertThat(cluster.lostAnswers.lost(kind)).as("responses lost").isGreaterThanOrEqualTo(least);
  }

  /**
   * The owner's zone is cut off, and the response to its successor's takeover is lost. The old
   * owner keeps answering the zone's workers for a while: the successor must not release them
   * before that has ended.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void newOwnerKnowsThePreviousOwner(long seed) throws MalformedException {
    long withoutLoss = tasksReleased(cutZoneDuringTakeover(seed, false));
    jobs.clear();
    SimCluster cluster = cutZoneDuringTakeover(seed, true);
    assertThat(cluster.lostAnswers.lost(Kind.SHARD)).as("responses lost").isPositive();
    assertThat(tasksReleased(cluster))
        .as("tasks lost by releases, without lost responses %d", withoutLoss)
        .isLessThanOrEqualTo(withoutLoss + 3);
    runUntilDoneAndVerify(cluster);
  }

  private static long tasksReleased(SimCluster cluster) {
    return cluster.cloud.tasksLostToRelease;
  }

  private SimCluster cutZoneDuringTakeover(long seed, boolean responseLost)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String oldOwner = cluster.ownerName();
    if (responseLost) {
      cluster.loseAnswers(EnumSet.of(Kind.SHARD), 1, 15_000);
    }
    cluster.cutZone(cluster.ownerZone(), 30_000);
    cluster.clock.runUntil(FAULTS_AT_MS + 33_000);
    assertThat(cluster.ownerName())
        .as("shard taken over by another controller")
        .isNotEqualTo(oldOwner);
    return cluster;
  }
}
