package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.migration.MigrationLedger;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Migration of services to other zones while controllers and machines fail. The checks compare each
 * task start on the simulated machines with the phase recorded at that moment.
 */
class MigrationTest {
  private static final long START_MS = 40_000;
  private static final int JOBS = 12;

  /** The old side is zone a, the new side zones b and c. */
  private static final String DOCUMENT =
      """
      [[workloads]]
      name = "core"
      select = { class = "serve", prefix = "run-m" }
      old = { zones = ["a"] }
      new = { zones = ["b", "c"] }
      canary = 0.25
      share = 0.5
      soak_s = 20.0
      when_ill = "%s"
      """;

  /** Fault that is injected repeatedly during the migration. */
  private enum Fault {
    NONE(cluster -> {}),
    OWNER_CRASHES(cluster -> cluster.crashOwner(200)),
    OWNER_DOWN_LONG(cluster -> cluster.crashOwner(30_000)),
    ALL_CRASH(cluster -> cluster.crashAll(200)),
    OWNER_PAUSES(cluster -> cluster.pauseOwner(5000)),
    OWNER_PARTITIONED_WITH_WORKERS(cluster -> cluster.cutOwnerFromControllers(8000)),
    LINKS_REFUSED(cluster -> cluster.refusePeerConnections(6000)),
    STATE_SERVICE_SLOW(cluster -> cluster.slowStateService(30, 5000)),
    STATE_SERVICE_DOWN(cluster -> cluster.state.outage(4000)),
    WORKERS_RESTART(
        cluster -> cluster.cloud.machines.values().stream().limit(5).forEach(w -> w.restart(150))),
    LOST_ANSWERS_AND_DUPLICATES(
        cluster -> {
          cluster.heartbeatCopyShare = 0.3;
          cluster.cloud.machines.values().stream()
              .skip(3)
              .limit(2)
              .forEach(w -> w.loseInbound(15_000));
        });

    private final Consumer<SimCluster> injection;

    Fault(Consumer<SimCluster> injection) {
      this.injection = injection;
    }
  }

  private static JobSpec service(String ref) {
    try {
      return JobSpec.parse(
          Cbor.map()
              .put("ref", ref)
              .put("jobclass", "serve")
              .put("owner", "blue")
              .put("shape", "daemon")
              .put("rank", "prod")
              .put("pieces", 4)
              .put("cpus", 1.0)
              .put("gpus", 0)
              .put("ramGb", 1.5)
              .put("bundle", "img-" + ref.length())
              .put("imageGb", 1.0)
              .put("samePlace", false)
              .put("spread", false)
              .put("lendable", false)
              .put("expectS", 0.0)
              .put("snapshotS", 0.0)
              .put("flushS", 0.0));
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts services in any zone and then a migration. */
  private static SimCluster startMigration(long seed, String whenIll) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.putDocument("migration", DOCUMENT.formatted(whenIll));
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = service("run-m" + i);
      cluster.clock.after(5000 + 500L * i, () -> cluster.submitAndFollow(spec, 0));
    }
    cluster.clock.runUntil(START_MS);
    assertThat(runningReplicas(cluster)).isEqualTo(4 * JOBS);
    request(cluster, MigrationLedger.Request.START);
    cluster.checks.restrictToZones(
        "run-m", (phase, zone) -> isStartAllowed(phase, zone.equals("a")));
    return cluster;
  }

  /** Whether a phase allows task starts on a side; by the phases of docs/migration.md. */
  private static boolean isStartAllowed(String phase, boolean onOldSide) {
    return switch (phase) {
      case "old", "back" -> onOldSide;
      case "cutover", "settled" -> !onOldSide;
      default -> true;
    };
  }

  private static void request(SimCluster cluster, MigrationLedger.Request request) {
    cluster.createRecord(
        MigrationLedger.requestKey("core"),
        Cbor.map().put("ask", request.name()).put("by", "test"));
  }

  private static String phase(SimCluster cluster) {
    JsonNode record = cluster.state.dataUnder("d/migrations/").get("core");
    return record == null ? "none" : record.path("phase").asText();
  }

  private static int runningReplicas(SimCluster cluster) {
    int count = 0;
    for (int i = 0; i < JOBS; i++) {
      count += cluster.checks.running("run-m" + i);
    }
    return count;
  }

