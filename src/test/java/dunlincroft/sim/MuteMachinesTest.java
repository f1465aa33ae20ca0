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
 * Workers that can open connections to no controller, while direct commands reach them: their
 * leases end, since commands do not renew them; they answer questions and so are not taken for
 * dead; and what they ran starts elsewhere only by the word of their new session.
 */
class MuteMachinesTest extends MeetingScenario {
  private static final long END_MS = 420_000;

  private static Stream<Task> on(SimWorker worker) {
    return worker.tasks.values().stream().filter(Task::on);
  }

  /** Mute for shorter and longer than the lease, beside a change of leader and cancellations. */
  @ParameterizedTest
  @CsvSource({"1,9000,0", "2,14000,3000", "3,30000,1000", "4,45000,8000", "5,60000,23000"})
  void machinesAreMute(long seed, long ms, long crashAfter) throws MalformedException {
    SimCluster cluster = busy(seed);
    cluster.clock.runUntil(AT_MS);
    List<SimWorker> mute = Trouble.fullest(cluster);
    assertThat(mute.stream().flatMap(MuteMachinesTest::on).count()).isGreaterThan(8);
    List<Long> tenures = mute.stream().map(SimWorker::tenure).toList();
    mute.forEach(worker -> worker.mute(ms));
    String old = cluster.holderName();
    if (crashAfter >= 0) {
      cluster.clock.after(crashAfter, () -> cluster.crashHolder(15_000));
    }
    Set<JobSpec> there =
        mute.stream()
            .flatMap(MuteMachinesTest::on)
            .map(task -> task.spec)
            .filter(spec -> spec.ref().hashCode() % 2 == 0)
            .collect(Collectors.toSet());
    cluster.clock.after(2000, () -> there.forEach(cluster::cancel));
    cluster.clock.runUntil(AT_MS + Math.min(ms, 44_000));
    Set<String> hosts = mute.stream().map(worker -> worker.host).collect(Collectors.toSet());
    long direct =
        cluster.orders.all.stream()
            .filter(done -> hosts.contains(done.host()) && done.at() > AT_MS)
            .filter(OrderLog.Done::direct)
            .count();
    long ended = 0;
    for (int i = 0; i < mute.size(); i++) {
      ended += mute.get(i).tenure() > tenures.get(i) ? 1 : 0;
    }
    long gone = mute.stream().filter(worker -> worker.gone).count();
    assertThat(direct).as("direct orders that mute machines carried out").isPositive();
    assertThat(cluster.cloud.tasksReleased).as("tasks of machines that were released").isZero();
    if (ms > cluster.leaseMs) {
      assertThat(ended).as("sessions that ended").isGreaterThanOrEqualTo(4 - gone);
    } else {
      assertThat(ended).as("sessions that ended").isZero();
    }
    if (crashAfter >= 0 && crashAfter < ms) {
      assertThat(cluster.holderName()).isNotEqualTo(old);
    }
    endServices(cluster);
    holdsBy(cluster, END_MS);
    assertThat(there)
        .as("cancelled jobs of theirs")
        .anyMatch(spec -> cluster.checks.toldCancelled.containsKey(spec.ref()));
  }
}
