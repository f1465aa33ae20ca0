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
 * The state service refuses the holder alone, others confirm cancellations that it does not read,
 * then the service is down for all for longer than cancel_s. Workers go on reporting to the holder:
 * the tasks of those jobs must be gone in time all the same.
 */
class GapTest {
  private static final long AT_MS = 60_000;
  private static final long DOWN_AFTER_MS = 2000;
  private static final long DOWN_MS = 75_000;

  /** What happens beside it. */
  private enum Beside {
    NOTHING(cluster -> {}),
    LINKS_REFUSED(cluster -> cluster.refusePeerConnections(DOWN_MS)),
    CONFIRMERS_ARE_BACK_AT_ONCE(
        cluster -> {
          for (int node = 0; node < cluster.nodeCount(); node++) {
            if (node != cluster.nodeIndex(cluster.ownerName())) {
              cluster.crash(node, 200);
            }
          }
        }),
    ONE_CONFIRMER_IS_BACK_AT_ONCE(
        cluster -> cluster.crash((cluster.nodeIndex(cluster.ownerName()) + 1) % 5, 200)),
    HOLDER_STANDS_STILL(cluster -> cluster.pauseOwner(12_000)),
    ALL_STAND_STILL(cluster -> cluster.pauseAll(5000)),
    LINKS_LOSE_PACKETS(
        cluster -> cluster.setPacketLoss(cluster.nodeIndex(cluster.ownerName()), 0.3)),
    REPORTS_COME_LATE(cluster -> cluster.duplicateHeartbeats(0.3, DOWN_MS));

    private final Consumer<SimCluster> act;

    Beside(Consumer<SimCluster> act) {
      this.act = act;
    }

    /** Whether the holder still learns what the others told, and work need not be lost. */
    boolean handed() {
      return this == NOTHING || this == LINKS_LOSE_PACKETS || this == REPORTS_COME_LATE;
    }
  }

  private final List<JobSpec> services = new ArrayList<>();

  private SimCluster busy(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(AT_MS + DOWN_AFTER_MS + DOWN_MS + 10_000);
    Random random = new Random(seed);
    for (int i = 0; i < 120; i++) {
      JobSpec spec = RulesTest.job(random, i);
      if (spec.isService()) {
        services.add(spec);
        cluster.clock.after(5000 + 100L * i, () -> cluster.submitAndFollow(spec, 0));
      }
    }
    cluster.clock.runUntil(AT_MS);
    return cluster;
  }

  private static Set<JobSpec> whole(SimCluster cluster, List<JobSpec> of) {
    return of.stream()
        .filter(spec -> cluster.checks.running(spec.ref()) == spec.taskCount())
        .collect(Collectors.toSet());
  }

  @ParameterizedTest
  @CsvSource({
    "1,NOTHING",
    "2,NOTHING",
    "3,NOTHING",
    "1,LINKS_REFUSED",
    "2,CONFIRMERS_ARE_BACK_AT_ONCE",
    "3,ONE_CONFIRMER_IS_BACK_AT_ONCE",
    "1,HOLDER_STANDS_STILL",
    "2,ALL_STAND_STILL",
    "3,LINKS_LOSE_PACKETS",
    "1,REPORTS_COME_LATE"
  })
  void cancelledTasksAreGoneInTime(long seed, Beside beside) throws MalformedException {
    SimCluster cluster = busy(seed);
    String holder = cluster.ownerName();
    int answers = cluster.nodeIndex(holder);
    List<JobSpec> cancelled = services.subList(0, services.size() / 2);
    List<JobSpec> kept = services.subList(services.size() / 2, services.size());
    Set<JobSpec> up = whole(cluster, kept);
    assertThat(up).hasSizeGreaterThan(5);
    cluster.refuseStateToOwner(14_000);
    for (int i = 0; i < cancelled.size(); i++) {
      JobSpec spec = cancelled.get(i);
      cluster.clock.after(400 + 50L * i, () -> cluster.cancel(spec));
    }
    cluster.clock.runUntil(AT_MS + DOWN_AFTER_MS);
    cluster.state.outage(DOWN_MS);
    beside.act.accept(cluster);
    long told =
        cancelled.stream()
            .filter(spec -> cluster.checks.cancelConfirmedAt.containsKey(spec.ref()))
            .count();
    assertThat(told).as("confirmed by others in the gap").isGreaterThan(5);
    cluster.clock.runUntil(AT_MS + 20_000);
    assertThat(cluster.ownerName()).as("nobody could take over").isEqualTo(holder);
    // While it stands still the others stand in for it, and go on, as they raise the fence.
    boolean others = beside == Beside.HOLDER_STANDS_STILL;
    assertThat(cluster.cloud.machines.values())
        .as("workers still report to the old holder, or are answered in its place")
        .filteredOn(worker -> (worker.renewedBy == answers) != others)
        .filteredOn(worker -> worker.renewedAt > AT_MS + 14_000)
        .hasSizeGreaterThan(5);
    cluster.clock.runUntil(AT_MS + DOWN_AFTER_MS + DOWN_MS);
    assertThat(cluster.checks.violations).isEmpty();
    if (beside.handed()) {
      assertThat(whole(cluster, kept)).as("nobody else loses work").containsAll(up);
    }
    services.forEach(spec -> cluster.clock.after(100_000, () -> cluster.cancel(spec)));
    cluster.clock.runUntil(500_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).hasSize(cluster.submittedJobs());
  }

  /** An outage in which nobody is cancelled unknown to the holder kills no work. */
  @ParameterizedTest
  @ValueSource(longs = {30_000, 60_000, 120_000})
  void aPlainOutageKillsNoWork(long ms) throws MalformedException {
    SimCluster cluster = busy(4);
    // Up to the last moment users cancel, and are told.
    for (int i = 0; i < 10; i++) {
      JobSpec spec = services.get(i);
      cluster.clock.after(200L * i, () -> cluster.cancel(spec));
    }
    cluster.clock.runUntil(AT_MS + 2000);
    Set<JobSpec> up = whole(cluster, services.subList(10, services.size()));
    assertThat(up).hasSizeGreaterThan(10);
    cluster.state.outage(ms);
    cluster.clock.runUntil(AT_MS + 2000 + ms + 500);
    assertThat(whole(cluster, services)).containsAll(up);
    assertThat(cluster.checks.violations).isEmpty();
  }

  /** The check can fail: tasks of jobs whose cancellation nobody ever reads stay. */
  @Test
  void theCheckFindsTasksThatOutlastTheirTime() throws MalformedException {
    SimCluster cluster = busy(5);
    JobSpec spec = whole(cluster, services).iterator().next();
    cluster.checks.cancelRequested.add(spec.ref());
    cluster.checks.onAnswer(spec, 200, "withdrawn", AT_MS);
    cluster.clock.runUntil(AT_MS + 50_000);
    assertThat(cluster.checks.violations).anyMatch(what -> what.contains("ran_cancelled"));
  }
}
