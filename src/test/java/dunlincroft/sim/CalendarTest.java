package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A settlement night with five controllers and faults around its opening and its cut-off. The
 * checks observe task starts on the simulated machines by simulated time, independently of the
 * controllers' clocks.
 */
class CalendarTest {
  /** Simulated time of the opening; the simulation begins at 22:13:20 UTC. */
  private static final long OPENS_MS = 40_000;

  private static final long CUT_OFF_MS = 160_000;

  private static String document(String atCutOff, String cutOff) {
    return """
        zone = "UTC"
        [markets.m]
        days = ["tue"]
        [[windows]]
        name = "night"
        market = "m"
        select = { class = "simple" }
        opens = "22:14"
        cut_off = "%s"
        at_cut_off = "%s"
        """
        .formatted(cutOff, atCutOff);
  }

  /** Fault that is injected shortly before the opening and again before the cut-off. */
  private enum Fault {
    NONE(cluster -> {}),
    OWNER_CRASHES_TWICE(
        cluster -> {
          cluster.crashOwner(30_000);
          cluster.clock.after(1500, () -> cluster.crashOwner(200));
        }),
    ALL_CRASH(cluster -> cluster.crashAll(200)),
    ALL_CRASH_REPEATEDLY(
        cluster -> {
          for (int i = 0; i < 5; i++) {
            cluster.clock.after(700L * i, () -> cluster.crashAll(200));
          }
        }),
    OWNER_PAUSES(cluster -> cluster.pauseOwner(40_000)),
    ALL_PAUSE(cluster -> cluster.pauseAll(8000)),
    OWNER_PARTITIONED_WITH_WORKERS(cluster -> cluster.cutOwnerFromControllers(30_000)),
    STATE_SERVICE_DOWN(cluster -> cluster.state.outage(20_000)),
    STATE_SERVICE_SLOW(cluster -> cluster.slowStateService(30, 20_000)),
    OWNER_PARTITIONED_FROM_WORKERS(cluster -> cluster.cutOwnerFromWorkers(15_000)),
    ZONE_PARTITIONED(cluster -> cluster.cutZone(cluster.zoneWithoutOwner(), 30_000)),
    DUPLICATES_AND_LOST_ANSWERS(
        cluster -> {
          cluster.heartbeatCopyShare = 0.5;
          cluster.cloud.machines.values().stream().limit(8).forEach(w -> w.loseInbound(20_000));
        });

    private final Consumer<SimCluster> injection;

    Fault(Consumer<SimCluster> injection) {
      this.injection = injection;
    }
  }

  private static SimCluster clusterWithCalendar(long seed, String document)
      throws MalformedException {
    return clusterWithCalendar(seed, document, Policy.DEFAULT);
  }

  private static SimCluster clusterWithCalendar(long seed, String document, Policy policy)
      throws MalformedException {
    SimCluster cluster = new SimCluster(seed, policy, Size.FLEET);
    cluster.putDocument("calendar", document);
    cluster.checks.restrictToWindow("simple", OPENS_MS, CUT_OFF_MS);
    Random random = new Random(seed);
    for (int i = 0; i < 40; i++) {
      JobSpec windowJob = InvariantsTest.batchJob("run-n" + i, "blue", 10, 1);
      JobSpec otherJob = InvariantsTest.randomJob(random, i);
      cluster.clock.after(3000 + 2500L * i, () -> cluster.submitAndFollow(windowJob, 0));
      cluster.clock.after(3000 + 2500L * i, () -> cluster.submitAndFollow(otherJob, 0));
    }
    return cluster;
  }

  private static JsonNode phaseOfNight(SimCluster cluster) {
    Map<String, JsonNode> nights = cluster.state.dataUnder("d/nights/");
    return nights.get("night@2023-11-14").path("phase");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void tasksOfAWindowStartOnlyWithinIt(Fault fault) throws MalformedException {
    SimCluster cluster = clusterWithCalendar(41, document("stop", "22:16"));
    cluster.clock.after(OPENS_MS - 1500, () -> fault.injection.accept(cluster));
    cluster.clock.after(CUT_OFF_MS - 8000, () -> fault.injection.accept(cluster));
    // More work than the cluster has capacity for, so that tasks wait at any time.
    JobSpec largeJob = InvariantsTest.batchJob("run-many", "blue", 6000, 1);
    cluster.clock.after(20_000, () -> cluster.submitAndFollow(largeJob, 0));
    cluster.clock.runUntil(OPENS_MS);
    assertThat(cluster.checks.windowClassStarts).as("starts before the opening").isZero();
    cluster.clock.runUntil(CUT_OFF_MS - 10_000);
    assertThat(cluster.checks.windowClassStarts)
        .as("starts while the night is open")
        .isGreaterThan(300);
    cluster.clock.runUntil(CUT_OFF_MS + 60_000);
    assertThat(cluster.checks.running("run-many")).isZero();
    assertThat(phaseOfNight(cluster).asText()).isEqualTo("closed");
    cluster.clock.runUntil(400_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates)
        .as("the jobs submitted in the first minute have completed")
        .containsKeys("run-n0", "run-n3", "run-n6");
    assertThat(cluster.checks.finalStates)
        .as("a job not completed at the cut-off waits for the next night")
        .doesNotContainKey("run-many");
    assertThat(cluster.checks.accepted).contains("run-many");
  }

  /** An open night keeps the version that it opened with; a new version applies to later nights. */
  @Test
  void newVersionDoesNotChangeAnOpenNight() throws MalformedException {
    SimCluster cluster = clusterWithCalendar(42, document("finish", "22:16"));
    cluster.clock.runUntil(OPENS_MS + 20_000);
    assertThat(phaseOfNight(cluster).asText()).isEqualTo("open");
    cluster.putDocument("calendar", document("stop", "22:15"));
    cluster.crashAll(200);
    cluster.clock.runUntil(CUT_OFF_MS - 15_000);
    assertThat(phaseOfNight(cluster).asText()).isEqualTo("open");
    cluster.clock.runUntil(400_000);
    assertThat(phaseOfNight(cluster).asText()).isEqualTo("closed");
    assertThat(cluster.checks.violations).isEmpty();
  }

  /** Without a document no night is recorded and no start is delayed. */
  @Test
  void withoutADocumentNoNightIsRecorded() throws MalformedException {
    SimCluster cluster = new SimCluster(43, Policy.DEFAULT, Size.FLEET);
    cluster.clock.after(
        5000, () -> cluster.submitAndFollow(InvariantsTest.batchJob("run-a", "blue", 20, 1), 0));
    cluster.clock.runUntil(60_000);
    assertThat(cluster.state.dataUnder("d/nights/")).isEmpty();
    assertThat(cluster.checks.finalStates).containsKey("run-a");
  }
}
