package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.protocol.MalformedException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against lost or stuck work under frequent failover: leaders change ten times in two
 * minutes, also during an outage of the state service.
 */
class LeaderChangesTest extends OverlappingFaultsScenario {
  private static final long TWO_MINUTES_MS = 120_000;
  private static final long OBSERVE_INTERVAL_MS = 100;

  /** Counts changes of the leader and owner records, and crashes during the outage. */
  private static final class Observer {
    private final SimCluster cluster;
    private JsonNode leaderRecord;
    private JsonNode ownerRecord;
    private int leaderChanges;
    private int ownerChanges;
    private int crashesInOutage;

    Observer(SimCluster cluster) {
      this.cluster = cluster;
    }

    void observe(long untilMs) {
      JsonNode currentLeader = cluster.state.dataUnder("d/leader/").get("one");
      leaderChanges += currentLeader != null && !currentLeader.equals(leaderRecord) ? 1 : 0;
      leaderRecord = currentLeader != null ? currentLeader : leaderRecord;
      JsonNode currentOwner = cluster.state.dataUnder("d/shards/").get("n0");
      ownerChanges += currentOwner != null && !currentOwner.equals(ownerRecord) ? 1 : 0;
      ownerRecord = currentOwner != null ? currentOwner : ownerRecord;
      if (cluster.clock.now() < untilMs) {
        cluster.clock.after(OBSERVE_INTERVAL_MS, () -> observe(untilMs));
      }
    }

    void crashBusiest(long awayMs) {
      crashesInOutage += cluster.state.down ? 1 : 0;
      cluster.crash(cluster.busiestNode(), awayMs);
    }
  }

  /**
   * Every few seconds the controller that answers most workers crashes, and restarts soon or at
   * once.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 5000, 3000, 0",
    "2, 8000, 200, 0",
    "3, 5000, 3000, 30000",
    "4, 6000, 200, 40000",
    "5, 5000, 2000, 70000",
    "6, 4000, 200, 70000"
  })
  void leadersChangeTenTimesInTwoMinutes(long seed, long everyMs, long awayMs, long outageMs)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + TWO_MINUTES_MS + 20_000);
    cluster.clock.runUntil(FAULTS_AT_MS);
    Observer observer = new Observer(cluster);
    observer.observe(FAULTS_AT_MS + TWO_MINUTES_MS);
    for (long at = 0; at < TWO_MINUTES_MS; at += everyMs) {
      cluster.clock.after(at, () -> observer.crashBusiest(awayMs));
    }
    cluster.clock.after(25_000, () -> cluster.state.outage(outageMs));
    cancelEveryNth(cluster, 3, 3000);
    cluster.clock.runUntil(FAULTS_AT_MS + TWO_MINUTES_MS);
    assertThat(Math.max(observer.leaderChanges, observer.ownerChanges))
        .as("leader or owner changes")
        .isGreaterThan(10);
    assertThat(observer.crashesInOutage)
        .as("crashes during the outage")
        .isGreaterThanOrEqualTo((int) (outageMs / everyMs / 2));
    runAndVerify(cluster);
  }
}
