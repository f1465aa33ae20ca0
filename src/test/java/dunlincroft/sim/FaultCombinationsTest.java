package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against the combinations of faults that the operators name. Each test injects one
 * combination and asserts that the faults did overlap. {@link CancelBeforeStateOutageTest} tests
 * cancellations before an outage of the state service.
 */
class FaultCombinationsTest extends OverlappingFaultsScenario {
  /**
   * Times at which the state service begins to refuse only the owner, and to be down for everybody.
   */
  private static final long OWNER_REFUSED_AT_MS = FAULTS_AT_MS + 4000;

  private static final long OUTAGE_AT_MS = FAULTS_AT_MS + 6500;

  /**
   * The owner is partitioned from everything but its workers and users, some workers reach nobody
   * else, and jobs are cancelled through the new owner. The old owner keeps answering those workers
   * for a while.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void deposedOwnerAnswersWorkersWhileJobsAreCancelledElsewhere(long seed)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String oldOwner = cluster.ownerName();
    List<SimWorker> ownWorkers = InjectedFault.busiestMachines(cluster);
    ownWorkers.forEach(worker -> cluster.cutWorkerFromNonOwners(worker, 70_000));
    cluster.cutOwnerFromControllers(70_000);
    while (cluster.ownerName().equals(oldOwner)) {
      cluster.clock.runUntil(cluster.clock.now() + 50);
    }
    long takenOverAt = cluster.clock.now();
    assertThat(takenOverAt).isLessThan(FAULTS_AT_MS + 6000);
    cancelEveryNth(cluster, 3, 300);
    cluster.clock.runUntil(FAULTS_AT_MS + 30_000);
    assertThat(ownWorkers)
        .as("answered by the old owner after the takeover")
        .anyMatch(
            worker ->
                worker.renewedBy == cluster.nodeIndex(oldOwner)
                    && worker.renewedAt > takenOverAt + 1000);
    assertThat(cluster.checks.cancelConfirmedAt).hasSizeGreaterThan(10);
    runAndVerify(cluster);
  }

  /** Transactions without a response are applied seconds later, after newer ones. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void transactionsAreAppliedAfterNewerOnes(long seed) throws MalformedException {
    SimCluster cluster =
        busyCluster(seed, Policy.parse(seed % 2 == 0 ? "holder_machines = 12;" : ""));
    cluster.clock.runUntil(15_000);
    cluster.delayWrites(0.35, 70_000);
    cluster.clock.after(12_000, () -> cluster.crashOwner(seed % 3 == 0 ? 200 : 20_000));
    cluster.clock.after(30_000, () -> cluster.preemptSpotMachines(6));
    cluster.clock.after(45_000, () -> cluster.crashOwner(200));
    cancelEveryNth(cluster, 3, 1500);
    cluster.clock.runUntil(100_000);
    assertThat(cluster.net.executedAfterNewer).isGreaterThan(20);
    runAndVerify(cluster);
  }

  /**
   * A leader's zone is cut off, and another controller leads when the cloud answers its rental
   * requests. The deposed leader once made blocks of these machines under its successor's stamp, in
   * addition to those that the successor made of them.
   */
  @ParameterizedTest
  @ValueSource(longs = {5, 6, 7, 8})
  void rentalsOfADeposedLeaderBecomeNoBlocks(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.cloud.answerDelayMs = 1500;
    for (int i = 0; i < 12; i++) {
      JobSpec more = InvariantsTest.batchJob("run-more-" + i, "blue", 30, 2);
      cluster.clock.after(FAULTS_AT_MS + 1000L * i, () -> cluster.submitAndFollow(more, 0));
    }
    cluster.clock.runUntil(FAULTS_AT_MS);
    String oldLeader = cluster.state.dataUnder("d/leader/").get("one").path("name").asText();
    cluster.cutZone(cluster.ownerZone(), 8000);
    cluster.delayWrites(0.5, 30_000);
    cluster.clock.runUntil(FAULTS_AT_MS + 8000);
    assertThat(cluster.state.dataUnder("d/leader/").get("one").path("name").asText())
        .as("another controller leads when the cloud answers")
        .isNotEqualTo(oldLeader);
    // The partition is over: answers of the cloud from here on arrive.
    int before = cluster.cloud.rentalsForDeposedLeaders;
    cluster.clock.runUntil(FAULTS_AT_MS + 30_000);
    assertThat(cluster.cloud.rentalsForDeposedLeaders - before)
        .as("rental answers with machines to the deposed leader")
        .isPositive();
    cluster.cloud.answerDelayMs = 0;
    runAndVerify(cluster);
  }

