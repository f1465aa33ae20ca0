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
 * What the operators' own days hold: restarts within a fraction of a second beside a load that
 * tries to starve a class or a team. Less than half of any of them served is a failed day.
 */
class OwnDaysTest {
  private static final long SERVED_WITHIN_MS = 60_000;
  private static final double LEAST_SERVED = 0.5;
  private static final long AT_ONCE_MS = 200;

  /** A day's load beyond the usual one, and what fails on it. */
  private enum Day {
    BURST_OF_EVERY_OTHER_CLASS(
        day -> {
          for (int i = 0; i < 100; i++) {
            day.submit(30_000 + 100L * i, "copy", "blue", 30);
            day.submit(30_000 + 100L * i, "serve", "blue", 3);
          }
        }),
    A_TEAM_AT_TEN_TIMES_ITS_RATE(
        day -> {
          for (int i = 0; i < 400; i++) {
            day.submit(20_000 + 150L * i, "copy", "blue", 4);
          }
        }),
    ONE_HUGE_ARRAY_BESIDE_SMALL_JOBS(
        day -> {
          day.submit(20_000, "huge", "blue", 4000);
          for (int i = 0; i < 100; i++) {
            day.submit(25_000 + 300L * i, "small", "blue", 1);
          }
        }),
    ONE_ZONE_OF_THE_ONLY_TYPE(
        day -> {
          day.cluster.cloud.zonesWithoutCapacity.addAll(List.of("a", "c"));
          for (int i = 0; i < 60; i++) {
            day.submit(30_000 + 200L * i, "copy", "blue", 8);
          }
        }),
    ALL_END_AT_THE_HEIGHT_OF_A_BURST(
        day -> {
          for (int i = 0; i < 150; i++) {
            day.submit(30_000 + 60L * i, "copy", "blue", 8);
          }
          day.cluster.clock.after(34_000, () -> day.cluster.crashAll(AT_ONCE_MS));
          day.cluster.clock.after(35_500, () -> day.cluster.crashAll(AT_ONCE_MS));
        }),
    STATE_SERVICE_AWAY_IN_A_BURST(
        day -> {
          for (int i = 0; i < 150; i++) {
            day.submit(30_000 + 60L * i, "copy", "blue", 8);
          }
          day.cluster.clock.after(33_000, () -> day.cluster.state.outage(15_000));
          day.cluster.clock.after(36_000, () -> day.cluster.crashAll(AT_ONCE_MS));
        }),
    A_LARGE_ARRAY_AMONG_SMALL_ONES(
        day -> {
          day.flood("small", 4);
          day.submit(25_000, "small", "blue", 700);
        }),
    A_LARGE_SERVICE_BESIDE_SINGLE_ONES(
        day -> {
          for (int i = 0; i < 150; i++) {
            day.submit(20_000 + 400L * i, "serve", "blue", 1);
          }
          day.submit(40_000, "serve", "blue", 12);
          day.flood("copy", 3);
        }),
    A_JOB_AS_LARGE_AS_ITS_TEAMS_LIMIT(
        day -> {
          for (int i = 0; i < 120; i++) {
            day.submit(20_000 + 500L * i, "copy", "red", 3);
          }
          day.submit(40_000, "copy", "red", 40);
          day.flood("copy", 3);
        }),
    A_JOB_AS_LARGE_AS_A_ZONE(
        day -> {
          day.flood("small", 4);
          day.samePlace = true;
          day.submit(30_000, "zonal", "blue", 320);
          day.samePlace = false;
        }),
    MACHINES_DIE_IN_A_BURST(
        day -> {
          for (int i = 0; i < 100; i++) {
            day.submit(30_000 + 60L * i, "copy", "blue", 8);
          }
          day.cluster.clock.after(40_000, day::killAQuarter);
          day.cluster.clock.after(41_000, () -> day.cluster.crashOwner(AT_ONCE_MS));
        });

    private final Consumer<OwnDaysTest> plan;

    Day(Consumer<OwnDaysTest> plan) {
      this.plan = plan;
    }
  }

  /** More than there is room for, for two minutes, and always small. */
  private void flood(String jobclass, int pieces) {
    for (int i = 0; i < 400; i++) {
      submit(15_000 + 300L * i, jobclass, "blue", pieces);
    }
  }

  private boolean samePlace;
  private SimCluster cluster;
  private int number;

  private void submit(long atMs, String jobclass, String team, int pieces) {
    boolean daemon = jobclass.equals("serve");
    JobSpec spec;
    try {
      spec =
          JobSpec.parse(
              Cbor.map()
                  .put("ref", "run-" + number++)
                  .put("jobclass", jobclass)
                  .put("owner", team)
                  .put("shape", daemon ? "daemon" : "batch")
                  .put("rank", daemon ? "prod" : number % 2 == 0 ? "normal" : "idle")
                  .put("pieces", pieces)
                  .put("cpus", 1.0)
                  .put("gpus", 0)
                  .put("ramGb", 0.5)
                  .put("bundle", "img-" + number % 5)
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

  private void killAQuarter() {
    List<SimWorker> workers = List.copyOf(cluster.cloud.machines.values());
    for (int i = 0; i < workers.size(); i += 4) {
      cluster.cloud.machines.remove(workers.get(i).host);
      workers.get(i).terminate();
    }
  }

  @ParameterizedTest
  @EnumSource(Day.class)
  void noClassAndNoTeamIsStarved(Day day) throws MalformedException {
    cluster = new SimCluster(31, Policy.DEFAULT, Size.FLEET);
    for (int i = 0; i < 40; i++) {
      submit(3000 + 2000L * i, i % 3 == 0 ? "serve" : "copy", i % 2 == 0 ? "red" : "blue", 3);
    }
    day.plan.accept(this);
    cluster.clock.runUntil(150_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.minStartedShare(SERVED_WITHIN_MS)).isGreaterThan(LEAST_SERVED);
    cluster.clock.runUntil(500_000);
    assertThat(cluster.checks.largestStartedLate()).isEmpty();
    assertThat(cluster.checks.minDoneShare()).isGreaterThan(LEAST_SERVED);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).hasSize(cluster.submittedJobs());
  }
}
