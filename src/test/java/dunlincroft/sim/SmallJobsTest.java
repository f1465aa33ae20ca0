package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import dunlincroft.sim.SimCluster.Size;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * One-task jobs come four a second for minutes, and a quarter of them is cancelled: at once, while
 * they wait, while they run, around their end.
 */
class SmallJobsTest {
  private static final int JOBS = 480;
  private static final long EACH_MS = 250;
  private static final long FROM_MS = 20_000;
  private static final long END_MS = 500_000;

  /** An order, and the fetch of the image that it begins. */
  private static final long ON_ITS_WAY_MS = 2500;

  /** When in a job's life its user cancels it. */
  private enum Moment {
    AT_ONCE,
    WAITING,
    RUNNING,
    AROUND_THE_END
  }

  /** What troubles the cluster meanwhile. */
  private enum Beside {
    NOTHING,
    CHANGES_OF_THE_HOLDER,
    SLOW_STATE_SERVICE,
    LATE_WRITES,
    ALL_OF_IT
  }

  private final Map<Moment, Integer> met = new EnumMap<>(Moment.class);

  private static JobSpec job(int number, double expectS) throws MalformedException {
    return JobSpec.parse(
        Cbor.map()
            .put("ref", "run-" + number)
            .put("jobclass", "copy")
            .put("owner", number % 9 == 0 ? "red" : "blue")
            .put("shape", "batch")
            .put("rank", number % 2 == 0 ? "normal" : "idle")
            .put("pieces", 1)
            .put("cpus", 1.0)
            .put("gpus", 0)
            .put("ramGb", 0.5)
            .put("bundle", "img-" + number % 4)
            .put("imageGb", 0.5)
            .put("samePlace", false)
            .put("spread", false)
            .put("lendable", true)
            .put("expectS", expectS)
            .put("snapshotS", 0.0)
            .put("flushS", 0.0));
  }

  private void cancel(SimCluster cluster, Random random, JobSpec spec, Moment moment) {
    long endMs = (long) (spec.estimatedRunS() * 1000);
    switch (moment) {
      case AT_ONCE -> afterAccepted(cluster, spec, 0);
      case WAITING -> afterAccepted(cluster, spec, random.nextInt(900));
      case RUNNING -> afterBegin(cluster, spec, 300 + random.nextInt(1000));
      case AROUND_THE_END -> afterBegin(cluster, spec, endMs - 500 + random.nextInt(1000));
    }
  }

  private void afterAccepted(SimCluster cluster, JobSpec spec, long ms) {
    if (cluster.checks.accepted.contains(spec.ref())) {
      cluster.clock.after(ms, () -> cancelNow(cluster, spec));
    } else {
      cluster.clock.after(1, () -> afterAccepted(cluster, spec, ms));
    }
  }

  private void afterBegin(SimCluster cluster, JobSpec spec, long ms) {
    if (cluster.checks.running(spec.ref()) > 0) {
      cluster.clock.after(ms, () -> cancelNow(cluster, spec));
    } else if (!cluster.checks.finalStates.containsKey(spec.ref())) {
      cluster.clock.after(20, () -> afterBegin(cluster, spec, ms));
    }
  }

  /** Cancels, and notes in which moment of the job's life that was. */
  private void cancelNow(SimCluster cluster, JobSpec spec) {
    Moment now = Moment.WAITING;
    if (cluster.checks.completedTasks.containsKey(spec.ref())) {
      now = Moment.AROUND_THE_END;
    } else if (cluster.checks.running(spec.ref()) > 0) {
      now = Moment.RUNNING;
    } else if (cluster.state.dataUnder("d/jobs/" + spec.ref()).isEmpty()) {
      now = Moment.AT_ONCE;
    }
    met.merge(now, 1, Integer::sum);
    cluster.cancel(spec);
  }

  private void trouble(SimCluster cluster, Beside beside) {
    boolean all = beside == Beside.ALL_OF_IT;
    if (all || beside == Beside.CHANGES_OF_THE_HOLDER) {
      for (int i = 0; i < 6; i++) {
        boolean atOnce = i % 2 == 0;
        cluster.clock.after(10_000 + 17_000L * i, () -> cluster.crashOwner(atOnce ? 200 : 12_000));
      }
    }
    if (all || beside == Beside.SLOW_STATE_SERVICE) {
      for (int i = 0; i < 4; i++) {
        cluster.clock.after(6000 + 30_000L * i, () -> cluster.slowStateService(30, 14_000));
      }
    }
    if (all || beside == Beside.LATE_WRITES) {
      cluster.delayWrites(0.2, 110_000);
    }
  }

