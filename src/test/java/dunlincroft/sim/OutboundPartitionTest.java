package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimWorker.Task;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against wrong handling of workers that cannot connect to any controller but still receive
 * direct commands. Their leases expire, since commands do not renew them; they answer probes, so
 * they are not taken for dead; and their tasks start elsewhere only once their new session is
 * known.
 */
class OutboundPartitionTest extends OverlappingFaultsScenario {
  private static final long END_MS = 420_000;

  private static Stream<Task> runningTasks(SimWorker worker) {
    return worker.tasks.values().stream().filter(Task::isActive);
  }

  /**
   * Outbound partitions shorter and longer than the lease, with a change of leader and
   * cancellations.
   */
  @ParameterizedTest
  @CsvSource({"1,9000,0", "2,14000,3000", "3,30000,1000", "4,45000,8000", "5,60000,23000"})
  void workersCannotConnect(long seed, long ms, long crashAfter) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    List<SimWorker> partitioned = InjectedFault.busiestMachines(cluster);
    assertThat(partitioned.stream().flatMap(OutboundPartitionTest::runningTasks).count())
        .isGreaterThan(8);
    List<Long> sessionNumbers = partitioned.stream().map(SimWorker::session).toList();
    partitioned.forEach(worker -> worker.blockOutbound(ms));
    String oldOwner = cluster.ownerName();
    if (crashAfter >= 0) {
      cluster.clock.after(crashAfter, () -> cluster.crashOwner(15_000));
    }
    Set<JobSpec> cancelledJobs =
        partitioned.stream()
            .flatMap(OutboundPartitionTest::runningTasks)
            .map(task -> task.spec)
            .filter(spec -> spec.ref().hashCode() % 2 == 0)
            .collect(Collectors.toSet());
    cluster.clock.after(2000, () -> cancelledJobs.forEach(cluster::cancel));
    cluster.clock.runUntil(FAULTS_AT_MS + Math.min(ms, 44_000));
    Set<String> hosts = partitioned.stream().map(worker -> worker.host).collect(Collectors.toSet());
    long directOrders =
        cluster.orderLog.executed.stream()
            .filter(done -> hosts.contains(done.host()) && done.executedAt() > FAULTS_AT_MS)
            .filter(OrderLog.ExecutedOrder::direct)
            .count();
    long endedSessions = 0;
    for (int i = 0; i < partitioned.size(); i++) {
      endedSessions += partitioned.get(i).session() > sessionNumbers.get(i) ? 1 : 0;
    }
    long releasedMachines = partitioned.stream().filter(worker -> worker.terminated).count();
    assertThat(directOrders).as("direct orders executed by partitioned workers").isPositive();
    assertThat(cluster.cloud.tasksLostToRelease)
        .as("tasks of machines that were released")
        .isZero();
    if (ms > cluster.leaseMs) {
      assertThat(endedSessions)
          .as("sessions that ended")
          .isGreaterThanOrEqualTo(4 - releasedMachines);
    } else {
      assertThat(endedSessions).as("sessions that ended").isZero();
    }
    if (crashAfter >= 0 && crashAfter < ms) {
      assertThat(cluster.ownerName()).isNotEqualTo(oldOwner);
    }
    cancelServices(cluster);
    runAndVerifyBy(cluster, END_MS);
    assertThat(cancelledJobs)
        .as("cancelled jobs of partitioned workers")
        .anyMatch(spec -> cluster.checks.cancelConfirmedAt.containsKey(spec.ref()));
  }
}
