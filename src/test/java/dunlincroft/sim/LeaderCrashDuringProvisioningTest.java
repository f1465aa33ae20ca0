package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against leaked or doubly leased machines when the leader crashes during provisioning. New
 * machines boot within two seconds and get work at once while writes are delayed, and the leader
 * crashes at each step. Every machine ends up in exactly one block, no task on it runs twice, and
 * jobs go on.
 */
class LeaderCrashDuringProvisioningTest extends OverlappingFaultsScenario {
  /** Step in the life of a new machine at which the leader crashes. */
  private enum Step {
    RENTED,
    RECORDED,
    STARTED
  }

  /** Longest time a rented machine may be in no block: the duration of a leader change. */
  private static final long MAX_UNLEASED_MS = 45_000;

  private SimCluster cluster;

  /** Time since which a machine is rented and in no block. */
  private final Map<String, Long> unleasedSince = new HashMap<>();

  private final Set<String> initialHosts = new HashSet<>();
  private final Set<String> leaked = new HashSet<>();

  /** Number of times the leader was crashed while a new machine was at the step. */
  private int leaderCrashes;

  private long nextCrashAt;

  private Set<String> leasedHosts() {
    Set<String> hosts = new HashSet<>();
    for (JsonNode block : cluster.state.dataUnder("d/blocks/").values()) {
      block.path("hosts").fieldNames().forEachRemaining(hosts::add);
    }
    return hosts;
  }

  private String leader() {
    JsonNode leader = cluster.state.dataUnder("d/leader/").get("one");
    return leader == null ? null : leader.path("name").asText();
  }

  private boolean hasReached(Step step, SimWorker worker, boolean recorded) {
    return switch (step) {
      case RENTED -> !recorded;
      case RECORDED -> recorded && worker.firstContactedNode < 0;
      case STARTED -> worker.tasks.values().stream().anyMatch(SimWorker.Task::isActive);
    };
  }

  /**
   * Crashes the leader whenever a new machine is at the step, with a minimum interval between
   * crashes.
   */
  private void crashLeaderAtStep(Step step, long awayMs, long untilMs) {
    Set<String> leasedHosts = leasedHosts();
    long now = cluster.clock.now();
    for (SimWorker worker : cluster.cloud.machines.values()) {
      boolean recorded = leasedHosts.contains(worker.host);
      if (recorded) {
        unleasedSince.remove(worker.host);
      } else if (now - unleasedSince.computeIfAbsent(worker.host, host -> now) > MAX_UNLEASED_MS) {
        leaked.add(worker.host);
      }
      String leader = leader();
      if (now >= FAULTS_AT_MS && now < untilMs && now >= nextCrashAt && leader != null) {
        if (!initialHosts.contains(worker.host) && hasReached(step, worker, recorded)) {
          leaderCrashes++;
          nextCrashAt = now + 9000;
          cluster.crash(cluster.nodeIndex(leader), awayMs);
        }
      }
      if (step != Step.STARTED || worker.tasks.isEmpty()) {
        // Machines rented before the fault are not new.
        if (now < FAULTS_AT_MS) {
          initialHosts.add(worker.host);
        }
      }
    }
    unleasedSince.keySet().retainAll(cluster.cloud.machines.keySet());
    cluster.clock.after(20, () -> crashLeaderAtStep(step, awayMs, untilMs));
  }

  @ParameterizedTest
  @CsvSource({
    "RENTED,1,200",
    "RENTED,2,15000",
    "RECORDED,5,15000",
    "RECORDED,6,200",
    "STARTED,8,15000",
    "STARTED,9,200"
  })
  void leaderCrashesAsNewMachinesComeUp(Step step, long seed, long awayMs)
      throws MalformedException {
    cluster = busyCluster(seed, Policy.parse(seed % 2 == 0 ? "holder_machines = 12;" : ""));
    cluster.cloud.bootMs = seed % 2 == 0 ? 1800 : 600;
    cluster.cloud.answerDelayMs = step != Step.RECORDED && seed % 3 == 0 ? 1000 : 0;
    for (int i = 0; i < 12; i++) {
      JobSpec more = InvariantsTest.batchJob("run-more-" + i, "blue", 16, 8);
      long at = FAULTS_AT_MS - 2000 + 8000L * i;
      cluster.clock.after(at, () -> cluster.submitAndFollow(more, 0));
      cluster.clock.after(at + 4000, () -> cluster.preemptSpotMachines(4));
    }
    crashLeaderAtStep(step, awayMs, FAULTS_AT_MS + 85_000);
    cluster.clock.runUntil(FAULTS_AT_MS - 5000);
    cluster.delayWrites(0.35, 90_000);
    cancelEveryNth(cluster, 4, 2500);
    int before = cluster.cloud.rentedMachines();
    cluster.clock.runUntil(FAULTS_AT_MS + 90_000);
    assertThat(leaderCrashes).as("leader crashes at this step of a new machine").isGreaterThan(2);
    assertThat(cluster.cloud.rentedMachines() - before)
        .as("machines rented during the faults")
        .isGreaterThan(30);
    assertThat(cluster.net.executedAfterNewer).as("writes applied late").isGreaterThan(20);
    runUntilDoneAndVerify(cluster);
    assertThat(leaked).as("machines without a block").isEmpty();
    assertThat(leasedHosts()).as("machines in blocks").isEqualTo(cluster.cloud.machines.keySet());
    assertThat(cluster.cloud.unusedMachines())
        .as("machines of %d that were rented but never used", cluster.cloud.rentedMachines())
        .isLessThan(cluster.cloud.rentedMachines() / 6);
  }
}
