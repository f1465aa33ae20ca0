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
 * Each meeting of troubles that the operators name, brought about and shown to have happened; the
 * gap has a test of its own.
 */
class MeetingsTest extends MeetingScenario {
  /** When the state service begins to refuse the holder alone, and is down for all. */
  private static final long REFUSED_MS = AT_MS + 4000;

  private static final long DOWN_MS = AT_MS + 6500;

  /**
   * The holder is alone with its workers and users, some of which nobody else reaches, and jobs are
   * cancelled through the new one. The old one goes on answering those workers for a while.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aDeposedHolderAnswersWorkersWhileJobsAreCancelledElsewhere(long seed)
      throws MalformedException {
    SimCluster cluster = busy(seed);
    cluster.clock.runUntil(AT_MS);
    String old = cluster.holderName();
    List<SimWorker> its = Trouble.fullest(cluster);
    its.forEach(worker -> cluster.cutOffFromOthers(worker, 70_000));
    cluster.cutHolderFromControllers(70_000);
    while (cluster.holderName().equals(old)) {
      cluster.clock.runUntil(cluster.clock.now() + 50);
    }
    long taken = cluster.clock.now();
    assertThat(taken).isLessThan(AT_MS + 6000);
    cancelSome(cluster, 3, 300);
    cluster.clock.runUntil(AT_MS + 30_000);
    assertThat(its)
        .as("answered by the old one after the change of hands")
        .anyMatch(
            worker ->
                worker.renewedBy == cluster.nodeIndex(old) && worker.renewedAt > taken + 1000);
    assertThat(cluster.checks.toldCancelled).hasSizeGreaterThan(10);
    holds(cluster);
  }

  /** Transactions without an answer are carried out seconds later, after newer ones. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void transactionsAreCarriedOutAfterNewerOnes(long seed) throws MalformedException {
    SimCluster cluster = busy(seed, Policy.parse(seed % 2 == 0 ? "holder_machines = 12;" : ""));
    cluster.clock.runUntil(15_000);
    cluster.lateWrites(0.35, 70_000);
    cluster.clock.after(12_000, () -> cluster.crashHolder(seed % 3 == 0 ? 200 : 20_000));
    cluster.clock.after(30_000, () -> cluster.takeBack(6));
    cluster.clock.after(45_000, () -> cluster.crashHolder(200));
    cancelSome(cluster, 3, 1500);
    cluster.clock.runUntil(100_000);
    assertThat(cluster.net.lateAfterNewer).isGreaterThan(20);
    holds(cluster);
  }

  /**
   * A leader's zone is cut off, and another leads when the cloud answers its rentals. It once made
   * blocks of these machines under its successor's stamp, beside those that this one made of them.
   */
  @ParameterizedTest
  @ValueSource(longs = {5, 6, 7, 8})
  void aDeposedLeadersRentalsBecomeNoBlocks(long seed) throws MalformedException {
    SimCluster cluster = busy(seed);
    cluster.cloud.answerMs = 1500;
    for (int i = 0; i < 12; i++) {
      JobSpec more = RulesTest.simple("run-more-" + i, "blue", 30, 2);
      cluster.clock.after(AT_MS + 1000L * i, () -> cluster.user(more, 0));
    }
    cluster.clock.runUntil(AT_MS);
    String old = cluster.state.under("d/leader/").get("one").path("name").asText();
    cluster.cutZone(cluster.zoneOfTheHolder(), 8000);
    cluster.lateWrites(0.5, 30_000);
    cluster.clock.runUntil(AT_MS + 8000);
    assertThat(cluster.state.under("d/leader/").get("one").path("name").asText())
        .as("another leads as the cloud answers")
        .isNotEqualTo(old);
    // The cut is over: what the cloud answers from here on arrives.
    int before = cluster.cloud.answeredToDeposed;
    cluster.clock.runUntil(AT_MS + 30_000);
    assertThat(cluster.cloud.answeredToDeposed - before)
        .as("rentals answered to the deposed one, with machines")
        .isPositive();
    cluster.cloud.answerMs = 0;
    holds(cluster);
  }

