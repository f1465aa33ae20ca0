package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import dunlincroft.sim.SimWorker.Task;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against exceeded team limits during failover. Teams are at their limits as the leader
 * changes, some of their machines are unreachable or hang, and jobs there are cancelled: the quota
 * of a task returns to its team only once the task is known to have ended, and cancelled tasks end
 * in time.
 */
class TeamLimitFailoverTest extends OverlappingFaultsScenario {
  private static final double RED_LIMIT_CPUS = 24;
  private static final double BLUE_LIMIT_CPUS = 40;
  private static final double TASK_CPUS = 2;

  /** Fault of the machines. */
  enum MachineFault {
    CUT_OFF((cluster, worker, ms) -> cluster.cutWorkerFromControllers(worker, ms)),
    HANGS((cluster, worker, ms) -> worker.hang(ms)),
    INBOUND_LOST((cluster, worker, ms) -> worker.loseInbound(ms));

    private interface Injection {
      void apply(SimCluster cluster, SimWorker worker, long ms);
    }

    private final Injection injection;

    MachineFault(Injection injection) {
      this.injection = injection;
    }
  }

  /** A cluster whose teams have more work than their limits allow to run. */
  private SimCluster atLimits(long seed, boolean limitBoth) throws MalformedException {
    SimCluster cluster =
        new SimCluster(
            seed,
            Policy.DEFAULT,
            Size.FLEET.withTeamLimits(RED_LIMIT_CPUS, limitBoth ? BLUE_LIMIT_CPUS : 0));
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 100_000);
    for (int i = 0; i < 28; i++) {
      String team = i % 2 == 0 ? "red" : "blue";
      JobSpec spec =
          InvariantsTest.batchJob(
              "run-" + i, team, 1 + i % 6, TASK_CPUS, i % 3 == 0 ? 75 : 22 + i % 5 * 4, 0);
      jobs.add(spec);
      cluster.clock.after(3000 + 300L * i, () -> cluster.submitAndFollow(spec, 0));
    }
    return cluster;
  }

  private static Stream<Task> runningTasks(Stream<SimWorker> workers) {
    return workers.flatMap(worker -> worker.tasks.values().stream()).filter(Task::isActive);
  }

  private static double usedCpus(SimCluster cluster, String team) {
    return TASK_CPUS
        * runningTasks(cluster.cloud.machines.values().stream())
            .filter(task -> task.spec.team().equals(team))
            .count();
  }

  /** Teams without quota for another task. */
  private static Set<String> teamsAtLimit(SimCluster cluster) {
    Set<String> teamsAtLimit = new TreeSet<>();
    if (usedCpus(cluster, "red") > RED_LIMIT_CPUS - TASK_CPUS) {
      teamsAtLimit.add("red");
    }
    if (usedCpus(cluster, "blue") > BLUE_LIMIT_CPUS - TASK_CPUS) {
      teamsAtLimit.add("blue");
    }
    return teamsAtLimit;
  }

  /** Plays until these teams are at their limits. */
  private static void playUntilAtLimit(SimCluster cluster, Set<String> teams, long from) {
    cluster.clock.runUntil(from);
    while (!teamsAtLimit(cluster).containsAll(teams)) {
      assertThat(cluster.clock.now())
          .as("time until the teams are at their limits")
          .isLessThan(from + 60_000);
      cluster.clock.runUntil(cluster.clock.now() + 100);
    }
  }

  /** The machines with the most running tasks. */
  private static List<SimWorker> withMostTasks(SimCluster cluster, int count) {
    return cluster.cloud.machines.values().stream()
        .sorted(Comparator.comparingLong(worker -> -runningTasks(Stream.of(worker)).count()))
        .limit(count)
        .toList();
  }

  private void cancelDuringFailover(
      SimCluster cluster, Set<String> teams, MachineFault fault, long ms, long cancelAfter) {
    List<SimWorker> machines = withMostTasks(cluster, 3);
    String oldOwner = cluster.ownerName();
    machines.forEach(worker -> fault.injection.apply(cluster, worker, ms));
    cluster.crashOwner(30_000);
    Set<JobSpec> affectedJobs =
        runningTasks(machines.stream()).map(task -> task.spec).collect(Collectors.toSet());
    List<JobSpec> cancelled = new ArrayList<>(affectedJobs);
    cluster.clock.after(cancelAfter, () -> cancelled.forEach(cluster::cancel));
    long samplesWithRemainingTasks = 0;
    long mostRemaining = 0;
    while (cluster.clock.now() < FAULTS_AT_MS + 90_000) {
      cluster.clock.runUntil(cluster.clock.now() + 200);
      long remaining =
          runningTasks(machines.stream().filter(worker -> !worker.terminated))
              .filter(task -> cluster.checks.cancelConfirmedAt.containsKey(task.spec.ref()))
              .count();
      samplesWithRemainingTasks += remaining > 0 && !cluster.ownerName().equals(oldOwner) ? 1 : 0;
      mostRemaining = Math.max(mostRemaining, remaining);
    }
    assertThat(mostRemaining).as("cancelled tasks still running").isGreaterThan(2);
    assertThat(samplesWithRemainingTasks)
        .as("samples with such tasks after the leader change")
        .isGreaterThan(5);
    runAndVerifyBy(cluster, 420_000);
  }

  /** One team is at its limit, and some machines are unreachable. */
  @ParameterizedTest
  @CsvSource({
    "1,CUT_OFF,12000,300",
    "2,INBOUND_LOST,25000,2500",
    "3,INBOUND_LOST,30000,0",
    "4,CUT_OFF,35000,2000"
  })
  void limitHoldsForOneTeam(long seed, MachineFault fault, long ms, long cancelAfter)
      throws MalformedException {
    SimCluster cluster = atLimits(seed, false);
    playUntilAtLimit(cluster, Set.of("red"), 20_000 + 2500 * seed);
    cancelDuringFailover(cluster, Set.of("red"), fault, ms, cancelAfter);
  }

  /** All teams are at their limits, and machines of cancelled jobs are cut off or hang. */
  @ParameterizedTest
  @CsvSource({"1,HANGS,15000,0", "2,CUT_OFF,42000,1500", "3,HANGS,30000,4000", "4,HANGS,43000,800"})
  void limitsHoldForAllTeams(long seed, MachineFault fault, long ms, long cancelAfter)
      throws MalformedException {
    SimCluster cluster = atLimits(seed, true);
    playUntilAtLimit(cluster, Set.of("red", "blue"), 20_000 + 2500 * seed);
    cancelDuringFailover(cluster, Set.of("red", "blue"), fault, ms, cancelAfter);
  }
}
