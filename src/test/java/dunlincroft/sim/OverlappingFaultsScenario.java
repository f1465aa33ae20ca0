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
abstract class OverlappingFaultsScenario {
  /** When the troubles of most tests begin. */
  static final long FAULTS_AT_MS = 40_000;

  /** When a cluster must have ended all its jobs. */
  private static final long DEADLINE_MS = 700_000;

  /** So long a cluster is watched after its last job has ended. */
  private static final long SETTLE_MS = 60_000;

  /** The jobs of the cluster that {@link #busyCluster} made, in the order in which they come. */
  final List<JobSpec> jobs = new ArrayList<>();

  /** A cluster in which jobs come for a while; whoever is cancelled is, around the meeting. */
  SimCluster busyCluster(long seed, Policy policy) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, policy, Size.FLEET);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 90_000);
    Random random = new Random(seed);
    for (int i = 0; i < 100; i++) {
      JobSpec spec = PairsTest.job(random, i);
      jobs.add(spec);
      cluster.clock.after(
          5000 + 500L * i, () -> cluster.submitAndFollow(spec, spec.isService() ? 150_000 : 0));
    }
    return cluster;
  }

  SimCluster busyCluster(long seed) throws MalformedException {
    return busyCluster(seed, Policy.DEFAULT);
  }

  /** Users cancel every so many-th job from now on, one after the other. */
  void cancelEveryNth(SimCluster cluster, int step, long intervalMs) {
    for (int i = 0; i < jobs.size(); i += step) {
      JobSpec spec = jobs.get(i);
      if (cluster.specOf(spec.ref()) != null) {
        cluster.clock.after(intervalMs * i / step, () -> cluster.cancel(spec));
      }
    }
  }

  /** Users call off all services now: the cluster ends sooner. */
  void cancelServices(SimCluster cluster) {
    for (JobSpec spec : jobs) {
      if (spec.isService() && cluster.specOf(spec.ref()) != null) {
        cluster.cancel(spec);
      }
    }
  }

  /** The sum of a figure over all machines that the cloud has. */
  static int sum(SimCluster cluster, ToIntFunction<SimWorker> value) {
    return cluster.cloud.machines.values().stream().mapToInt(value).sum();
  }

  /** Plays to the end: no rule is broken, and every job ends. */
  static void runAndVerify(SimCluster cluster) {
    runAndVerify(cluster, DEADLINE_MS);
  }

  /** The same for a day that is over sooner. */
  static void runAndVerify(SimCluster cluster, long endMs) {
    cluster.clock.runUntil(endMs);
    verify(cluster);
  }

  /** The same, for as long as jobs go on and a while beyond; by an earlier moment. */
  static void runAndVerifyBy(SimCluster cluster, long endMs) {
    while (cluster.checks.finalStates.size() < cluster.submittedJobs()
        && cluster.clock.now() < endMs) {
      cluster.clock.runUntil(cluster.clock.now() + 1000);
    }
    cluster.clock.runUntil(Math.min(endMs, cluster.clock.now() + SETTLE_MS));
    verify(cluster);
  }

  private static void verify(SimCluster cluster) {
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.orderLog.rerunAfterReap).as("tries that run again after a reap").isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(cluster.submittedJobs());
  }

  /** The same, without playing on for long once every job has ended. */
  static void runUntilDoneAndVerify(SimCluster cluster) {
    runAndVerifyBy(cluster, DEADLINE_MS);
  }
}
