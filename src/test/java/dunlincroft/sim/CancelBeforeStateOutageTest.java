package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against cancelled tasks that keep running because their owner never learned of the
 * cancellation. The state service first refuses only the owner, while other controllers confirm
 * cancellations that the owner cannot read; then the service is down for everybody for longer than
 * cancel_s. Workers keep reporting to the owner, and the tasks of the cancelled jobs must still
 * stop in time.
 */
class CancelBeforeStateOutageTest {
  private static final long FAULT_AT_MS = 60_000;
  private static final long OUTAGE_AFTER_MS = 2000;
  private static final long OUTAGE_MS = 75_000;

  /** An additional fault injected during the outage. */
  private enum AdditionalFault {
    NOTHING(cluster -> {}),
    LINKS_REFUSED(cluster -> cluster.refusePeerConnections(OUTAGE_MS)),
    CONFIRMERS_RESTART(
        cluster -> {
          for (int node = 0; node < cluster.nodeCount(); node++) {
            if (node != cluster.nodeIndex(cluster.ownerName())) {
              cluster.crash(node, 200);
            }
          }
        }),
    ONE_CONFIRMER_RESTARTS(
        cluster -> cluster.crash((cluster.nodeIndex(cluster.ownerName()) + 1) % 5, 200)),
    OWNER_PAUSES(cluster -> cluster.pauseOwner(12_000)),
    ALL_PAUSE(cluster -> cluster.pauseAll(5000)),
    LINKS_LOSE_PACKETS(
        cluster -> cluster.setPacketLoss(cluster.nodeIndex(cluster.ownerName()), 0.3)),
    REPORTS_DELAYED(cluster -> cluster.duplicateHeartbeats(0.3, OUTAGE_MS));

    private final Consumer<SimCluster> injection;

    AdditionalFault(Consumer<SimCluster> injection) {
      this.injection = injection;
    }

    /**
     * Whether the owner still learns of the cancellations from the other controllers, so that no
     * other work need be lost.
     */
    boolean ownerLearnsCancellations() {
      return this == NOTHING || this == LINKS_LOSE_PACKETS || this == REPORTS_DELAYED;
    }
  }

  private final List<JobSpec> services = new ArrayList<>();

  private SimCluster busy(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(FAULT_AT_MS + OUTAGE_AFTER_MS + OUTAGE_MS + 10_000);
    Random random = new Random(seed);
    for (int i = 0; i < 120; i++) {
      JobSpec spec = InvariantsTest.randomJob(random, i);
      if (spec.isService()) {
        services.add(spec);
        cluster.clock.after(5000 + 100L * i, () -> cluster.submitAndFollow(spec, 0));
      }
    }
    cluster.clock.runUntil(FAULT_AT_MS);
    return cluster;
  }

  private static Set<JobSpec> fullyRunning(SimCluster cluster, List<JobSpec> candidates) {
    return candidates.stream()
        .filter(spec -> cluster.checks.running(spec.ref()) == spec.taskCount())
        .collect(Collectors.toSet());
  }

  @ParameterizedTest
  @CsvSource({
    "1,NOTHING",
    "2,NOTHING",
    "3,NOTHING",
    "1,LINKS_REFUSED",
    "2,CONFIRMERS_RESTART",
    "3,ONE_CONFIRMER_RESTARTS",
    "1,OWNER_PAUSES",
    "2,ALL_PAUSE",
    "3,LINKS_LOSE_PACKETS",
    "1,REPORTS_DELAYED"
  })
  void cancelledTasksStopInTime(long seed, AdditionalFault fault) throws MalformedException {
    SimCluster cluster = busy(seed);
    String owner = cluster.ownerName();
    int ownerNode = cluster.nodeIndex(owner);
    List<JobSpec> cancelled = services.subList(0, services.size() / 2);
    List<JobSpec> kept = services.subList(services.size() / 2, services.size());
    Set<JobSpec> runningBefore = fullyRunning(cluster, kept);
    assertThat(runningBefore).hasSizeGreaterThan(5);
    cluster.refuseStateToOwner(14_000);
    for (int i = 0; i < cancelled.size(); i++) {
      JobSpec spec = cancelled.get(i);
      cluster.clock.after(400 + 50L * i, () -> cluster.cancel(spec));
    }
    cluster.clock.runUntil(FAULT_AT_MS + OUTAGE_AFTER_MS);
    cluster.state.outage(OUTAGE_MS);
    fault.injection.accept(cluster);
    long confirmed =
        cancelled.stream()
            .filter(spec -> cluster.checks.cancelConfirmedAt.containsKey(spec.ref()))
            .count();
    assertThat(confirmed).as("cancellations confirmed by other controllers").isGreaterThan(5);
    cluster.clock.runUntil(FAULT_AT_MS + 20_000);
    assertThat(cluster.ownerName()).as("no takeover during the outage").isEqualTo(owner);
    // While the owner is paused, other controllers act as its proxy, and continue to do so, since
    // they raise the fence token.
    boolean proxiesAnswer = fault == AdditionalFault.OWNER_PAUSES;
    assertThat(cluster.cloud.machines.values())
        .as("workers answered by the old owner, or by proxies if it is paused")
        .filteredOn(worker -> (worker.renewedBy == ownerNode) != proxiesAnswer)
        .filteredOn(worker -> worker.renewedAt > FAULT_AT_MS + 14_000)
        .hasSizeGreaterThan(5);
    cluster.clock.runUntil(FAULT_AT_MS + OUTAGE_AFTER_MS + OUTAGE_MS);
    assertThat(cluster.checks.violations).isEmpty();
    if (fault.ownerLearnsCancellations()) {
      assertThat(fullyRunning(cluster, kept))
          .as("services that were not cancelled")
          .containsAll(runningBefore);
    }
    services.forEach(spec -> cluster.clock.after(100_000, () -> cluster.cancel(spec)));
    cluster.clock.runUntil(500_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).hasSize(cluster.submittedJobs());
  }

  /** An outage without cancellations unknown to the owner must not end any task. */
  @ParameterizedTest
  @ValueSource(longs = {30_000, 60_000, 120_000})
  void outageAloneEndsNoTask(long outageMs) throws MalformedException {
    SimCluster cluster = busy(4);
    // Users cancel, and get confirmations, until the outage begins.
    for (int i = 0; i < 10; i++) {
      JobSpec spec = services.get(i);
      cluster.clock.after(200L * i, () -> cluster.cancel(spec));
    }
    cluster.clock.runUntil(FAULT_AT_MS + 2000);
    Set<JobSpec> runningBefore = fullyRunning(cluster, services.subList(10, services.size()));
    assertThat(runningBefore).hasSizeGreaterThan(10);
    cluster.state.outage(outageMs);
    cluster.clock.runUntil(FAULT_AT_MS + 2000 + outageMs + 500);
    assertThat(fullyRunning(cluster, services)).containsAll(runningBefore);
    assertThat(cluster.checks.violations).isEmpty();
  }

  /**
   * The check itself can fail: tasks of a job whose cancellation no controller ever reads are
   * reported.
   */
  @Test
  void cancelledTasksRunningTooLongAreReported() throws MalformedException {
    SimCluster cluster = busy(5);
    JobSpec spec = fullyRunning(cluster, services).iterator().next();
    cluster.checks.cancelRequested.add(spec.ref());
    cluster.checks.onAnswer(spec, 200, "withdrawn", FAULT_AT_MS);
    cluster.clock.runUntil(FAULT_AT_MS + 50_000);
    assertThat(cluster.checks.violations).anyMatch(what -> what.contains("ran_cancelled"));
  }
}
