package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.protocol.MalformedException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Leaders change ten times in two minutes, also inside an outage of the state service. */
class LeaderChangesTest extends OverlappingFaultsScenario {
  private static final long TWO_MINUTES_MS = 120_000;
  private static final long LOOK_MS = 100;

  /** What an observer saw of the records and of the controllers that ended. */
  private static final class Seen {
    private final SimCluster cluster;
    private JsonNode leader;
    private JsonNode holder;
    private int leaders;
    private int holders;
    private int endsInOutage;

    Seen(SimCluster cluster) {
      this.cluster = cluster;
    }

    void look(long untilMs) {
      JsonNode leads = cluster.state.dataUnder("d/leader/").get("one");
      leaders += leads != null && !leads.equals(leader) ? 1 : 0;
      leader = leads != null ? leads : leader;
      JsonNode holds = cluster.state.dataUnder("d/shards/").get("n0");
      holders += holds != null && !holds.equals(holder) ? 1 : 0;
      holder = holds != null ? holds : holder;
      if (cluster.clock.now() < untilMs) {
        cluster.clock.after(LOOK_MS, () -> look(untilMs));
      }
    }

    void end(long awayMs) {
      endsInOutage += cluster.state.down ? 1 : 0;
      cluster.crash(cluster.busiestNode(), awayMs);
    }
  }

  /** Whoever answers most workers ends, every few seconds, and is back soon or at once. */
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
    Seen seen = new Seen(cluster);
    seen.look(FAULTS_AT_MS + TWO_MINUTES_MS);
    for (long at = 0; at < TWO_MINUTES_MS; at += everyMs) {
      cluster.clock.after(at, () -> seen.end(awayMs));
    }
    cluster.clock.after(25_000, () -> cluster.state.outage(outageMs));
    cancelEveryNth(cluster, 3, 3000);
    cluster.clock.runUntil(FAULTS_AT_MS + TWO_MINUTES_MS);
    assertThat(Math.max(seen.leaders, seen.holders)).as("changes").isGreaterThan(10);
    assertThat(seen.endsInOutage)
        .as("ends inside the outage")
        .isGreaterThanOrEqualTo((int) (outageMs / everyMs / 2));
    runAndVerify(cluster);
  }
}
