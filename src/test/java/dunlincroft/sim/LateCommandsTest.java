package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.DelayedCommands.Arrival;
import dunlincroft.sim.OrderLog.ExecutedOrder;
import dunlincroft.sim.SimCluster.Size;
import dunlincroft.sim.SimWorker.Task;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Commands of a leader that has ended or was deposed, held up on their way, arrive after newer ones
 * of its successor: one test for each order of the two. A command that a worker's token refuses by
 * then has arrived all the same.
 */
class LateCommandsTest extends OverlappingFaultsScenario {
  private static final long END_MS = 450_000;

  private static boolean has(ObjectNode body, String verb) {
    for (JsonNode order : body.path("orders")) {
      if (order.path("verb").asText().equals(verb)) {
        return true;
      }
    }
    return false;
  }

  private static String job(String piece) {
    return piece.substring(0, piece.indexOf('/'));
  }

  /** The holder ends, or is alone with its workers and users from now on. */
  private static String depose(SimCluster cluster, boolean ends) {
    String old = cluster.ownerName();
    if (ends) {
      cluster.crashOwner(25_000);
    } else {
      cluster.cutOwnerFromControllers(25_000);
    }
    return cluster.nodeAddress(cluster.nodeIndex(old));
  }

  /** Takes orders of a command that is held up. */
  private interface Orders {
    void at(SimWorker worker, JsonNode order);
  }

  /** Holds up the commands of the holder that have such an order, for so long. */
  private static void holdUp(SimCluster cluster, String verb, long ms, Orders then) {
    String holder = cluster.nodeAddress(cluster.nodeIndex(cluster.ownerName()));
    cluster.net.delayedCommands.commands =
        (from, to, body) -> {
          boolean holds = from.equals(holder) && has(body, verb);
          if (holds) {
            SimWorker worker = cluster.cloud.machines.get(to);
            body.path("orders").forEach(order -> then.at(worker, order));
          }
          return holds;
        };
    cluster.clock.after(ms, () -> cluster.net.delayedCommands.commands = (from, to, body) -> false);
  }

  private static void holdUp(SimCluster cluster, String verb, long ms) {
    holdUp(cluster, verb, ms, (worker, order) -> {});
  }

  /** Jobs of one task each, from now on. */
  private void more(SimCluster cluster, int number, long eachMs, double seconds) {
    for (int i = 0; i < number; i++) {
      JobSpec spec = RulesTest.simple("run-late-" + i, "blue", 1, 1, seconds, 0);
      cluster.clock.after(eachMs * i, () -> cluster.submitAndFollow(spec, 0));
    }
  }

  private static boolean is(JsonNode order, String verb) {
    return order.path("verb").asText().equals(verb);
  }

  /** Whether a late order and one that was carried out before it are those that are meant. */
  private interface Meeting {
    boolean is(Arrival late, JsonNode order, ExecutedOrder done);
  }

  /** Pairs of a late order and one that was carried out before it on its machine. */
  private static int after(SimCluster cluster, String lateVerb, String verb, Meeting meet) {
    int met = 0;
    for (Arrival late : cluster.net.delayedCommands.arrivals) {
      for (JsonNode order : late.body().path("orders")) {
        for (ExecutedOrder done : cluster.orderLog.executed) {
          boolean before = done.host().equals(late.to()) && done.executedAt() < late.arrivedAt();
          boolean same = done.task().equals(order.path("piece").asText());
          if (is(order, lateVerb) && done.verb().equals(verb) && before && same) {
            met += meet.is(late, order, done) ? 1 : 0;
          }
        }
      }
    }
    return met;
  }

