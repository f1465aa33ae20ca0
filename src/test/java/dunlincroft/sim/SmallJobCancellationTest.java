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
 * Guards against cancelled jobs that run and against lost jobs under a high rate of small jobs.
 * One-task jobs are submitted four a second for minutes, and a quarter of them is cancelled: at
 * once, while waiting, while running, or around their end.
 */
class SmallJobCancellationTest {
  private static final int JOBS = 480;
  private static final long SUBMIT_INTERVAL_MS = 250;
  private static final long FIRST_SUBMIT_MS = 20_000;
  private static final long END_MS = 500_000;

  /**
   * Longest time an order that was already in flight may take, with the image download that it
   * begins.
   */
  private static final long ORDER_IN_FLIGHT_MS = 2500;

  /** Phase of a job in which its user cancels it. */
  private enum JobPhase {
    AT_ONCE,
    WAITING,
    RUNNING,
    AROUND_THE_END
  }

  /** Faults injected while the jobs run. */
  private enum FaultScenario {
    NOTHING,
    OWNER_CHANGES,
    SLOW_STATE_SERVICE,
    LATE_WRITES,
    ALL
  }

  private final Map<JobPhase, Integer> cancelsByPhase = new EnumMap<>(JobPhase.class);

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

  private void cancel(SimCluster cluster, Random random, JobSpec spec, JobPhase phase) {
    long endMs = (long) (spec.estimatedRunS() * 1000);
    switch (phase) {
      case AT_ONCE -> afterAccepted(cluster, spec, 0);
      case WAITING -> afterAccepted(cluster, spec, random.nextInt(900));
      case RUNNING -> afterStart(cluster, spec, 300 + random.nextInt(1000));
      case AROUND_THE_END -> afterStart(cluster, spec, endMs - 500 + random.nextInt(1000));
    }
  }

  private void afterAccepted(SimCluster cluster, JobSpec spec, long ms) {
    if (cluster.checks.accepted.contains(spec.ref())) {
      cluster.clock.after(ms, () -> cancelNow(cluster, spec));
    } else {
      cluster.clock.after(1, () -> afterAccepted(cluster, spec, ms));
    }
  }

  private void afterStart(SimCluster cluster, JobSpec spec, long ms) {
    if (cluster.checks.running(spec.ref()) > 0) {
      cluster.clock.after(ms, () -> cancelNow(cluster, spec));
    } else if (!cluster.checks.finalStates.containsKey(spec.ref())) {
      cluster.clock.after(20, () -> afterStart(cluster, spec, ms));
    }
  }

  /** Cancels a job, and counts the phase in which it really was. */
  private void cancelNow(SimCluster cluster, JobSpec spec) {
    JobPhase actualPhase = JobPhase.WAITING;
    if (cluster.checks.completedTasks.containsKey(spec.ref())) {
      actualPhase = JobPhase.AROUND_THE_END;
    } else if (cluster.checks.running(spec.ref()) > 0) {
      actualPhase = JobPhase.RUNNING;
    } else if (cluster.state.dataUnder("d/jobs/" + spec.ref()).isEmpty()) {
      actualPhase = JobPhase.AT_ONCE;
    }
    cancelsByPhase.merge(actualPhase, 1, Integer::sum);
    cluster.cancel(spec);
  }

  private void injectFaults(SimCluster cluster, FaultScenario scenario) {
    boolean all = scenario == FaultScenario.ALL;
    if (all || scenario == FaultScenario.OWNER_CHANGES) {
      for (int i = 0; i < 6; i++) {
        boolean restarts = i % 2 == 0;
        cluster.clock.after(
            10_000 + 17_000L * i, () -> cluster.crashOwner(restarts ? 200 : 12_000));
      }
    }
    if (all || scenario == FaultScenario.SLOW_STATE_SERVICE) {
      for (int i = 0; i < 4; i++) {
        cluster.clock.after(6000 + 30_000L * i, () -> cluster.slowStateService(30, 14_000));
      }
    }
    if (all || scenario == FaultScenario.LATE_WRITES) {
      cluster.delayWrites(0.2, 110_000);
    }
  }

