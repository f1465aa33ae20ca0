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
 * Services move from one side to the other while controllers and machines fail. The observer stands
 * outside: it knows the record at each moment, and sees what begins on machines.
 */
class MigrationTest {
  private static final long START_MS = 40_000;
  private static final int JOBS = 12;

  /** The old side is zone a, the new one zones b and c. */
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

  /** What fails, ten times, in the middle of the steps. */
  private enum Fault {
    NONE(cluster -> {}),
    HOLDER_ENDS(cluster -> cluster.crashHolder(200)),
    HOLDER_ENDS_FOR_LONG(cluster -> cluster.crashHolder(30_000)),
    ALL_END(cluster -> cluster.crashAll(200)),
    HOLDER_STANDS_STILL(cluster -> cluster.freezeHolder(5000)),
    ALONE_WITH_ITS_WORKERS(cluster -> cluster.cutHolderFromControllers(8000)),
    LINKS_REFUSED(cluster -> cluster.refuseLinks(6000)),
    STATE_SLOW(cluster -> cluster.slowState(30, 5000)),
    STATE_AWAY(cluster -> cluster.state.outage(4000)),
    WORKERS_BEGIN_ANEW(
        cluster -> cluster.cloud.machines.values().stream().limit(5).forEach(w -> w.restart(150))),
    DEAF_AND_COPIES(
        cluster -> {
          cluster.copies = 0.3;
          cluster.cloud.machines.values().stream().skip(3).limit(2).forEach(w -> w.deafen(15_000));
        });

    private final Consumer<SimCluster> act;

