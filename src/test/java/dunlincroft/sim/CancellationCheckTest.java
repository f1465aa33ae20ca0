package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.WorkerOrder;
import dunlincroft.sim.SimWorker.Task;
import dunlincroft.transport.Env;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that the checks of cancellations detect planted faults. */
class CancellationCheckTest extends OverlappingFaultsScenario {
  /** Returns a job that was cancelled and whose user has received the confirmation. */
  private JobSpec cancelledJob(SimCluster cluster) {
    JobSpec spec = InvariantsTest.batchJob("run-cancelled", "blue", 2, 1, 60, 0);
    cluster.submitAndFollow(spec, 8000);
    while (!cluster.checks.cancelConfirmedAt.containsKey(spec.ref())) {
      cluster.clock.runUntil(cluster.clock.now() + 10);
    }
    return spec;
  }

  /** Sends a worker a start command under a fence token higher than any in use. */
  private static void sendPlantedStart(SimCluster cluster, SimWorker worker, JobSpec spec) {
    List<WorkerOrder> orders = List.of(WorkerOrder.run(spec.ref() + "/0", 7));
    ObjectNode body = WorkerOrder.body(1L << 40, orders).put("tenure", worker.session());
    Env.Call call =
        new Env.Call(
            worker.address,
            "POST",
            "/commands",
            Cbor.bytes(body),
            Constants.WORKER_CALL_TIMEOUT_MS);
    cluster.net.call("10.0.0.1:8080", call, reply -> {});
  }

  /**
   * A start ordered after the cancellation was confirmed is counted, and breaks the rule if it was
   * ordered too late.
   */
  @ParameterizedTest
  @ValueSource(longs = {200, 4500, 20_000})
  void startsOrderedAfterTheConfirmationAreReported(long afterMs) throws MalformedException {
    SimCluster cluster = busyCluster(1);
    cluster.clock.runUntil(FAULTS_AT_MS);
    JobSpec spec = cancelledJob(cluster);
    SimWorker worker = cluster.cloud.machines.firstEntry().getValue();
    cluster.clock.runUntil(cluster.checks.cancelConfirmedAt.get(spec.ref()) + afterMs);
    sendPlantedStart(cluster, worker, spec);
    cluster.clock.runUntil(cluster.clock.now() + 1000);
    assertThat(cluster.checks.startsAfterCancellation.sentAfterConfirmation).isOne();
    assertThat(cluster.checks.violations)
        .filteredOn(what -> what.contains(StartsAfterCancellation.RULE))
        .hasSize(afterMs > Constants.MAX_STALENESS_MS ? 1 : 0);
  }

  /** A start that was sent before the confirmation is in flight: it is allowed, and counted. */
  @Test
  void startsInFlightAreCounted() throws MalformedException {
    SimCluster cluster = busyCluster(1);
    cluster.clock.runUntil(FAULTS_AT_MS);
    JobSpec spec = InvariantsTest.batchJob("run-cancelled", "blue", 2, 1, 60, 0);
    cluster.submitAndFollow(spec, 3000);
    SimWorker worker = cluster.cloud.machines.firstEntry().getValue();
    cluster.clock.runUntil(FAULTS_AT_MS + 2000);
    cluster.net.delayedCommands.fixedDelayMs = 9000;
    cluster.net.delayedCommands.commands =
        (from, to, body) -> body.path("fence").asLong() == 1L << 40;
    sendPlantedStart(cluster, worker, spec);
    cluster.clock.runUntil(FAULTS_AT_MS + 12_000);
    assertThat(cluster.net.delayedCommands.arrivals).hasSize(1);
    assertThat(cluster.checks.startsAfterCancellation.inFlight).isOne();
    assertThat(cluster.checks.violations).isEmpty();
  }

  /**
   * Cancelled tasks of machines that hang and that nobody can reach end with the lease. The planted
   * fault is a worker that keeps its tasks when its lease expires.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void cancelledTasksRunningAfterAHangAreReported(boolean keepsTasks) throws MalformedException {
    SimCluster cluster = busyCluster(2);
    cluster.clock.runUntil(FAULTS_AT_MS);
    List<JobSpec> running = cluster.longRunningJobs();
    List<SimWorker> unreachable =
        running.stream()
            .flatMap(spec -> cluster.checks.machinesRunning(spec.ref()).stream())
            .toList();
    unreachable.forEach(worker -> worker.keepsTasksAfterLease = keepsTasks);
    unreachable.forEach(worker -> cluster.cutWorkerFromControllers(worker, 70_000));
    cluster.cutCloud(70_000);
    cluster.cancelRunningJobs(12, 30_000);
    cluster.clock.runUntil(FAULTS_AT_MS + 29_000);
    assertThat(
            unreachable.stream()
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(Task::isActive))
        .as("cancelled tasks of hanging machines")
        .anyMatch(task -> cluster.checks.cancelConfirmedAt.containsKey(task.spec.ref()));
    cluster.clock.runUntil(FAULTS_AT_MS + 60_000);
    if (keepsTasks) {
      assertThat(cluster.checks.violations).anyMatch(what -> what.contains("ran_cancelled"));
    } else {
      assertThat(cluster.checks.violations).isEmpty();
    }
  }
}
