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

/** The checks of cancellations find planted faults. */
class CancelChecksTest extends MeetingScenario {
  /** A job that was cancelled, and whose user has been told. */
  private JobSpec cancelled(SimCluster cluster) {
    JobSpec spec = RulesTest.simple("run-cancelled", "blue", 2, 1, 60, 0);
    cluster.user(spec, 8000);
    while (!cluster.checks.toldCancelled.containsKey(spec.ref())) {
      cluster.clock.runUntil(cluster.clock.now() + 10);
    }
    return spec;
  }

  /** Plants a start, under the highest token there is. */
  private static void plant(SimCluster cluster, SimWorker worker, JobSpec spec) {
    List<WorkerOrder> orders = List.of(WorkerOrder.run(spec.ref() + "/0", 7));
    ObjectNode body = WorkerOrder.body(1L << 40, orders).put("tenure", worker.tenure());
    Env.Call call =
        new Env.Call(
            worker.address,
            "POST",
            "/commands",
            Cbor.bytes(body),
            Constants.WORKER_CALL_TIMEOUT_MS);
    cluster.net.call("10.0.0.1:8080", call, reply -> {});
  }

  /** A controller that orders a start long after the cancellation; one in flight is counted. */
  @ParameterizedTest
  @ValueSource(longs = {200, 4500, 20_000})
  void startsAfterTheWordAreFound(long afterMs) throws MalformedException {
    SimCluster cluster = busy(1);
    cluster.clock.runUntil(AT_MS);
    JobSpec spec = cancelled(cluster);
    SimWorker worker = cluster.cloud.machines.firstEntry().getValue();
    cluster.clock.runUntil(cluster.checks.toldCancelled.get(spec.ref()) + afterMs);
    plant(cluster, worker, spec);
    cluster.clock.runUntil(cluster.clock.now() + 1000);
    assertThat(cluster.checks.cancelledStarts.leftAfter).isOne();
    assertThat(cluster.checks.broken)
        .filteredOn(what -> what.contains(CancelledStarts.RULE))
        .hasSize(afterMs > Constants.MAX_STALENESS_MS ? 1 : 0);
  }

  /** An order that had left before is on its way: allowed, and counted. */
  @Test
  void startsInFlightAreCounted() throws MalformedException {
    SimCluster cluster = busy(1);
    cluster.clock.runUntil(AT_MS);
    JobSpec spec = RulesTest.simple("run-cancelled", "blue", 2, 1, 60, 0);
    cluster.user(spec, 3000);
    SimWorker worker = cluster.cloud.machines.firstEntry().getValue();
    cluster.clock.runUntil(AT_MS + 2000);
    cluster.net.late.byMs = 9000;
    cluster.net.late.commands = (from, to, body) -> body.path("fence").asLong() == 1L << 40;
    plant(cluster, worker, spec);
    cluster.clock.runUntil(AT_MS + 12_000);
    assertThat(cluster.net.late.arrivals).hasSize(1);
    assertThat(cluster.checks.cancelledStarts.inFlight).isOne();
    assertThat(cluster.checks.broken).isEmpty();
  }

  /** Cancelled tasks of a machine that nobody reaches and that hung; planted: without a lease. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void cancelledTasksThatGoOnAfterAHangAreFound(boolean keepsTasks) throws MalformedException {
    SimCluster cluster = busy(2);
    cluster.clock.runUntil(AT_MS);
    List<JobSpec> running = cluster.runLong();
    List<SimWorker> out =
        running.stream().flatMap(spec -> cluster.checks.machines(spec.ref()).stream()).toList();
    out.forEach(worker -> worker.keepsTasks = keepsTasks);
    out.forEach(worker -> cluster.cutOff(worker, 70_000));
    cluster.cutCloud(70_000);
    cluster.cancelNow(12, 30_000);
    cluster.clock.runUntil(AT_MS + 29_000);
    assertThat(out.stream().flatMap(worker -> worker.tasks.values().stream()).filter(Task::on))
        .as("cancelled tasks of hanging machines")
        .anyMatch(task -> cluster.checks.toldCancelled.containsKey(task.spec.ref()));
    cluster.clock.runUntil(AT_MS + 60_000);
    if (keepsTasks) {
      assertThat(cluster.checks.broken).anyMatch(what -> what.contains("ran_cancelled"));
    } else {
      assertThat(cluster.checks.broken).isEmpty();
    }
  }
}
