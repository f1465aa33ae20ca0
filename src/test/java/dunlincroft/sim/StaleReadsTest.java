package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against stale answers. Users query all nodes within milliseconds, and repeat the
 * submission, right after a job was accepted, ended, or was confirmed as cancelled; some cancel at
 * once. No node may answer with an older state than the one already told.
 */
class StaleReadsTest extends OverlappingFaultsScenario {
  private static final long DAY_END_MS = 420_000;

  /** A busy day on which users send such queries all the time. */
  private SimCluster observedCluster(long seed) throws MalformedException {
    jobs.clear();
    SimCluster cluster = busyCluster(seed);
    cluster.requestBursts.enableFor(DAY_END_MS);
    return cluster;
  }

  @ParameterizedTest
  @CsvSource({
    "1,",
    "2,STATE_SLOW",
    "3,LATE_WRITES",
    "4,OWNER_CRASHES",
    "5,OWNER_PAUSED",
    "6,ALL_RESTART"
  })
  void noNodeAnswersOlderState(long seed, InjectedFault trouble) throws MalformedException {
    SimCluster cluster = observedCluster(seed);
    // On every other day the change history is short: a node that lags behind must read everything
    // again.
    cluster.state.maxChanges = seed % 2 == 0 ? 60 : cluster.state.maxChanges;
    cluster.clock.runUntil(15_000);
    if (trouble != null) {
      for (int i = 0; i < 5; i++) {
        cluster.clock.after(12_000L * i, () -> trouble.inject(cluster, 5000));
      }
    }
    cancelEveryNth(cluster, 4, 2000);
    cluster.clock.runUntil(FAULTS_AT_MS + 90_000);
    assertThat(cluster.requestBursts.burstsAtAcceptance).isGreaterThan(80);
    assertThat(cluster.requestBursts.burstsAtCompletion).isGreaterThan(20);
    assertThat(cluster.requestBursts.burstsAtCancellation).isGreaterThan(6);
    runAndVerify(cluster, DAY_END_MS);
  }

  /**
   * A cancellation of a partly finished job must not report fewer finished tasks than earlier polls
   * did.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void cancellationAnswerCountsNoFewerDoneTasksThanPolls(long seed) throws MalformedException {
    SimCluster cluster = observedCluster(seed);
    Set<String> partlyDone = new HashSet<>();
    for (long at = 20_000; at < 60_000; at += 500) {
      cluster.clock.runUntil(at);
      for (JobSpec spec : jobs) {
        int done = cluster.checks.maxDoneReported(spec.ref());
        boolean open = !cluster.checks.finalStates.containsKey(spec.ref());
        if (open && done > 0 && done < spec.taskCount() && partlyDone.add(spec.ref())) {
          cluster.requestBursts.cancel(cluster.randomNode(), spec);
        }
      }
      // Finished tasks become known to users by frequent queries: ordinary polls come only every 5
      // s.
      jobs.stream()
          .filter(spec -> cluster.checks.accepted.contains(spec.ref()))
          .filter(
              spec -> spec.taskCount() > 1 && !cluster.checks.finalStates.containsKey(spec.ref()))
          .forEach(spec -> cluster.requestBursts.query(cluster.randomNode(), spec));
    }
    assertThat(partlyDone).as("cancelled after some tasks were told as done").hasSizeGreaterThan(8);
    runAndVerify(cluster, DAY_END_MS);
  }

  /**
   * The same with read barriers that have no effect: stale answers are given and reported, which
   * shows that these days do query nodes that lag behind.
   */
  @Test
  void withoutReadBarriersStaleAnswersAreReported() throws MalformedException {
    Set<String> reportedRules = new HashSet<>();
    for (long seed = 1; seed <= 2; seed++) {
      SimCluster cluster = observedCluster(seed);
      cluster.clock.runUntil(15_000);
      cluster.state.emptyBarriers = true;
      cancelEveryNth(cluster, 4, 2000);
      cluster.clock.runUntil(FAULTS_AT_MS + 60_000);
      cluster.checks.violations.forEach(each -> reportedRules.add(each.split(" ")[1]));
    }
    assertThat(reportedRules).contains("forgotten:", "went_back:");
  }

  /**
   * A decreasing count of finished tasks is reported. This is tested directly, because nodes whose
   * read barriers have no effect answer no cancellation, so that the days above no longer show it.
   */
  @Test
  void smallerDoneCountIsReported() throws MalformedException {
    SimCluster cluster = busyCluster(1);
    cluster.clock.runUntil(15_000);
    JobSpec spec = jobs.get(0);
    cluster.checks.onAnswer(spec, 200, answer(2), 14_000);
    cluster.checks.onAnswer(spec, 200, answer(1), 14_900);
    assertThat(cluster.checks.violations).as("asked before the larger count was told").isEmpty();
    cluster.clock.runUntil(16_000);
    cluster.checks.onAnswer(spec, 200, answer(1), 15_500);
    assertThat(cluster.checks.violations)
        .anyMatch(what -> what.contains("fewer_done: " + spec.ref()));
  }

  private static JsonNode answer(int done) {
    return Cbor.map().put("status", "running").put("done", done);
  }
}
