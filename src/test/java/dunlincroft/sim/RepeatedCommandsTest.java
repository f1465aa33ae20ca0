package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.RepeatedMessages.ExecutedCommand;
import dunlincroft.sim.RepeatedMessages.Kind;
import dunlincroft.sim.SimCluster.Size;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a start that is carried out a second time: a late copy of an answered command
 * reaches the machine after the attempt has ended, while its task runs elsewhere, is done, was
 * cancelled, or its team's quota has been given to others.
 */
class RepeatedCommandsTest {
  private static final int JOBS = 160;
  private static final int LONG_JOBS = 40;
  private static final long FIRST_SUBMIT_MS = 15_000;
  private static final long FAULTS_END_MS = 100_000;
  private static final int RESTART_MS = 300;
  private static final int SICK_MACHINES = 2;
  private static final int SICK_FOR_MS = 6000;

  /** What had become of the tasks of copied starts when the copies arrived. */
  private int done;

  private int cancelled;
  private int moved;

  private static SimCluster clusterAtItsLimit(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(180_000);
    Random random = new Random(seed);
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = InvariantsTest.batchJob("run-" + i, "red", 2, 4, 4, 0);
      long cancelMs = i % 2 == 0 ? 1000 + random.nextInt(30_000) : 0;
      cluster.clock.after(
          FIRST_SUBMIT_MS + 400L * i, () -> cluster.submitAndFollow(spec, cancelMs));
    }
    return cluster;
  }

  private static SimCluster clusterWithLongJobs(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(FAULTS_END_MS);
    for (int i = 0; i < LONG_JOBS; i++) {
      JobSpec spec = InvariantsTest.batchJob("run-" + i, "blue", 3, 2, 40, 0);
      cluster.clock.after(10_000 + 500L * i, () -> cluster.submitAndFollow(spec, 0));
    }
    return cluster;
  }

  /** Every few seconds the owner is away for a fraction of a second. */
  private static void restartOwner(SimCluster cluster) {
    for (long at = 20_000; at < FAULTS_END_MS; at += 10_000) {
      cluster.clock.after(at, () -> cluster.crashOwner(RESTART_MS));
    }
  }

  /** The machines with tasks fail all that begin to run there, for a while. */
  private static void makeMachinesSick(SimCluster cluster) {
    List<SimWorker> sick = InjectedFault.busiestMachines(cluster).subList(0, SICK_MACHINES);
    sick.forEach(worker -> worker.faulty = true);
    cluster.clock.after(SICK_FOR_MS, () -> sick.forEach(worker -> worker.faulty = false));
  }

  private void countCopiedStarts(SimCluster cluster, String host, JsonNode command) {
    for (JsonNode order : command.path("orders")) {
      if (order.path("verb").asText().equals("run")) {
        String task = order.path("piece").asText();
        String job = task.substring(0, task.indexOf('/'));
        done += cluster.checks.completedTasks.getOrDefault(job, Set.of()).contains(task) ? 1 : 0;
        cancelled += cluster.checks.cancelConfirmedAt.containsKey(job) ? 1 : 0;
        moved += cluster.checks.runsElsewhere(task, host) ? 1 : 0;
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1,16000,false",
    "2,16000,false",
    "3,16000,false",
    "4,16000,true",
    "5,16000,true",
    "6,60000,false",
    "7,60000,true",
    "8,60000,true"
  })
  void endedAttemptIsNotStartedAgain(long seed, int maxDelayMs, boolean restarts)
      throws MalformedException {
    SimCluster cluster = clusterAtItsLimit(seed);
    RepeatedMessages copies = cluster.net.repeatedMessages;
    copies.onCommandCopy = (host, command) -> countCopiedStarts(cluster, host, command);
    if (restarts) {
      restartOwner(cluster);
    }
    cluster.clock.runUntil(FIRST_SUBMIT_MS);
    cluster.repeatMessages(
        EnumSet.of(Kind.COMMAND), 0.3, maxDelayMs, FAULTS_END_MS - FIRST_SUBMIT_MS);
    cluster.clock.runUntil(500_000);
    assertThat(copies.delivered(Kind.COMMAND)).isGreaterThan(25);
    assertThat(done).as("copied starts of tasks that were done").isPositive();
    assertThat(cancelled).as("copied starts of jobs that were cancelled").isPositive();
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.orderLog.rerunAfterReap).as("attempts that ran again").isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(JOBS);
  }

  /** As in the incident: tasks fail on a machine and run elsewhere when the copies come. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void taskThatMovedRunsOnOneMachine(long seed) throws MalformedException {
    SimCluster cluster = clusterWithLongJobs(seed);
    RepeatedMessages copies = cluster.net.repeatedMessages;
    copies.onCommandCopy = (host, command) -> countCopiedStarts(cluster, host, command);
    cluster.clock.runUntil(FIRST_SUBMIT_MS);
    makeMachinesSick(cluster);
    cluster.repeatMessages(EnumSet.of(Kind.COMMAND), 1, 16_000, 30_000);
    cluster.clock.runUntil(500_000);
    assertThat(moved).as("copied starts of tasks that ran elsewhere").isPositive();
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.orderLog.rerunAfterReap).as("attempts that ran again").isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(LONG_JOBS);
  }

  /**
   * Workers restart under their names and have forgotten the fence that they had seen; the copies
   * reach the new process.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void restartedWorkerStartsNothingThatEndedBefore(long seed) throws MalformedException {
    SimCluster cluster = clusterAtItsLimit(seed);
    int[] reachedNewProcess = new int[1];
    cluster.net.repeatedMessages.onCommandCopy =
        (host, command) -> {
          SimWorker worker = cluster.cloud.machines.get(host);
          reachedNewProcess[0] += worker != null && worker.fenceToken() == 0 ? 1 : 0;
        };
    for (long at = 20_000; at < FAULTS_END_MS; at += 7000) {
      cluster.clock.after(
          at,
          () ->
              InjectedFault.busiestMachines(cluster).forEach(worker -> worker.restart(RESTART_MS)));
    }
    cluster.clock.runUntil(FIRST_SUBMIT_MS);
    cluster.repeatMessages(EnumSet.of(Kind.COMMAND), 1, 16_000, FAULTS_END_MS - FIRST_SUBMIT_MS);
    cluster.clock.runUntil(500_000);
    assertThat(reachedNewProcess[0]).as("copies that reached a new process").isPositive();
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(JOBS);
  }

  /** Whether a command starts an attempt that the worker discarded and whose task has moved. */
  private static boolean hasStartOfMovedTask(
      SimCluster cluster, SimWorker worker, ExecutedCommand command) {
    for (JsonNode order : command.body().path("orders")) {
      String task = order.path("piece").asText();
      if (order.path("verb").asText().equals("run")
          && !worker.holds(task, order.path("try").asLong())
          && cluster.checks.runsElsewhere(task, worker.host)) {
        return true;
      }
    }
    return false;
  }

  /** Restarts the machines whose failed tasks have moved, and repeats the starts of these tasks. */
  private static void restartAndRepeat(SimCluster cluster) {
    RepeatedMessages copies = cluster.net.repeatedMessages;
    for (ExecutedCommand command : List.copyOf(copies.executedCommands)) {
      SimWorker worker = cluster.cloud.machines.get(command.call().address());
      if (worker != null && worker.isAvailable() && hasStartOfMovedTask(cluster, worker, command)) {
        copies.executedCommands.remove(command);
        worker.restart(RESTART_MS);
        cluster.clock.after(RESTART_MS + 20, () -> copies.repeatNow(command));
      }
    }
  }

  /** Machines on which tasks failed restart while the tasks run elsewhere; then the copies come. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void restartedWorkerDoesNotStartTasksThatMoved(long seed) throws MalformedException {
    SimCluster cluster = clusterWithLongJobs(seed);
    RepeatedMessages copies = cluster.net.repeatedMessages;
    copies.keepCommands();
    cluster.clock.runUntil(FIRST_SUBMIT_MS);
    makeMachinesSick(cluster);
    for (long at = FIRST_SUBMIT_MS; at < FIRST_SUBMIT_MS + 30_000; at += 500) {
      cluster.clock.runUntil(at);
      restartAndRepeat(cluster);
    }
    cluster.clock.runUntil(500_000);
    assertThat(copies.acceptedCommands).as("copies accepted by new processes").isPositive();
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.orderLog.rerunAfterReap).as("attempts that ran again").isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(LONG_JOBS);
  }
}
