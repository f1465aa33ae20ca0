package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failure detection of workers and controllers: workers that do not receive acknowledgements,
 * delayed copies of reports, workers that restart under the same host name, and an owner that is
 * partitioned from everything but its workers.
 */
class FailureDetectionTest {
  private static final long FAULT_AT_MS = 30_000;

  /**
   * Plays to the end: no rule is broken, every job ends, and no block lists a machine that is gone.
   */
  static void assertRecovered(SimCluster cluster) {
    cluster.clock.runUntil(600_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(cluster.submittedJobs());
    Set<String> unknownHosts = new HashSet<>();
    cluster
        .state
        .dataUnder("d/blocks/")
        .values()
        .forEach(block -> block.path("hosts").fieldNames().forEachRemaining(unknownHosts::add));
    unknownHosts.removeAll(cluster.cloud.machines.keySet());
    assertThat(unknownHosts).as("machines in blocks that the cloud does not have").isEmpty();
  }

  static SimCluster busy(long seed, Size size) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, size);
    cluster.checks.setFaultsEnd(FAULT_AT_MS + 80_000);
    Random random = new Random(seed);
    for (int i = 0; i < 80; i++) {
      JobSpec spec = InvariantsTest.randomJob(random, i);
      long cancelAfter = spec.isService() ? 200_000 : 0;
      cluster.clock.after(5000 + 200L * i, () -> cluster.submitAndFollow(spec, cancelAfter));
    }
    cluster.clock.runUntil(FAULT_AT_MS);
    return cluster;
  }

  /**
   * Services with a replica on one of these machines that currently have all their replicas
   * running.
   */
  static Set<String> fullyRunningServices(SimCluster cluster, List<SimWorker> workers) {
    Set<String> refs = new HashSet<>();
    workers.forEach(worker -> refs.addAll(services(worker)));
    refs.removeIf(ref -> cluster.checks.running(ref) < cluster.specOf(ref).taskCount());
    return refs;
  }

  private static Set<String> services(SimWorker worker) {
    Set<String> refs = new HashSet<>();
    for (SimWorker.Task task : worker.tasks.values()) {
      if (task.isActive() && task.spec.isService()) {
        refs.add(task.spec.ref());
      }
    }
    return refs;
  }

  static List<SimWorker> withMostServices(SimCluster cluster, int number) {
    return cluster.cloud.machines.values().stream()
        .sorted(Comparator.comparingInt(worker -> -services(worker).size()))
        .limit(number)
        .toList();
  }

  /**
   * The five machines with the most services keep reporting but receive no acknowledgements. Their
   * services must run elsewhere soon after the third unanswered report. With few controllers, each
   * report may reach the owner, which makes the machine look healthy, or go to the same other
   * controller every time, which makes the owner look unavailable. Replacement machines must be
   * rented in zones that the replicas may use: renting only by total number once left some replicas
   * without capacity in the remaining zones.
   */
  @ParameterizedTest
  @CsvSource({
    "21,5,0,2",
    "21,3,0,2",
    "21,3,1,4",
    "21,3,2,4",
    "2,3,1,4",
    "4,3,2,4",
    "22,3,1,4",
    "22,3,2,4"
  })
  void servicesRestartElsewhereWhenAcknowledgementsAreLost(
      long seed, int controllers, int crashedControllers, double reportS)
      throws MalformedException {
    Size size = new Size(controllers, 60, 80, 8, 8, 80, reportS);
    SimCluster cluster = busy(seed, size);
    int ownerNode = cluster.nodeIndex(cluster.ownerName());
    for (int node = 0, remaining = crashedControllers; node < controllers; node++) {
      if (node != ownerNode && remaining-- > 0) {
        cluster.crash(node, 90_000);
      }
    }
    cluster.clock.runUntil(FAULT_AT_MS + 3000);
    List<SimWorker> unacknowledged = withMostServices(cluster, 5);
    Set<String> affected = fullyRunningServices(cluster, unacknowledged);
    // The other team is at its limit: its lost replicas wait for its own work to end.
    affected.removeIf(ref -> !cluster.specOf(ref).team().equals("blue"));
    unacknowledged.forEach(worker -> worker.loseInbound(120_000));
    assertThat(affected).hasSizeGreaterThan(5);
    long thirdUnansweredAt = 0;
    while (thirdUnansweredAt == 0) {
      cluster.clock.runUntil(cluster.clock.now() + 100);
      if (unacknowledged.stream()
          .allMatch(worker -> worker.terminated || worker.unansweredHeartbeatTimes.size() >= 3)) {
        thirdUnansweredAt = cluster.clock.now();
      }
    }
    assertThat(cluster.ownerName()).as("the owner did not fail").isEqualTo("n" + ownerNode);
    cluster.clock.runUntil(thirdUnansweredAt + 5000);
    int runningReplicas =
        affected.stream()
            .mapToInt(ref -> cluster.checks.runningElsewhere(ref, unacknowledged))
            .sum();
    int expectedReplicas = affected.stream().mapToInt(ref -> cluster.specOf(ref).taskCount()).sum();
    assertThat((double) runningReplicas / expectedReplicas).isGreaterThanOrEqualTo(0.95);
    assertRecovered(cluster);
  }

  /** A loss of acknowledgements that ends before the controllers act on it releases no machine. */
  @Test
  void briefInboundLossReleasesNoMachine() throws MalformedException {
    SimCluster cluster = busy(22, Size.FLEET);
    List<SimWorker> unacknowledged = withMostServices(cluster, 5);
    unacknowledged.forEach(worker -> worker.loseInbound(2500));
    cluster.clock.runUntil(FAULT_AT_MS + 25_000);
    assertThat(unacknowledged).noneMatch(worker -> worker.terminated);
    assertRecovered(cluster);
  }

  /**
   * If no worker receives acknowledgements, the fault is on the controllers' side: no machine is
   * released at once.
   */
  @Test
  void lossOfAllAcknowledgementsReleasesNoMachine() throws MalformedException {
    SimCluster cluster = busy(23, Size.FLEET);
    cluster.cloud.machines.values().forEach(worker -> worker.loseInbound(9000));
    cluster.clock.runUntil(FAULT_AT_MS + 14_000);
    assertThat(cluster.cloud.tasksLostToRelease).isZero();
    assertRecovered(cluster);
  }

  /**
   * Copies of three reports in ten arrive up to 200 s late, at any controller, during restarts and
   * takeovers. A copy must not make a released machine look like a new one, nor get work for a
   * machine that is gone.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void delayedReportCopiesAreNoHeartbeat(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(180_000);
    cluster.heartbeatCopyShare = 0.3;
    Random random = new Random(seed);
    for (int i = 0; i < 80; i++) {
      JobSpec spec = InvariantsTest.randomJob(random, i);
      cluster.clock.after(
          5000 + 400L * i, () -> cluster.submitAndFollow(spec, spec.isService() ? 60_000 : 0));
    }
    for (int i = 0; i < 6; i++) {
      long at = 25_000 + 20_000L * i;
      cluster.clock.after(at, () -> cluster.crashOwner(random.nextBoolean() ? 200 : 30_000));
      cluster.clock.after(
          at + 5000, () -> withMostServices(cluster, 2).forEach(worker -> worker.restart(150)));
      cluster.clock.after(at + 10_000, () -> cluster.preemptSpotMachines(3));
    }
    cluster.clock.after(150_000, () -> cluster.heartbeatCopyShare = 0);
    assertRecovered(cluster);
    assertThat(cluster.checks.returnedMachines).isEmpty();
  }

  /** Report copies must not make a new owner take a dead machine for a live one. */
  @Test
  void newOwnerStartsNothingOnMachinesKnownOnlyFromReportCopies() throws MalformedException {
    SimCluster cluster = busy(24, Size.FLEET);
    cluster.heartbeatCopyShare = 1;
    cluster.maxCopyDelayMs = 15_000;
    cluster.clock.runUntil(FAULT_AT_MS + 20_000);
    List<SimWorker> dead = withMostServices(cluster, 6);
    dead.forEach(SimWorker::terminate);
    cluster.crashOwner(60_000);
    int before = cluster.checks.starts;
    JobSpec largeJob = InvariantsTest.batchJob("run-many", "blue", 300, 1);
    cluster.submitAndFollow(largeJob, 0);
    cluster.clock.runUntil(cluster.clock.now() + 12_000);
    assertThat(cluster.checks.starts).isGreaterThan(before);
    assertThat(cluster.checks.recordedTasksOn(dead, "run-many")).isZero();
    cluster.heartbeatCopyShare = 0;
    assertRecovered(cluster);
  }

  /**
   * A worker crashes and restarts under the same host name within a fraction of a second, at each
   * step of a takeover: its tasks are ordered there again, and none runs twice.
   */
  @ParameterizedTest
  @ValueSource(longs = {-1, 0, 100, 300, 700, 1100, 1500, 2500})
  void tasksOfRestartedWorkersRunAgain(long afterCrash) throws MalformedException {
    SimCluster cluster = busy(25, Size.FLEET);
    if (afterCrash >= 0) {
      cluster.crashOwner(afterCrash % 200 == 0 ? 200 : 30_000);
      cluster.clock.runUntil(cluster.clock.now() + afterCrash);
    }
    List<SimWorker> restarted = withMostServices(cluster, 6);
    Set<String> affected = fullyRunningServices(cluster, restarted);
    restarted.forEach(worker -> worker.restart(100 + cluster.random.nextInt(300)));
    cluster.clock.runUntil(cluster.clock.now() + 9000);
    assertThat(affected)
        .allMatch(ref -> cluster.checks.running(ref) == cluster.specOf(ref).taskCount());
    assertThat(restarted).as("machines not released").noneMatch(worker -> worker.terminated);
    assertRecovered(cluster);
  }

  /**
   * The busiest controller is cut off from the state service and the other controllers, but not
   * from its workers and users. It must not keep users or work from the new owner.
   */
  @ParameterizedTest
  @ValueSource(longs = {6000, 25_000, 60_000})
  void isolatedOwnerIsReplaced(long ms) throws MalformedException {
    SimCluster cluster = busy(26, Size.FLEET);
    String isolated = cluster.ownerName();
    cluster.cutOwnerFromControllers(ms);
    JobSpec late = InvariantsTest.batchJob("run-late", "blue", 200, 1);
    // The user of this job connects to another controller: connections to the isolated one are
    // reset only later.
    cluster.pinConnection(late.ref(), (cluster.nodeIndex(isolated) + 1) % cluster.nodeCount());
    cluster.clock.after(1000, () -> cluster.submitAndFollow(late, 0));
    cluster.clock.runUntil(FAULT_AT_MS + 9000);
    assertThat(cluster.ownerName()).isNotEqualTo(isolated);
    assertThat(cluster.checks.running("run-late")).isPositive();
    assertThat(cluster.cloud.tasksLostToRelease).isZero();
    assertRecovered(cluster);
  }

  /**
   * Controllers restart within a fraction of a second, at every step of an election and of the
   * takeover after it.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 50, 150, 250, 400, 600, 900, 1300, 1800, 2600})
  void restartsDuringAnElection(long after) throws MalformedException {
    SimCluster cluster = busy(27, Size.FLEET);
    cluster.crashOwner(100 + cluster.random.nextInt(300));
    cluster.clock.runUntil(cluster.clock.now() + after);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.crash(node, 100 + cluster.random.nextInt(300));
    }
    cluster.clock.runUntil(cluster.clock.now() + after / 2);
    cluster.crashOwner(100);
    withMostServices(cluster, 3).forEach(worker -> worker.restart(200));
    int before = cluster.checks.starts;
    cluster.clock.runUntil(cluster.clock.now() + 8000);
    assertThat(cluster.checks.starts).isGreaterThan(before);
    assertThat(cluster.cloud.tasksLostToRelease).isZero();
    assertRecovered(cluster);
  }

  /**
   * The check itself can fail: if the state service stays unavailable, unanswered jobs are
   * reported.
   */
  @Test
  void unansweredJobIsReported() throws MalformedException {
    SimCluster cluster = busy(28, Size.FLEET);
    cluster.checks.setFaultsEnd(FAULT_AT_MS);
    cluster.state.outage(90_000);
    cluster.clock.runUntil(FAULT_AT_MS + 80_000);
    assertThat(cluster.checks.violations).anyMatch(what -> what.contains("has no answer for"));
  }
}
