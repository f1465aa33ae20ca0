package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.LostAnswers.Kind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a late write that recreates a deleted block. The write that leases new machines
 * gets no response, is retried, and is applied after the block created by the retry has been
 * emptied and removed. This once recreated the block with machines that were gone.
 */
class LateLeaseWriteTest extends OverlappingFaultsScenario {
  private static final long DELAYS_UNTIL_MS = 60_000;

  /** Late lease writes applied when one of their blocks had been created and removed. */
  private int lateAfterRemoval;

  private long delayOf(SimCluster cluster, ObjectNode body, double share, long ms) {
    if (cluster.clock.now() > DELAYS_UNTIL_MS || cluster.random.nextDouble() >= share) {
      return 0;
    }
    List<String> blocks = new ArrayList<>();
    for (JsonNode op : body.path("apply")) {
      blocks.add(op.path("put").asText());
    }
    blocks.removeIf(key -> !key.startsWith("d/blocks/"));
    cluster.clock.after(
        ms - 1,
        () ->
            lateAfterRemoval +=
                blocks.stream().anyMatch(cluster.state.removedKeys::contains) ? 1 : 0);
    return ms;
  }

  /** Every few seconds the machines of some blocks are listed as failed, and are returned. */
  private static void emptyBlocks(SimCluster cluster) {
    Set<String> failedHosts = new HashSet<>();
    cluster.state.dataUnder("d/blocks/").values().stream()
        .limit(3)
        .forEach(block -> block.path("hosts").fieldNames().forEachRemaining(failedHosts::add));
    cluster.cloud.failedHosts.addAll(failedHosts);
    if (cluster.clock.now() < DELAYS_UNTIL_MS + 20_000) {
      cluster.clock.after(4000, () -> emptyBlocks(cluster));
    }
  }

  @ParameterizedTest
  @CsvSource({"1,25000,0", "2,40000,0", "3,40000,200", "4,60000,20000", "5,12000,0"})
  void lateLeaseWriteDoesNotRecreateABlock(long seed, long lateMs, long leaderAwayMs)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.net.writeDelayMs =
        (call, body) ->
            call.path().equals("/multi") && Kind.of(call, body, cluster.state) == Kind.NEW_BLOCK
                ? delayOf(cluster, body, 0.5, lateMs)
                : 0;
    cluster.clock.after(12_000, () -> emptyBlocks(cluster));
    if (leaderAwayMs > 0) {
      cluster.clock.after(FAULTS_AT_MS, () -> cluster.crashOwner(leaderAwayMs));
    }
    cluster.clock.runUntil(DELAYS_UNTIL_MS + lateMs + 5000);
    assertThat(lateAfterRemoval).as("late lease writes of removed blocks").isPositive();
    assertThat(cluster.checks.returnedMachines).isEmpty();
    runAndVerify(cluster);
    assertThat(cluster.checks.returnedMachines).isEmpty();
  }
}