  private SimCluster cluster(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(FROM_MS + JOBS * EACH_MS + 30_000);
    Random random = new Random(seed);
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = job(i, 1.5 + random.nextInt(8));
      cluster.clock.after(FROM_MS + EACH_MS * i, () -> cluster.submitAndFollow(spec, 0));
      if (i % 4 == 1) {
        Moment moment = Moment.values()[i / 4 % 4];
        cluster.clock.after(FROM_MS + EACH_MS * i, () -> cancel(cluster, random, spec, moment));
      }
    }
    return cluster;
  }

  /** Plays until every user was told of the end, and a little longer. */
  private static void play(SimCluster cluster) {
    cluster.clock.runUntil(FROM_MS + JOBS * EACH_MS);
    while (cluster.checks.finalStates.size() < JOBS && cluster.clock.now() < END_MS) {
      cluster.clock.runUntil(cluster.clock.now() + 1000);
    }
    cluster.clock.runUntil(cluster.clock.now() + 15_000);
  }

  @ParameterizedTest
  @EnumSource(Beside.class)
  void everyJobEndsAsItsUserWants(Beside beside) throws MalformedException {
    SimCluster cluster = cluster(1 + beside.ordinal());
    CancellationLog log = new CancellationLog(cluster);
    OwnershipChanges hands = new OwnershipChanges(cluster);
    cluster.clock.runUntil(FROM_MS);
    trouble(cluster, beside);
    play(cluster);
    met(cluster, beside, hands);
    ended(cluster, log);
  }

  /** The troubles met the jobs, and the cancellations each moment of their lives. */
  private void met(SimCluster cluster, Beside beside, OwnershipChanges hands) {
    assertThat(met.getOrDefault(Moment.WAITING, 0)).isGreaterThan(30);
    assertThat(met.getOrDefault(Moment.RUNNING, 0)).isGreaterThan(30);
    assertThat(met.getOrDefault(Moment.AROUND_THE_END, 0)).isGreaterThan(5);
    if (beside == Beside.CHANGES_OF_THE_HOLDER || beside == Beside.ALL_OF_IT) {
      assertThat(hands.changes).as("changes of hands").hasSizeGreaterThan(3);
    }
    if (beside == Beside.LATE_WRITES || beside == Beside.ALL_OF_IT) {
      assertThat(cluster.net.executedAfterNewer)
          .as("late writes after newer ones")
          .isGreaterThan(100);
    }
  }

  /**
   * Nothing is forgotten, nothing starts once its user was told, and who did not cancel is done.
   */
  private static void ended(SimCluster cluster, CancellationLog log) {
    InvariantChecks checks = cluster.checks;
    assertThat(checks.violations).isEmpty();
    assertThat(checks.accepted).hasSize(JOBS);
    assertThat(checks.finalStates).as("every job ends").hasSize(JOBS);
    assertThat(checks.cancelRequested).hasSizeGreaterThan(100);
    checks.finalStates.forEach(
        (ref, end) -> {
          if (!checks.cancelRequested.contains(ref)) {
            assertThat(end).as(ref + ", which nobody cancelled").isEqualTo(Wire.DONE);
          }
        });
    long withdrawn = checks.finalStates.values().stream().filter(Wire.CANCELLED::equals).count();
    assertThat(withdrawn).as("cancelled in time").isGreaterThan(90);
    assertThat(withdrawn).as("told once, told for ever").isEqualTo(checks.cancelConfirmedAt.size());
    assertThat(checks.completedTasks.keySet()).containsAll(doneOnes(checks));
    assertThat(log.startsAfterCancellation).as("recorded after the cancellation").isEmpty();
    assertThat(checks.startedAfterCancelMs)
        .as("orders that were on their way")
        .hasSizeLessThan(4)
        .allMatch(ms -> ms < ON_ITS_WAY_MS);
  }

  private static List<String> doneOnes(InvariantChecks checks) {
    return checks.finalStates.entrySet().stream()
        .filter(each -> each.getValue().equals(Wire.DONE))
        .map(Map.Entry::getKey)
        .toList();
  }
}
