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
 * Guards against delayed commands of a leader that crashed or was deposed, which arrive after newer
 * commands of its successor: one test for each pair of commands. A command that a worker rejects by
 * its fence token counts as arrived.
 */
class CommandReorderingTest extends OverlappingFaultsScenario {
  private static final long END_MS = 450_000;

  private static boolean hasOrder(ObjectNode body, String verb) {
    for (JsonNode order : body.path("orders")) {
      if (order.path("verb").asText().equals(verb)) {
        return true;
      }
    }
    return false;
  }

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  /** The owner crashes, or is partitioned from everything but its workers and users from now on. */
  private static String removeOwner(SimCluster cluster, boolean crashes) {
    String oldOwner = cluster.ownerName();
    if (crashes) {
      cluster.crashOwner(25_000);
    } else {
      cluster.cutOwnerFromControllers(25_000);
    }
    return cluster.nodeAddress(cluster.nodeIndex(oldOwner));
  }

  /** Receives the orders of a command that is delayed. */
  private interface OrderHandler {
    void handle(SimWorker worker, JsonNode order);
  }

  /** For a while, delays the owner's commands that contain an order with this verb. */
  private static void delayCommands(
      SimCluster cluster, String verb, long ms, OrderHandler handler) {
    String ownerAddress = cluster.nodeAddress(cluster.nodeIndex(cluster.ownerName()));
    cluster.net.delayedCommands.commands =
        (from, to, body) -> {
          boolean isDelayed = from.equals(ownerAddress) && hasOrder(body, verb);
          if (isDelayed) {
            SimWorker worker = cluster.cloud.machines.get(to);
            body.path("orders").forEach(order -> handler.handle(worker, order));
          }
          return isDelayed;
        };
    cluster.clock.after(ms, () -> cluster.net.delayedCommands.commands = (from, to, body) -> false);
  }

  private static void delayCommands(SimCluster cluster, String verb, long ms) {
    delayCommands(cluster, verb, ms, (worker, order) -> {});
  }

  /** Submits jobs of one task each, from now on. */
  private void submitSingleTaskJobs(SimCluster cluster, int number, long eachMs, double seconds) {
    for (int i = 0; i < number; i++) {
      JobSpec spec = InvariantsTest.batchJob("run-late-" + i, "blue", 1, 1, seconds, 0);
      cluster.clock.after(eachMs * i, () -> cluster.submitAndFollow(spec, 0));
    }
  }

  private static boolean hasVerb(JsonNode order, String verb) {
    return order.path("verb").asText().equals(verb);
  }

  /** Selects the pairs of a late order and an earlier executed one that a test looks for. */
  private interface OrderPairFilter {
    boolean matches(Arrival late, JsonNode order, ExecutedOrder done);
  }

  /**
   * Counts the pairs of a late order and an order that was executed before it on the same machine.
   */
  private static int countLateOrders(
      SimCluster cluster, String lateVerb, String verb, OrderPairFilter pairFilter) {
    int matching = 0;
    for (Arrival late : cluster.net.delayedCommands.arrivals) {
      for (JsonNode order : late.body().path("orders")) {
        for (ExecutedOrder done : cluster.orderLog.executed) {
          boolean isEarlier = done.host().equals(late.to()) && done.executedAt() < late.arrivedAt();
          boolean isSameTask = done.task().equals(order.path("piece").asText());
          if (hasVerb(order, lateVerb) && done.verb().equals(verb) && isEarlier && isSameTask) {
            matching += pairFilter.matches(late, order, done) ? 1 : 0;
          }
        }
      }
    }
    return matching;
  }

