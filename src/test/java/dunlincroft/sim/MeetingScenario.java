package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ToIntFunction;

/** What tests of meetings of troubles share: a busy cluster, users that cancel, and the end. */
abstract class MeetingScenario {
  /** When the troubles of most tests begin. */
  static final long AT_MS = 40_000;

  /** When a cluster must have ended all its jobs. */
  private static final long END_MS = 700_000;

  /** So long a cluster is watched after its last job has ended. */
  private static final long AFTER_MS = 60_000;

  /** The jobs of the cluster that {@link #busy} made, in the order in which they come. */
  final List<JobSpec> jobs = new ArrayList<>();

  /** A cluster in which jobs come for a while; whoever is cancelled is, around the meeting. */
  SimCluster busy(long seed, Policy policy) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, policy, Size.FLEET);
    cluster.checks.troublesOver(AT_MS + 90_000);
    Random random = new Random(seed);
    for (int i = 0; i < 100; i++) {
      JobSpec spec = PairsTest.job(random, i);
      jobs.add(spec);
      cluster.clock.after(
          5000 + 500L * i, () -> cluster.user(spec, spec.isService() ? 150_000 : 0));
    }
    return cluster;
  }

  SimCluster busy(long seed) throws MalformedException {
    return busy(seed, Policy.DEFAULT);
  }

  /** Users cancel every so many-th job from now on, one after the other. */
  void cancelSome(SimCluster cluster, int every, long eachMs) {
    for (int i = 0; i < jobs.size(); i += every) {
      JobSpec spec = jobs.get(i);
      if (cluster.uploaded(spec.ref()) != null) {
        cluster.clock.after(eachMs * i / every, () -> cluster.cancel(spec));
      }
    }
  }

  /** Users call off all services now: the cluster ends sooner. */
  void endServices(SimCluster cluster) {
    for (JobSpec spec : jobs) {
      if (spec.isService() && cluster.uploaded(spec.ref()) != null) {
        cluster.cancel(spec);
      }
    }
  }

  /** The sum of a figure over all machines that the cloud has. */
  static int sum(SimCluster cluster, ToIntFunction<SimWorker> of) {
    return cluster.cloud.machines.values().stream().mapToInt(of).sum();
  }

  /** Plays to the end: no rule is broken, and every job ends. */
  static void holds(SimCluster cluster) {
    holds(cluster, END_MS);
  }

  /** The same for a day that is over sooner. */
  static void holds(SimCluster cluster, long endMs) {
    cluster.clock.runUntil(endMs);
    holdsNow(cluster);
  }

  /** The same, for as long as jobs go on and a while beyond; by an earlier moment. */
  static void holdsBy(SimCluster cluster, long endMs) {
    while (cluster.checks.toldFinal.size() < cluster.jobs() && cluster.clock.now() < endMs) {
      cluster.clock.runUntil(cluster.clock.now() + 1000);
    }
    cluster.clock.runUntil(Math.min(endMs, cluster.clock.now() + AFTER_MS));
    holdsNow(cluster);
  }

  private static void holdsNow(SimCluster cluster) {
    assertThat(cluster.checks.broken).isEmpty();
    assertThat(cluster.orders.revived).as("tries that run again after a reap").isEmpty();
    assertThat(cluster.checks.toldFinal).as("every job ends").hasSize(cluster.jobs());
  }

  /** The same, without playing on for long once every job has ended. */
  static void holdsOnceDone(SimCluster cluster) {
    holdsBy(cluster, END_MS);
  }
}