  /**
   * The same with a state service that ignores all guards: the checks report what the guards
   * prevent.
   */
  @Test
  void withoutGuardsDelayedTransactionsAreReported() throws MalformedException {
    int broken = 0;
    for (long seed = 1; seed <= 12 && broken == 0; seed++) {
      jobs.clear();
      SimCluster cluster = busyCluster(seed, Policy.parse("holder_machines = 12;"));
      cluster.state.ignoreGuards = true;
      cluster.clock.runUntil(15_000);
      cluster.delayWrites(0.35, 70_000);
      cluster.clock.after(12_000, () -> cluster.crashOwner(20_000));
      cancelEveryNth(cluster, 3, 1500);
      cluster.clock.runUntil(250_000);
      broken += cluster.checks.violations.size();
    }
    assertThat(broken).isPositive();
  }

  /**
   * All controllers crash, one restarts within a fraction of a second, takes over everything, and
   * crashes again at each step of that; then the others restart.
   */
  @ParameterizedTest
  @CsvSource({"0,0", "1,120", "2,250", "3,400", "4,700", "0,1100", "1,1600", "2,2400"})
  void allCrashAndTheFirstToRestartCrashesAgain(int firstRestarted, long afterMs)
      throws MalformedException {
    SimCluster cluster = busyCluster(5);
    StartLog starts = new StartLog(cluster);
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.duplicateHeartbeats(0.5, 60_000);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.crash(node, node == firstRestarted ? 150 : 12_000);
    }
    cancelEveryNth(cluster, 4, 500);
    cluster.clock.runUntil(FAULTS_AT_MS + 150 + afterMs);
    cluster.crash(firstRestarted, 200);
    cluster.clock.runUntil(FAULTS_AT_MS + 11_000);
    assertThat(cluster.ownerName()).as("restarted within a second").isEqualTo("n" + firstRestarted);
    cluster.clock.after(3000, () -> cluster.crash(firstRestarted, 30_000));
    cluster.clock.after(4500, () -> cluster.crashOwner(200));
    cluster.clock.runUntil(FAULTS_AT_MS + 60_000);
    assertThat(sum(cluster, worker -> worker.staleCopies)).isGreaterThan(20);
    runAndVerify(cluster);
    assertThat(starts.reusedAttempts).as("attempt numbers assigned by two incarnations").isEmpty();
  }

  /** Reports of earlier sessions and attempts arrive after newer ones, at new owners. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void oldReportsArriveAfterNewerOnes(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.maxCopyDelayMs = 40_000;
    cluster.clock.runUntil(20_000);
    cluster.duplicateHeartbeats(0.6, 80_000);
    for (int i = 0; i < 5; i++) {
      long at = 5000 + 14_000L * i;
      boolean restarts = i % 2 == 0;
      cluster.clock.after(at, () -> cluster.cutOwnerFromWorkers(23_000));
      cluster.clock.after(at + 6000, () -> cluster.crashOwner(restarts ? 200 : 9000));
      cluster.clock.after(
          at + 8000,
          () -> InjectedFault.busiestMachines(cluster).forEach(worker -> worker.hang(22_000)));
    }
    cancelEveryNth(cluster, 4, 2500);
    cluster.clock.runUntil(130_000);
    assertThat(sum(cluster, worker -> worker.staleCopiesOfEarlierSessions)).isPositive();
    runAndVerify(cluster);
  }

  /** Commands and their responses are delayed for seconds, after which the machines go on. */
  @ParameterizedTest
  @CsvSource({"1,4000", "2,9000", "3,15000", "4,18500"})
  void commandsAreDelayed(long seed, long ms) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    for (int i = 0; i < 4; i++) {
      long at = 15_000 + 16_000L * i;
      boolean restartsAtOnce = i % 2 == 1;
      cluster.clock.after(at, () -> InjectedFault.MACHINES_HANG.inject(cluster, ms));
      cluster.clock.after(at + 200, () -> cluster.cutOwnerFromWorkers(Math.min(ms, 7000)));
      cluster.clock.after(at + 2500, () -> cluster.crashOwner(restartsAtOnce ? 200 : 10_000));
    }
    cluster.clock.runUntil(15_000);
    cancelEveryNth(cluster, 3, 2000);
    cluster.clock.runUntil(110_000);
    assertThat(cluster.net.commandsAfterTimeout).isPositive();
    runAndVerify(cluster);
  }

  /** Tasks of small jobs end far apart, with a change of the owner between them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void smallJobsEndAcrossOwnerChanges(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    StartLog starts = new StartLog(cluster);
    Set<String> spanningJobs =
        jobs.stream()
            .filter(
                spec -> spec.jobclass().equals(SimWorker.STAGGERED_CLASS) && spec.taskCount() > 1)
            .map(JobSpec::ref)
            .collect(Collectors.toSet());
    int[] partlyDone = new int[1];
    for (int i = 0; i < 8; i++) {
      boolean restarts = i % 2 == seed % 2;
      cluster.clock.after(
          18_000 + 8000L * i,
          () -> {
            for (String ref : spanningJobs) {
              int done = cluster.checks.completedTasks.getOrDefault(ref, Set.of()).size();
              partlyDone[0] += done > 0 && done < cluster.specOf(ref).taskCount() ? 1 : 0;
            }
            cluster.crashOwner(restarts ? 200 : 20_000);
          });
    }
    cluster.clock.runUntil(100_000);
    assertThat(partlyDone[0]).as("jobs partly done at an owner change").isGreaterThan(10);
    runAndVerify(cluster);
    assertThat(starts.doneCount()).isGreaterThan(100);
    assertThat(starts.startsOfDoneTasks).as("tasks recorded as done that start again").isEmpty();
    assertThat(spanningJobs)
        .allSatisfy(
            ref ->
                assertThat(cluster.checks.completedTasks.getOrDefault(ref, Set.of()))
                    .hasSize(cluster.specOf(ref).taskCount()));
  }

  /**
   * The state service is slow, then refuses only the owner while users get cancellations confirmed
   * through other controllers, then is down for everybody for longer than {@code cancel_s}, while
   * workers keep reporting and users keep polling.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void stateServiceSlowThenRefusingTheOwnerThenDown(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 140_000);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String oldOwner = cluster.ownerName();
    int[] written = new int[cluster.nodeCount()];
    cluster.net.transactionListeners.add(
        (from, body, status) -> {
          boolean ownerRefused = cluster.clock.now() > OWNER_REFUSED_AT_MS + 500;
          written[cluster.nodeIndexAt(from)] += ownerRefused && status == 200 ? 1 : 0;
        });
    cluster.slowStateService(30, 25_000);
    cluster.clock.after(4000, () -> cluster.refuseStateToOwner(20_000));
    cluster.clock.after(6500, () -> cluster.state.outage(70_000));
    cancelEveryNth(cluster, 2, 250);
    cluster.clock.runUntil(OUTAGE_AT_MS);
    assertThat(cluster.checks.cancelConfirmedAt).hasSizeGreaterThan(3);
    assertThat(cluster.ownerName()).as("owner as the outage begins").isEqualTo(oldOwner);
    assertThat(cluster.checks.cancelConfirmedAt.values())
        .as("confirmed while only the owner is refused")
        .anyMatch(at -> at > OWNER_REFUSED_AT_MS + 500 && at <= OUTAGE_AT_MS);
    assertThat(written[cluster.nodeIndex(oldOwner)]).as("written by the owner").isZero();
    assertThat(IntStream.of(written).sum()).as("written by other controllers").isPositive();
    cluster.clock.runUntil(
        OUTAGE_AT_MS + (long) (cluster.settings.maxCancellationS() * 1000) + 10_000);
    assertThat(cluster.state.down).as("outage longer than cancel_s").isTrue();
    assertThat(cluster.cloud.machines.values())
        .as("answered by the owner during the outage")
        .anyMatch(
            worker ->
                worker.renewedBy == cluster.nodeIndex(oldOwner)
                    && worker.renewedAt > OUTAGE_AT_MS + 1000);
    runAndVerify(cluster);
  }

  /**
   * The leader crashes while machines with long tasks are unreachable, or do not receive the new
   * leader's answers.
   */
  @ParameterizedTest
  @CsvSource({
    "1,MACHINES_UNREACHABLE",
    "2,MACHINES_WITHOUT_INBOUND",
    "3,MACHINES_UNREACHABLE",
    "4,MACHINES_WITHOUT_INBOUND"
  })
  void leaderCrashesWhileMachinesAreUnreachable(long seed, InjectedFault trouble)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String oldOwner = cluster.ownerName();
    List<SimWorker> unreachable = InjectedFault.busiestMachines(cluster);
    long tasksBefore = unreachable.stream().mapToInt(worker -> worker.tasks.size()).sum();
    assertThat(tasksBefore).isGreaterThan(8);
    trouble.inject(cluster, 45_000);
    cluster.crashOwner(30_000);
    cluster.clock.runUntil(FAULTS_AT_MS + 3000);
    assertThat(cluster.ownerName()).isNotEqualTo(oldOwner);
    assertThat(unreachable.stream().mapToInt(worker -> worker.tasks.size()).sum())
        .as("tasks still there as the new owner starts")
        .isPositive();
    cancelEveryNth(cluster, 3, 200);
    runAndVerify(cluster);
  }
}