  private SimCluster cluster(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(FIRST_SUBMIT_MS + JOBS * SUBMIT_INTERVAL_MS + 30_000);
    Random random = new Random(seed);
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = job(i, 1.5 + random.nextInt(8));
      cluster.clock.after(
          FIRST_SUBMIT_MS + SUBMIT_INTERVAL_MS * i, () -> cluster.submitAndFollow(spec, 0));
      if (i % 4 == 1) {
        JobPhase phase = JobPhase.values()[i / 4 % 4];
        cluster.clock.after(
            FIRST_SUBMIT_MS + SUBMIT_INTERVAL_MS * i, () -> cancel(cluster, random, spec, phase));
      }
    }
    return cluster;
  }

  /** Plays until every user was told of the end, and 15 s longer. */
  private static void play(SimCluster cluster) {
    cluster.clock.runUntil(FIRST_SUBMIT_MS + JOBS * SUBMIT_INTERVAL_MS);
    while (cluster.checks.finalStates.size() < JOBS && cluster.clock.now() < END_MS) {
      cluster.clock.runUntil(cluster.clock.now() + 1000);
    }
    cluster.clock.runUntil(cluster.clock.now() + 15_000);
  }

  @ParameterizedTest
  @EnumSource(FaultScenario.class)
  void everyJobEndsAsItsUserRequested(FaultScenario scenario) throws MalformedException {
    SimCluster cluster = cluster(1 + scenario.ordinal());
    CancellationLog cancelLog = new CancellationLog(cluster);
    OwnershipChanges ownershipChanges = new OwnershipChanges(cluster);
    cluster.clock.runUntil(FIRST_SUBMIT_MS);
    injectFaults(cluster, scenario);
    play(cluster);
    assertFaultsOverlappedJobs(cluster, scenario, ownershipChanges);
    assertFinalStates(cluster, cancelLog);
  }

  /**
   * Asserts that the faults occurred while jobs ran, and that jobs were cancelled in each phase.
   */
  private void assertFaultsOverlappedJobs(
      SimCluster cluster, FaultScenario scenario, OwnershipChanges ownershipChanges) {
    assertThat(cancelsByPhase.getOrDefault(JobPhase.WAITING, 0)).isGreaterThan(30);
    assertThat(cancelsByPhase.getOrDefault(JobPhase.RUNNING, 0)).isGreaterThan(30);
    assertThat(cancelsByPhase.getOrDefault(JobPhase.AROUND_THE_END, 0)).isGreaterThan(5);
    if (scenario == FaultScenario.OWNER_CHANGES || scenario == FaultScenario.ALL) {
      assertThat(ownershipChanges.changes).as("ownership changes").hasSizeGreaterThan(3);
    }
    if (scenario == FaultScenario.LATE_WRITES || scenario == FaultScenario.ALL) {
      assertThat(cluster.net.executedAfterNewer)
          .as("late writes after newer ones")
          .isGreaterThan(100);
    }
  }

  /**
   * No job is lost, none starts after its user got the confirmation, and jobs that nobody cancelled
   * are done.
   */
  private static void assertFinalStates(SimCluster cluster, CancellationLog cancelLog) {
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
    assertThat(withdrawn)
        .as("confirmations that were never withdrawn")
        .isEqualTo(checks.cancelConfirmedAt.size());
    assertThat(checks.completedTasks.keySet()).containsAll(doneJobs(checks));
    assertThat(cancelLog.startsAfterCancellation)
        .as("starts recorded after the cancellation")
        .isEmpty();
    assertThat(checks.startedAfterCancelMs)
        .as("starts that were in flight")
        .hasSizeLessThan(4)
        .allMatch(ms -> ms < ORDER_IN_FLIGHT_MS);
  }

  private static List<String> doneJobs(InvariantChecks checks) {
    return checks.finalStates.entrySet().stream()
        .filter(each -> each.getValue().equals(Wire.DONE))
        .map(Map.Entry::getKey)
        .toList();
  }
}
