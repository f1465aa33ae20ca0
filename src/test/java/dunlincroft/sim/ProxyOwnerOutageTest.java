package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost tasks when an owner crashes during an outage of the state service: other
 * controllers with sufficiently recent state answer its workers as proxies, and start nothing.
 */
class ProxyOwnerOutageTest extends OverlappingFaultsScenario {
  private static final long OUTAGE_MS = 38_000;

  /** Machines whose last answer since then came from another controller than this. */
  private static long answeredByOthers(SimCluster cluster, int ownerNode, long since) {
    return cluster.cloud.machines.values().stream()
        .filter(worker -> worker.renewedBy != ownerNode && worker.renewedAt > since)
        .count();
  }

  /**
   * The crashed owner's tasks go on, those of cancelled jobs are stopped, and all workers return to
   * the owner of their shard afterwards.
   */
  @ParameterizedTest
  @CsvSource({"1, 4000, 200", "2, 4000, 3000", "3, 8000, 60000", "4, 1000, 200"})
  void healthyMachinesKeepTheirTasks(long seed, long crashAfterMs, long awayMs)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + OUTAGE_MS + 30_000);
    cluster.clock.runUntil(FAULTS_AT_MS);
    int ownerNode = cluster.nodeIndex(cluster.ownerName());
    cancelEveryNth(cluster, 6, 100);
    cluster.clock.after(1500, () -> cluster.state.outage(OUTAGE_MS));
    cluster.clock.runUntil(FAULTS_AT_MS + 1500 + crashAfterMs);
    long running = sum(cluster, worker -> worker.tasks.size());
    assertThat(running).isGreaterThan(20);
    cluster.crash(ownerNode, awayMs);
    cluster.clock.runUntil(FAULTS_AT_MS + 1500 + OUTAGE_MS);
    assertThat(answeredByOthers(cluster, ownerNode, FAULTS_AT_MS + crashAfterMs + 5000))
        .as("machines answered by other controllers")
        .isGreaterThan(5);
    assertThat(cluster.checks.tasksLostToLease).as("tasks ended by leases").isZero();
    runAndVerify(cluster);
  }

  /**
   * The busiest controller crashes ten times in two minutes, with an outage longer than a lease
   * among the crashes. Without proxies 37 to 62 tasks ended by lease expiry on each of these days.
   */
  @Test
  void tenCrashesAroundAnOutage() throws MalformedException {
    long ended = 0;
    for (long[] day : new long[][] {{1, 300}, {2, 3000}, {3, 2000}, {5, 200}}) {
      ended += tasksEndedByLeases(day[0], day[1]);
    }
    assertThat(ended).as("tasks ended by leases on four days").isLessThan(4 * 20);
  }

  private long tasksEndedByLeases(long seed, long awayMs) throws MalformedException {
    jobs.clear();
    SimCluster cluster = busyCluster(seed);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 150_000);
    cluster.clock.runUntil(FAULTS_AT_MS);
    int[] crashesInOutage = new int[1];
    for (int i = 0; i < 10; i++) {
      cluster.clock.after(12_000L * i, () -> crashesInOutage[0] += cluster.state.down ? 1 : 0);
    }
    cluster.crashBusiestRepeatedly(10, 12_000, awayMs);
    cluster.clock.after(30_000, () -> cluster.state.outage(70_000));
    cancelEveryNth(cluster, 3, 1000);
    cluster.clock.runUntil(FAULTS_AT_MS + 120_000);
    assertThat(crashesInOutage[0]).as("crashes during the outage").isBetween(5, 6);
    long ended = cluster.checks.tasksLostToLease;
    runAndVerify(cluster);
    return ended;
  }

  /**
   * Only the owner loses the state service. It must not act as a proxy for its successor, which has
   * to receive the workers' reports: otherwise services were down for long on days on which the
   * busiest controller was cut off.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void ownerCutOffAloneDoesNotActAsProxy(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String oldOwner = cluster.ownerName();
    cluster.cutOwnerFromState(45_000);
    while (cluster.ownerName().equals(oldOwner)) {
      cluster.clock.runUntil(cluster.clock.now() + 50);
    }
    long takenOverAt = cluster.clock.now();
    cluster.clock.runUntil(FAULTS_AT_MS + 40_000);
    assertThat(cluster.cloud.machines.values())
        .as("answered by the old owner after the takeover")
        .noneMatch(
            worker ->
                worker.renewedBy == cluster.nodeIndex(oldOwner)
                    && worker.renewedAt > takenOverAt + 2000);
    runAndVerify(cluster);
  }

  /**
   * Starts ordered by the owner are delayed on their way to machines that only the owner cannot
   * reach, their jobs are cancelled, the owner crashes, and the sessions continue: none of the
   * starts may be executed after cancel_s.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 3, 4})
  void delayedStartsAreRejected(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 120_000);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String owner = cluster.ownerName();
    String address = cluster.nodeAddress(cluster.nodeIndex(owner));
    List<SimWorker> unreachable = List.copyOf(cluster.cloud.machines.values());
    unreachable.forEach(worker -> cluster.net.cut(address, worker.address, 62_000));
    for (int i = 0; i < 30; i++) {
      JobSpec more = InvariantsTest.batchJob("run-more-" + i, "blue", 20, 2);
      jobs.add(more);
      cluster.clock.after(10L * i, () -> cluster.submitAndFollow(more, 0));
      cluster.clock.after(1500 + 10L * i, () -> cluster.cancel(more));
    }
    cluster.clock.runUntil(FAULTS_AT_MS + 2500);
    cluster.state.outage(70_000);
    cluster.clock.after(6000, () -> cluster.crash(cluster.nodeIndex(owner), 2000));
    cluster.clock.runUntil(FAULTS_AT_MS + 60_000);
    assertThat(cluster.checks.cancelConfirmedAt).hasSizeGreaterThan(20);
    assertThat(unreachable)
        .as("sessions that continued")
        .filteredOn(worker -> !worker.terminated && worker.session() == 1)
        .hasSizeGreaterThan(5);
    int before = cluster.net.commandsAfterTimeout;
    cluster.clock.runUntil(FAULTS_AT_MS + 64_000);
    assertThat(cluster.net.commandsAfterTimeout - before).as("commands delayed").isGreaterThan(3);
    runAndVerify(cluster);
  }
}