  /**
   * Run after cancel: starts are held up as their machines are cut off, the leader goes, users are
   * told that the jobs are cancelled, and then the machines carry the starts out.
   */
  @ParameterizedTest
  @CsvSource({"1,true,9000", "2,false,6000", "3,true,7000"})
  void aStartArrivesAfterTheCancellation(long seed, boolean ends, long byMs)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.net.delayedCommands.fixedDelayMs = byMs;
    Set<String> held = new HashSet<>();
    holdUp(
        cluster,
        "run",
        3000,
        (worker, order) -> {
          cluster.cutWorkerFromControllers(worker, 14_000);
          if (is(order, "run")) {
            held.add(job(order.path("piece").asText()));
          }
        });
    more(cluster, 40, 50, 30);
    cluster.clock.runUntil(FAULTS_AT_MS + 3000);
    String old = depose(cluster, ends);
    held.forEach(ref -> cluster.cancel(cluster.specOf(ref)));
    cluster.clock.runUntil(FAULTS_AT_MS + 20_000);
    List<ExecutedOrder> carriedOut =
        cluster.orderLog.executed.stream()
            .filter(done -> done.verb().equals("run") && done.sender().equals(old))
            .filter(done -> done.direct() && done.executedAt() - done.sentAt() >= byMs)
            .filter(done -> cluster.checks.cancelConfirmedAt.containsKey(job(done.task())))
            .filter(
                done -> cluster.checks.cancelConfirmedAt.get(job(done.task())) < done.executedAt())
            .toList();
    assertThat(carriedOut).as("starts carried out after the user was told").isNotEmpty();
    assertThat(cluster.checks.startsAfterCancellation.inFlight).isPositive();
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }

  /**
   * Run after reap: the try was started by an answer to a report, ended and was reaped before the
   * direct order, which was held up, is there.
   */
  @ParameterizedTest
  @CsvSource({"1,true,4000", "2,false,4000", "3,true,11000", "4,false,13000"})
  void aStartArrivesAfterTheReap(long seed, boolean ends, long deposedAfter)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.net.delayedCommands.fixedDelayMs = 15_000;
    holdUp(cluster, "run", 4000);
    more(cluster, 60, 50, 1);
    cluster.clock.runUntil(FAULTS_AT_MS + deposedAfter);
    depose(cluster, ends);
    cluster.clock.runUntil(FAULTS_AT_MS + 25_000);
    int met =
        after(
            cluster,
            "run",
            "reap",
            (late, order, done) -> order.path("try").asLong() == done.attempt());
    assertThat(met).as("starts that arrived after their reap").isGreaterThan(3);
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }

  /** A job that only machines of the second zone may run. */
  private static JobSpec inOneZone(JobSpec spec, String rank) throws MalformedException {
    return JobSpec.parse(spec.toNode().put("hall", "b").put("rank", rank));
  }

  /** Reap after a second try's run, on one machine: two machines, and many stops for others. */
  @ParameterizedTest
  @CsvSource({"1,true", "2,false", "3,true"})
  void aReapArrivesAfterTheSecondTry(long seed, boolean ends) throws MalformedException {
    Size size = new Size(5, 5, 80, 8, 8, 80).withTeamLimits(90, 0);
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, size);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 60_000);
    JobSpec idle = inOneZone(RulesTest.simple("run-idle", "blue", 15, 2, 60, 1), "idle");
    cluster.clock.after(5000, () -> cluster.submitAndFollow(idle, 0));
    for (int i = 0; i < 12; i++) {
      JobSpec spec = inOneZone(RulesTest.simple("run-urgent-" + i, "red", 1, 4, 1, 0), "urgent");
      cluster.clock.after(FAULTS_AT_MS + 400 * i, () -> cluster.submitAndFollow(spec, 0));
    }
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.net.delayedCommands.fixedDelayMs = 16_000;
    holdUp(cluster, "reap", 7000);
    cluster.clock.runUntil(FAULTS_AT_MS + 7000);
    depose(cluster, ends);
    cluster.clock.runUntil(FAULTS_AT_MS + 25_000);
    int met = after(cluster, "reap", "run", (late, order, done) -> done.sentAt() > late.sentAt());
    assertThat(met).as("reaps that arrived after a later try's start").isPositive();
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }

  /**
   * A release arrives late: the leader took machines for dead, asked for their release and ended;
   * its successor heard them and has begun tasks there.
   */
  @ParameterizedTest
  @CsvSource({"1,true", "2,false", "3,true"})
  void aReleaseArrivesAfterNewStarts(long seed, boolean ends) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    List<SimWorker> out = InjectedFault.busiestMachines(cluster);
    out.forEach(worker -> cluster.cutWorkerFromControllers(worker, 8500));
    cluster.net.delayedCommands.fixedDelayMs = 15_000;
    cluster.net.delayedCommands.releases = (from, to, body) -> true;
    while (cluster.net.delayedCommands.delayedCount == 0
        && cluster.clock.now() < FAULTS_AT_MS + 9000) {
      cluster.clock.runUntil(cluster.clock.now() + 20);
    }
    assertThat(cluster.net.delayedCommands.delayedCount).isPositive();
    String old = depose(cluster, ends);
    long at = cluster.clock.now();
    cluster.clock.after(
        300, () -> cluster.net.delayedCommands.releases = (from, to, body) -> false);
    more(cluster, 60, 100, 20);
    cluster.clock.runUntil(at + cluster.net.delayedCommands.fixedDelayMs - 100);
    long there =
        out.stream()
            .filter(
                worker -> !worker.terminated && !cluster.nodeAddress(worker.renewedBy).equals(old))
            .flatMap(worker -> worker.tasks.values().stream())
            .filter(Task::isActive)
            .count();
    long before = cluster.cloud.tasksLostToRelease;
    cluster.clock.runUntil(at + cluster.net.delayedCommands.fixedDelayMs + 100);
    assertThat(there).as("tasks of the successor's as the release came").isPositive();
    assertThat(cluster.cloud.tasksLostToRelease - before).isPositive();
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }
}
