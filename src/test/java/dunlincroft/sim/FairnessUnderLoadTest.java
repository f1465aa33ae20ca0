package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against starvation of a job class or a team: controllers restart within a fraction of a
 * second during a load that favours other classes or teams. The test fails if less than half of the
 * jobs of any class or team is served.
 */
class FairnessUnderLoadTest {
  private static final long SERVED_WITHIN_MS = 60_000;
  private static final double MIN_SERVED_SHARE = 0.5;
  private static final long RESTART_MS = 200;

  /** The additional load of a simulated day, and the faults on it. */
  private enum LoadScenario {
    BURST_OF_EVERY_OTHER_CLASS(
        test -> {
          for (int i = 0; i < 100; i++) {
            test.submit(30_000 + 100L * i, "copy", "blue", 30);
            test.submit(30_000 + 100L * i, "serve", "blue", 3);
          }
        }),
    A_TEAM_AT_TEN_TIMES_ITS_RATE(
        test -> {
          for (int i = 0; i < 400; i++) {
            test.submit(20_000 + 150L * i, "copy", "blue", 4);
          }
        }),
    ONE_HUGE_ARRAY_BESIDE_SMALL_JOBS(
        test -> {
          test.submit(20_000, "huge", "blue", 4000);
          for (int i = 0; i < 100; i++) {
            test.submit(25_000 + 300L * i, "small", "blue", 1);
          }
        }),
    ONE_ZONE_OF_THE_ONLY_TYPE(
        test -> {
          test.cluster.cloud.zonesWithoutCapacity.addAll(List.of("a", "c"));
          for (int i = 0; i < 60; i++) {
            test.submit(30_000 + 200L * i, "copy", "blue", 8);
          }
        }),
    ALL_CRASH_DURING_A_BURST(
        test -> {
          for (int i = 0; i < 150; i++) {
            test.submit(30_000 + 60L * i, "copy", "blue", 8);
          }
          test.cluster.clock.after(34_000, () -> test.cluster.crashAll(RESTART_MS));
          test.cluster.clock.after(35_500, () -> test.cluster.crashAll(RESTART_MS));
        }),
    STATE_SERVICE_DOWN_DURING_A_BURST(
        test -> {
          for (int i = 0; i < 150; i++) {
            test.submit(30_000 + 60L * i, "copy", "blue", 8);
          }
          test.cluster.clock.after(33_000, () -> test.cluster.state.outage(15_000));
          test.cluster.clock.after(36_000, () -> test.cluster.crashAll(RESTART_MS));
        }),
    A_LARGE_ARRAY_AMONG_SMALL_ONES(
        test -> {
          test.submitContinuously("small", 4);
          test.submit(25_000, "small", "blue", 700);
        }),
    A_LARGE_SERVICE_BESIDE_SINGLE_ONES(
        test -> {
          for (int i = 0; i < 150; i++) {
            test.submit(20_000 + 400L * i, "serve", "blue", 1);
          }
          test.submit(40_000, "serve", "blue", 12);
          test.submitContinuously("copy", 3);
        }),
    A_JOB_AS_LARGE_AS_ITS_TEAMS_LIMIT(
        test -> {
          for (int i = 0; i < 120; i++) {
            test.submit(20_000 + 500L * i, "copy", "red", 3);
          }
          test.submit(40_000, "copy", "red", 40);
          test.submitContinuously("copy", 3);
        }),
    A_JOB_AS_LARGE_AS_A_ZONE(
        test -> {
          test.submitContinuously("small", 4);
          test.samePlace = true;
          test.submit(30_000, "zonal", "blue", 320);
          test.samePlace = false;
        }),
    MACHINES_FAIL_DURING_A_BURST(
        test -> {
          for (int i = 0; i < 100; i++) {
            test.submit(30_000 + 60L * i, "copy", "blue", 8);
          }
          test.cluster.clock.after(40_000, test::killEveryFourthMachine);
          test.cluster.clock.after(41_000, () -> test.cluster.crashOwner(RESTART_MS));
        });

    private final Consumer<FairnessUnderLoadTest> schedule;

    LoadScenario(Consumer<FairnessUnderLoadTest> schedule) {
      this.schedule = schedule;
    }
  }

  /** Submits small jobs for two minutes, more than there is capacity for. */
  private void submitContinuously(String jobclass, int tasks) {
    for (int i = 0; i < 400; i++) {
      submit(15_000 + 300L * i, jobclass, "blue", tasks);
    }
  }

  private boolean samePlace;
  private SimCluster cluster;
  private int nextNumber;

  private void submit(long atMs, String jobclass, String team, int tasks) {
    boolean daemon = jobclass.equals("serve");
    JobSpec spec;
    try {
      spec =
          JobSpec.parse(
              Cbor.map()
                  .put("ref", "run-" + nextNumber++)
                  .put("jobclass", jobclass)
                  .put("owner", team)
                  .put("shape", daemon ? "daemon" : "batch")
                  .put("rank", daemon ? "prod" : nextNumber % 2 == 0 ? "normal" : "idle")
                  .put("pieces", tasks)
                  .put("cpus", 1.0)
                  .put("gpus", 0)
                  .put("ramGb", 0.5)
                  .put("bundle", "img-" + nextNumber % 5)
                  .put("imageGb", 1.0)
                  .put("samePlace", samePlace)
                  .put("spread", daemon)
                  .put("lendable", !daemon)
                  .put("expectS", daemon ? 0.0 : 10.0)
                  .put("snapshotS", 0.0)
                  .put("flushS", 0.0)
                  .put("dueS", 60.0));
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
    cluster.clock.after(atMs, () -> cluster.submitAndFollow(spec, daemon ? 60_000 : 0));
  }

  private void killEveryFourthMachine() {
    List<SimWorker> workers = List.copyOf(cluster.cloud.machines.values());
    for (int i = 0; i < workers.size(); i += 4) {
      cluster.cloud.machines.remove(workers.get(i).host);
      workers.get(i).terminate();
    }
  }

  @ParameterizedTest
  @EnumSource(LoadScenario.class)
  void noClassAndNoTeamIsStarved(LoadScenario scenario) throws MalformedException {
    cluster = new SimCluster(31, Policy.DEFAULT, Size.FLEET);
    for (int i = 0; i < 40; i++) {
      submit(3000 + 2000L * i, i % 3 == 0 ? "serve" : "copy", i % 2 == 0 ? "red" : "blue", 3);
    }
    scenario.schedule.accept(this);
    cluster.clock.runUntil(150_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.minStartedShare(SERVED_WITHIN_MS)).isGreaterThan(MIN_SERVED_SHARE);
    cluster.clock.runUntil(500_000);
    assertThat(cluster.checks.largestStartedLate()).isEmpty();
    assertThat(cluster.checks.minDoneShare()).isGreaterThan(MIN_SERVED_SHARE);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).hasSize(cluster.submittedJobs());
  }
}