  private static void assertReplicasOnSide(SimCluster cluster, boolean onOldSide) {
    for (int i = 0; i < JOBS; i++) {
      assertThat(cluster.checks.zones("run-m" + i))
          .hasSize(4)
          .allMatch(z -> z.equals("a") == onOldSide);
    }
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void allReplicasMoveAndNoneStartsOnTheWrongSide(Fault fault) throws MalformedException {
    SimCluster cluster = startMigration(51, "pause");
    for (int i = 0; i < 10; i++) {
      cluster.clock.after(1500 + 9000L * i, () -> fault.injection.accept(cluster));
    }
    long until = cluster.clock.now() + 600_000;
    int fewestRunning = 4 * JOBS;
    while (!phase(cluster).equals("settled") && cluster.clock.now() < until) {
      cluster.clock.runUntil(cluster.clock.now() + 250);
      // A fault may last so long that the migration is paused; an operator then resumes it.
      JsonNode record = cluster.state.dataUnder("d/migrations/").get("core");
      if (record != null
          && record.path("paused").asBoolean()
          && cluster.state.dataUnder("d/migrationasks/").isEmpty()) {
        request(cluster, MigrationLedger.Request.RESUME);
      }
      fewestRunning =
          fault == Fault.NONE ? Math.min(fewestRunning, runningReplicas(cluster)) : fewestRunning;
    }
    assertThat(phase(cluster)).isEqualTo("settled");
    // Without faults few replicas move at a time: at least three quarters keep running.
    assertThat(fewestRunning).isGreaterThanOrEqualTo(4 * JOBS * 3 / 4);
    cluster.heartbeatCopyShare = 0;
    cluster.clock.runUntil(cluster.clock.now() + 60_000);
    assertReplicasOnSide(cluster, false);
    assertThat(cluster.checks.violations).isEmpty();
    Map<String, JsonNode> history = cluster.state.dataUnder("d/migrationlog/core/");
    long epoch = cluster.state.dataUnder("d/migrations/").get("core").path("epoch").asLong();
    assertThat(history).as("exactly one history entry for each step").hasSize((int) epoch);
    assertThat(history.get("1").path("from").asText()).isEqualTo("none");
  }

  /** Rollback from every step, also while replicas are still moving. */
  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"NONE", "OWNER_CRASHES", "ALL_CRASH", "OWNER_PARTITIONED_WITH_WORKERS"})
  void rollsBackFromEveryStep(Fault fault) throws MalformedException {
    for (String step : new String[] {"canary", "both", "cutover"}) {
      SimCluster cluster = startMigration(52, "pause");
      while (!phase(cluster).equals(step) && cluster.clock.now() < 600_000) {
        cluster.clock.runUntil(cluster.clock.now() + 100);
      }
      assertThat(phase(cluster)).isEqualTo(step);
      cluster.clock.runUntil(cluster.clock.now() + 1300);
      request(cluster, MigrationLedger.Request.BACK);
      cluster.clock.after(300, () -> fault.injection.accept(cluster));
      cluster.clock.after(5000, () -> fault.injection.accept(cluster));
      cluster.clock.runUntil(cluster.clock.now() + 300_000);
      assertThat(phase(cluster)).isEqualTo("old");
      assertReplicasOnSide(cluster, true);
      assertThat(cluster.checks.violations).isEmpty();
    }
  }

  /**
   * No machine of the new side is available: the migration is rolled back after four soak times,
   * and the rollback is recorded in the history.
   */
  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"NONE", "OWNER_CRASHES"})
  void unavailableNewSideCausesRollback(Fault fault) throws MalformedException {
    SimCluster cluster = new SimCluster(53, Policy.DEFAULT, Size.FLEET);
    cluster.cloud.zonesWithoutCapacity.addAll(List.of("b", "c"));
    cluster.cloud.machines.values().stream()
        .filter(worker -> !worker.zone.equals("a"))
        .toList()
        .forEach(worker -> worker.faulty = true);
    cluster.putDocument("migration", DOCUMENT.formatted("back"));
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = service("run-m" + i);
      cluster.clock.after(5000 + 500L * i, () -> cluster.submitAndFollow(spec, 0));
    }
    cluster.clock.runUntil(START_MS);
    request(cluster, MigrationLedger.Request.START);
    cluster.clock.after(9000, () -> fault.injection.accept(cluster));
    cluster.clock.runUntil(START_MS + 500_000);
    assertThat(phase(cluster)).isIn("old", "back");
    assertThat(cluster.state.dataUnder("d/migrationlog/core/").values())
        .anyMatch(entry -> entry.path("to").asText().equals("back"));
    assertThat(cluster.checks.violations).isEmpty();
  }

  /**
   * A paused migration stays in its phase; resumed, it completes with the definition that it
   * started with, although the document has changed.
   */
  @Test
  void pauseStopsStepsAndResumeContinuesThem() throws MalformedException {
    SimCluster cluster = startMigration(54, "pause");
    cluster.clock.runUntil(START_MS + 4000);
    request(cluster, MigrationLedger.Request.PAUSE);
    cluster.clock.runUntil(START_MS + 60_000);
    assertThat(phase(cluster)).isEqualTo("canary");
    request(cluster, MigrationLedger.Request.RESUME);
    cluster.putDocument("migration", DOCUMENT.formatted("back").replace("\"b\", \"c\"", "\"c\""));
    cluster.clock.runUntil(START_MS + 500_000);
    assertThat(phase(cluster)).as("with the definition at the start").isEqualTo("settled");
    assertReplicasOnSide(cluster, false);
    assertThat(cluster.checks.violations).isEmpty();
  }
}