    Fault(Consumer<SimCluster> act) {
      this.act = act;
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

  /** Services run, wherever there is room, and a migration begins. */
  private static SimCluster begun(long seed, String whenIll) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.PRESET, Size.FLEET);
    cluster.put("migration", DOCUMENT.formatted(whenIll));
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = service("run-m" + i);
      cluster.clock.after(5000 + 500L * i, () -> cluster.user(spec, 0));
    }
    cluster.clock.runUntil(START_MS);
    assertThat(running(cluster)).isEqualTo(4 * JOBS);
    ask(cluster, MigrationLedger.Ask.START);
    cluster.checks.sides("run-m", (phase, zone) -> allowed(phase, zone.equals("a")));
    return cluster;
  }

  /** Whether a phase lets tasks begin on a side; by the phases of docs/migration.md. */
  private static boolean allowed(String phase, boolean old) {
    return switch (phase) {
      case "old", "back" -> old;
      case "cutover", "settled" -> !old;
      default -> true;
    };
  }

  private static void ask(SimCluster cluster, MigrationLedger.Ask ask) {
    cluster.create(
        MigrationLedger.askKey("core"), Cbor.map().put("ask", ask.name()).put("by", "test"));
  }

  private static String phase(SimCluster cluster) {
    JsonNode record = cluster.state.under("d/migrations/").get("core");
    return record == null ? "none" : record.path("phase").asText();
  }

  private static int running(SimCluster cluster) {
    int n = 0;
    for (int i = 0; i < JOBS; i++) {
      n += cluster.checks.running("run-m" + i);
    }
    return n;
  }

  private static void inZones(SimCluster cluster, boolean old) {
    for (int i = 0; i < JOBS; i++) {
      assertThat(cluster.checks.zones("run-m" + i)).hasSize(4).allMatch(z -> z.equals("a") == old);
    }
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void everyReplicaMovesAndNoneBeginsOnTheWrongSide(Fault fault) throws MalformedException {
    SimCluster cluster = begun(51, "pause");
    for (int i = 0; i < 10; i++) {
      cluster.clock.after(1500 + 9000L * i, () -> fault.act.accept(cluster));
    }
    long until = cluster.clock.now() + 600_000;
    int least = 4 * JOBS;
    while (!phase(cluster).equals("settled") && cluster.clock.now() < until) {
      cluster.clock.runUntil(cluster.clock.now() + 250);
      // So many machines may fail that a phase is ill; its operators let it go on.
      JsonNode record = cluster.state.under("d/migrations/").get("core");
      if (record != null
          && record.path("paused").asBoolean()
          && cluster.state.under("d/migrationasks/").isEmpty()) {
        ask(cluster, MigrationLedger.Ask.RESUME);
      }
      least = fault == Fault.NONE ? Math.min(least, running(cluster)) : least;
    }
    assertThat(phase(cluster)).isEqualTo("settled");
    // One replica of a service at a time, and few of all: at once it would be all of them.
    assertThat(least).isGreaterThanOrEqualTo(4 * JOBS * 3 / 4);
    cluster.copies = 0;
    cluster.clock.runUntil(cluster.clock.now() + 60_000);
    inZones(cluster, false);
    assertThat(cluster.checks.broken).isEmpty();
    Map<String, JsonNode> history = cluster.state.under("d/migrationlog/core/");
    long epoch = cluster.state.under("d/migrations/").get("core").path("epoch").asLong();
    assertThat(history).as("an entry for each step, and none twice").hasSize((int) epoch);
    assertThat(history.get("1").path("from").asText()).isEqualTo("none");
  }

  /** Back to the old side from every step, also while the way there is half done. */
  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"NONE", "HOLDER_ENDS", "ALL_END", "ALONE_WITH_ITS_WORKERS"})
  void fromEveryStepItGoesBack(Fault fault) throws MalformedException {
    for (String step : new String[] {"canary", "both", "cutover"}) {
      SimCluster cluster = begun(52, "pause");
      while (!phase(cluster).equals(step) && cluster.clock.now() < 600_000) {
        cluster.clock.runUntil(cluster.clock.now() + 100);
      }
      assertThat(phase(cluster)).isEqualTo(step);
      cluster.clock.runUntil(cluster.clock.now() + 1300);
      ask(cluster, MigrationLedger.Ask.BACK);
      cluster.clock.after(300, () -> fault.act.accept(cluster));
      cluster.clock.after(5000, () -> fault.act.accept(cluster));
      cluster.clock.runUntil(cluster.clock.now() + 300_000);
      assertThat(phase(cluster)).isEqualTo("old");
      inZones(cluster, true);
      assertThat(cluster.checks.broken).isEmpty();
    }
  }

  /**
   * A new side that cannot be had: nothing moves there for ever, and it is not silently skipped.
   */
  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"NONE", "HOLDER_ENDS"})
  void aSideThatIsIllEndsTheMigration(Fault fault) throws MalformedException {
    SimCluster cluster = new SimCluster(53, Policy.PRESET, Size.FLEET);
    cluster.cloud.refused.addAll(List.of("b", "c"));
    cluster.cloud.machines.values().stream()
        .filter(worker -> !worker.hall.equals("a"))
        .toList()
        .forEach(worker -> worker.sick = true);
    cluster.put("migration", DOCUMENT.formatted("back"));
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = service("run-m" + i);
      cluster.clock.after(5000 + 500L * i, () -> cluster.user(spec, 0));
    }
    cluster.clock.runUntil(START_MS);
    ask(cluster, MigrationLedger.Ask.START);
    cluster.clock.after(9000, () -> fault.act.accept(cluster));
    cluster.clock.runUntil(START_MS + 500_000);
    assertThat(phase(cluster)).isIn("old", "back");
    assertThat(cluster.state.under("d/migrationlog/core/").values())
        .anyMatch(entry -> entry.path("to").asText().equals("back"));
    assertThat(cluster.checks.broken).isEmpty();
  }

  /** Two operators at once: one request at a time, and each step is in the history. */
  @Test
  void pausedItRestsAndResumedItGoesOn() throws MalformedException {
    SimCluster cluster = begun(54, "pause");
    cluster.clock.runUntil(START_MS + 4000);
    ask(cluster, MigrationLedger.Ask.PAUSE);
    cluster.clock.runUntil(START_MS + 60_000);
    assertThat(phase(cluster)).isEqualTo("canary");
    ask(cluster, MigrationLedger.Ask.RESUME);
    cluster.put("migration", DOCUMENT.formatted("back").replace("\"b\", \"c\"", "\"c\""));
    cluster.clock.runUntil(START_MS + 500_000);
    assertThat(phase(cluster)).as("by the document that it began with").isEqualTo("settled");
    inZones(cluster, false);
    assertThat(cluster.checks.broken).isEmpty();
  }
}