  /** The same with a state service that ignores all guards: the checks see what they prevent. */
  @Test
  void withoutGuardsLateTransactionsBreakRules() throws MalformedException {
    int broken = 0;
    for (long seed = 1; seed <= 12 && broken == 0; seed++) {
      jobs.clear();
      SimCluster cluster = busy(seed, Policy.parse("holder_machines = 12;"));
      cluster.state.ignoreGuards = true;
      cluster.clock.runUntil(15_000);
      cluster.lateWrites(0.35, 70_000);
      cluster.clock.after(12_000, () -> cluster.crashHolder(20_000));
      cancelSome(cluster, 3, 1500);
      cluster.clock.runUntil(250_000);
      broken += cluster.checks.broken.size();
    }
    assertThat(broken).isPositive();
  }

  /**
   * All end, one is back within a moment and takes everything, and ends again at each step of that;
   * then the others are back.
   */
  @ParameterizedTest
  @CsvSource({"0,0", "1,120", "2,250", "3,400", "4,700", "0,1100", "1,1600", "2,2400"})
  void allEndAndOneIsBackAndEndsAgain(int one, long after) throws MalformedException {
    SimCluster cluster = busy(5);
    StartLog starts = new StartLog(cluster);
    cluster.clock.runUntil(AT_MS);
    cluster.lateReports(0.5, 60_000);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.crash(node, node == one ? 150 : 12_000);
    }
    cancelSome(cluster, 4, 500);
    cluster.clock.runUntil(AT_MS + 150 + after);
    cluster.crash(one, 200);
    cluster.clock.runUntil(AT_MS + 11_000);
    assertThat(cluster.holderName()).as("back within a second").isEqualTo("n" + one);
    cluster.clock.after(3000, () -> cluster.crash(one, 30_000));
    cluster.clock.after(4500, () -> cluster.crashHolder(200));
    cluster.clock.runUntil(AT_MS + 60_000);
    assertThat(sum(cluster, worker -> worker.oldCopies)).isGreaterThan(20);
    holds(cluster);
    assertThat(starts.repeatedTries).as("tries given by two lives").isEmpty();
  }

  /** Reports of earlier sessions and attempts come after newer ones, at new holders. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void oldReportsComeAfterNewerOnes(long seed) throws MalformedException {
    SimCluster cluster = busy(seed);
    cluster.copiesWithinMs = 40_000;
    cluster.clock.runUntil(20_000);
    cluster.lateReports(0.6, 80_000);
    for (int i = 0; i < 5; i++) {
      long at = 5000 + 14_000L * i;
      boolean atOnce = i % 2 == 0;
      cluster.clock.after(at, () -> cluster.cutHolderFromWorkers(23_000));
      cluster.clock.after(at + 6000, () -> cluster.crashHolder(atOnce ? 200 : 9000));
      cluster.clock.after(
          at + 8000, () -> Trouble.fullest(cluster).forEach(worker -> worker.hang(22_000)));
    }
    cancelSome(cluster, 4, 2500);
    cluster.clock.runUntil(130_000);
    assertThat(sum(cluster, worker -> worker.copiesOfEarlierSessions)).isPositive();
    holds(cluster);
  }

  /** Commands and their answers are held up for seconds, and the machines then go on. */
  @ParameterizedTest
  @CsvSource({"1,4000", "2,9000", "3,15000", "4,18500"})
  void commandsAreHeldUp(long seed, long ms) throws MalformedException {
    SimCluster cluster = busy(seed);
    for (int i = 0; i < 4; i++) {
      long at = 15_000 + 16_000L * i;
      boolean end = i % 2 == 1;
      cluster.clock.after(at, () -> Trouble.MACHINES_HANG.strike(cluster, ms));
      cluster.clock.after(at + 200, () -> cluster.cutHolderFromWorkers(Math.min(ms, 7000)));
      cluster.clock.after(at + 2500, () -> cluster.crashHolder(end ? 200 : 10_000));
    }
    cluster.clock.runUntil(15_000);
    cancelSome(cluster, 3, 2000);
    cluster.clock.runUntil(110_000);
    assertThat(cluster.net.lateCommands).isPositive();
    holds(cluster);
  }

  /** Tasks of small jobs end far apart, with a change of the holder between them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void smallJobsEndAcrossChangesOfTheHolder(long seed) throws MalformedException {
    SimCluster cluster = busy(seed);
    StartLog starts = new StartLog(cluster);
    Set<String> across =
        jobs.stream()
            .filter(spec -> spec.jobclass().equals(SimWorker.APART) && spec.taskCount() > 1)
            .map(JobSpec::ref)
            .collect(Collectors.toSet());
    int[] met = new int[1];
    for (int i = 0; i < 8; i++) {
      boolean atOnce = i % 2 == seed % 2;
      cluster.clock.after(
          18_000 + 8000L * i,
          () -> {
            for (String ref : across) {
              int done = cluster.checks.completed.getOrDefault(ref, Set.of()).size();
              met[0] += done > 0 && done < cluster.uploaded(ref).taskCount() ? 1 : 0;
            }
            cluster.crashHolder(atOnce ? 200 : 20_000);
          });
    }
    cluster.clock.runUntil(100_000);
    assertThat(met[0]).as("jobs with some tasks done at a change").isGreaterThan(10);
    holds(cluster);
    assertThat(starts.done()).isGreaterThan(100);
    assertThat(starts.startsOfDone).as("tasks recorded as done that start again").isEmpty();
    assertThat(across)
        .allSatisfy(
            ref ->
                assertThat(cluster.checks.completed.getOrDefault(ref, Set.of()))
                    .hasSize(cluster.uploaded(ref).taskCount()));
  }

  /**
   * The state service is slow, refuses the holder alone while users are told of cancellations
   * through others, then is down for everybody for longer than {@code cancel_s}, while workers go
   * on reporting and users go on asking.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void slowThenRefusedAloneThenDownForAll(long seed) throws MalformedException {
    SimCluster cluster = busy(seed);
    cluster.checks.troublesOver(AT_MS + 140_000);
    cluster.clock.runUntil(AT_MS);
    String old = cluster.holderName();
    int[] written = new int[cluster.nodeCount()];
    cluster.net.transactionListeners.add(
        (from, body, status) -> {
          boolean alone = cluster.clock.now() > REFUSED_MS + 500;
          written[cluster.nodeIndexAt(from)] += alone && status == 200 ? 1 : 0;
        });
    cluster.slowState(30, 25_000);
    cluster.clock.after(4000, () -> cluster.refuseHolder(20_000));
    cluster.clock.after(6500, () -> cluster.state.outage(70_000));
    cancelSome(cluster, 2, 250);
    cluster.clock.runUntil(DOWN_MS);
    assertThat(cluster.checks.toldCancelled).hasSizeGreaterThan(3);
    assertThat(cluster.holderName()).as("holds as the outage begins").isEqualTo(old);
    assertThat(cluster.checks.toldCancelled.values())
        .as("told while the holder is refused alone")
        .anyMatch(at -> at > REFUSED_MS + 500 && at <= DOWN_MS);
    assertThat(written[cluster.nodeIndex(old)]).as("written by the holder").isZero();
    assertThat(IntStream.of(written).sum()).as("written by others").isPositive();
    cluster.clock.runUntil(DOWN_MS + (long) (cluster.settings.maxCancellationS() * 1000) + 10_000);
    assertThat(cluster.state.down).as("down for longer than cancel_s").isTrue();
    assertThat(cluster.cloud.machines.values())
        .as("answered by the holder in the outage")
        .anyMatch(
            worker ->
                worker.renewedBy == cluster.nodeIndex(old) && worker.renewedAt > DOWN_MS + 1000);
    holds(cluster);
  }

  /** The leader ends while machines with long tasks can't be reached, or don't hear the new one. */
  @ParameterizedTest
  @CsvSource({"1,MACHINES_CUT_OFF", "2,MACHINES_DEAF", "3,MACHINES_CUT_OFF", "4,MACHINES_DEAF"})
  void theLeaderEndsWhileMachinesCannotBeReached(long seed, Trouble trouble)
      throws MalformedException {
    SimCluster cluster = busy(seed);
    cluster.clock.runUntil(AT_MS);
    String old = cluster.holderName();
    List<SimWorker> out = Trouble.fullest(cluster);
    long there = out.stream().mapToInt(worker -> worker.tasks.size()).sum();
    assertThat(there).isGreaterThan(8);
    trouble.strike(cluster, 45_000);
    cluster.crashHolder(30_000);
    cluster.clock.runUntil(AT_MS + 3000);
    assertThat(cluster.holderName()).isNotEqualTo(old);
    assertThat(out.stream().mapToInt(worker -> worker.tasks.size()).sum())
        .as("tasks still there as the new one begins")
        .isPositive();
    cancelSome(cluster, 3, 200);
    holds(cluster);
  }
}