  /**
   * Run after cancel: starts are delayed while their machines are cut off, the leader is removed,
   * users are told that the jobs are cancelled, and then the machines execute the starts.
   */
  @ParameterizedTest
  @CsvSource({"1,true,9000", "2,false,6000", "3,true,7000"})
  void startArrivesAfterTheCancellation(long seed, boolean crashes, long byMs)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.net.delayedCommands.fixedDelayMs = byMs;
    Set<String> delayedJobs = new HashSet<>();
    delayCommands(
        cluster,
        "run",
        3000,
        (worker, order) -> {
          cluster.cutWorkerFromControllers(worker, 14_000);
          if (hasVerb(order, "run")) {
            delayedJobs.add(jobOf(order.path("piece").asText()));
          }
        });
    submitSingleTaskJobs(cluster, 40, 50, 30);
    cluster.clock.runUntil(FAULTS_AT_MS + 3000);
    String oldOwner = removeOwner(cluster, crashes);
    delayedJobs.forEach(ref -> cluster.cancel(cluster.specOf(ref)));
    cluster.clock.runUntil(FAULTS_AT_MS + 20_000);
    List<ExecutedOrder> carriedOut =
        cluster.orderLog.executed.stream()
            .filter(done -> done.verb().equals("run") && done.sender().equals(oldOwner))
            .filter(done -> done.direct() && done.executedAt() - done.sentAt() >= byMs)
            .filter(done -> cluster.checks.cancelConfirmedAt.containsKey(jobOf(done.task())))
            .filter(
                done ->
                    cluster.checks.cancelConfirmedAt.get(jobOf(done.task())) < done.executedAt())
            .toList();
    assertThat(carriedOut).as("starts executed after the confirmation").isNotEmpty();
    assertThat(cluster.checks.startsAfterCancellation.inFlight).isPositive();
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }

  /**
   * Run after reap: the attempt was started by an acknowledgement of a report, ended, and was
   * reaped before the delayed direct order arrives.
   */
  @ParameterizedTest
  @CsvSource({"1,true,4000", "2,false,4000", "3,true,11000", "4,false,13000"})
  void startArrivesAfterTheReap(long seed, boolean crashes, long deposedAfter)
      throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.net.delayedCommands.fixedDelayMs = 15_000;
    delayCommands(cluster, "run", 4000);
    submitSingleTaskJobs(cluster, 60, 50, 1);
    cluster.clock.runUntil(FAULTS_AT_MS + deposedAfter);
    removeOwner(cluster, crashes);
    cluster.clock.runUntil(FAULTS_AT_MS + 25_000);
    int lateStarts =
        countLateOrders(
            cluster,
            "run",
            "reap",
            (late, order, done) -> order.path("try").asLong() == done.attempt());
    assertThat(lateStarts).as("starts that arrived after their reap").isGreaterThan(3);
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }

  /** Returns the job restricted to machines of the second zone. */
  private static JobSpec inOneZone(JobSpec spec, String rank) throws MalformedException {
    return JobSpec.parse(spec.toNode().put("hall", "b").put("rank", rank));
  }

  /**
   * Reap after the run of a second attempt on the same machine: there are two machines, and many
   * preemptions.
   */
  @ParameterizedTest
  @CsvSource({"1,true", "2,false", "3,true"})
  void reapArrivesAfterTheSecondAttempt(long seed, boolean crashes) throws MalformedException {
    Size size = new Size(5, 5, 80, 8, 8, 80).withTeamLimits(90, 0);
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, size);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 60_000);
    JobSpec idle = inOneZone(InvariantsTest.batchJob("run-idle", "blue", 15, 2, 60, 1), "idle");
    cluster.clock.after(5000, () -> cluster.submitAndFollow(idle, 0));
    for (int i = 0; i < 12; i++) {
      JobSpec spec =
          inOneZone(InvariantsTest.batchJob("run-urgent-" + i, "red", 1, 4, 1, 0), "urgent");
      cluster.clock.after(FAULTS_AT_MS + 400 * i, () -> cluster.submitAndFollow(spec, 0));
    }
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.net.delayedCommands.fixedDelayMs = 16_000;
    delayCommands(cluster, "reap", 7000);
    cluster.clock.runUntil(FAULTS_AT_MS + 7000);
    removeOwner(cluster, crashes);
    cluster.clock.runUntil(FAULTS_AT_MS + 25_000);
    int lateReaps =
        countLateOrders(
            cluster, "reap", "run", (late, order, done) -> done.sentAt() > late.sentAt());
    assertThat(lateReaps).as("reaps that arrived after the start of a later attempt").isPositive();
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }

  /**
   * A release arrives late: the leader took machines for dead, requested their release and was
   * removed; its successor received reports from them and has started tasks there.
   */
  @ParameterizedTest
  @CsvSource({"1,true", "2,false", "3,true"})
  void releaseArrivesAfterNewStarts(long seed, boolean crashes) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    List<SimWorker> unreachable = InjectedFault.busiestMachines(cluster);
    unreachable.forEach(worker -> cluster.cutWorkerFromControllers(worker, 8500));
    cluster.net.delayedCommands.fixedDelayMs = 15_000;
    cluster.net.delayedCommands.releases = (from, to, body) -> true;
    while (cluster.net.delayedCommands.delayedCount == 0
        && cluster.clock.now() < FAULTS_AT_MS + 9000) {
      cluster.clock.runUntil(cluster.clock.now() + 20);
    }
    assertThat(cluster.net.delayedCommands.delayedCount).isPositive();
    String oldOwner = removeOwner(cluster, crashes);
    long removedAt = cluster.clock.now();
    cluster.clock.after(
        300, () -> cluster.net.delayedCommands.releases = (from, to, body) -> false);
    submitSingleTaskJobs(cluster, 60, 100, 20);
    cluster.clock.runUntil(removedAt + cluster.net.delayedCommands.fixedDelayMs - 100);
    long successorTasks =
        unreachable.stream()
            .filter(
                worker ->
                    !worker.terminated && !cluster.nodeAddress(worker.renewedBy).equals(oldOwner))
            .flatMap(worker -> worker.tasks.values().stream())
            .filter(Task::isActive)
            .count();
    long before = cluster.cloud.tasksLostToRelease;
    cluster.clock.runUntil(removedAt + cluster.net.delayedCommands.fixedDelayMs + 100);
    assertThat(successorTasks).as("tasks of the successor when the release arrived").isPositive();
    assertThat(cluster.cloud.tasksLostToRelease - before).isPositive();
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
  }
}
