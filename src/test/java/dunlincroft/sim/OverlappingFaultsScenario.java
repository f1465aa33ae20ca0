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

/**
 * Common parts of tests in which faults coincide: a busy cluster, users that cancel, and the final
 * verification.
 */
abstract class OverlappingFaultsScenario {
  /** When the faults of most tests begin. */
  static final long FAULTS_AT_MS = 40_000;

  /** When all jobs of a cluster must have ended. */
  private static final long DEADLINE_MS = 700_000;

  /** How long a cluster is observed after its last job has ended. */
  private static final long SETTLE_MS = 60_000;

  /**
   * The jobs of the cluster that {@link #busyCluster} created, in the order of their submission.
   */
  final List<JobSpec> jobs = new ArrayList<>();

  /**
   * A cluster to which 100 jobs are submitted, one every half second; services are cancelled 150 s
   * after their submission.
   */
  SimCluster busyCluster(long seed, Policy policy) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, policy, Size.FLEET);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 90_000);
    Random random = new Random(seed);
    for (int i = 0; i < 100; i++) {
      JobSpec spec = FaultPairsTest.randomJob(random, i);
      jobs.add(spec);
      cluster.clock.after(
          5000 + 500L * i, () -> cluster.submitAndFollow(spec, spec.isService() ? 150_000 : 0));
    }
    return cluster;
  }

  SimCluster busyCluster(long seed) throws MalformedException {
    return busyCluster(seed, Policy.DEFAULT);
  }

  /** Cancels every {@code step}-th job, one every {@code intervalMs} from now on. */
  void cancelEveryNth(SimCluster cluster, int step, long intervalMs) {
    for (int i = 0; i < jobs.size(); i += step) {
      JobSpec spec = jobs.get(i);
      if (cluster.specOf(spec.ref()) != null) {
        cluster.clock.after(intervalMs * i / step, () -> cluster.cancel(spec));
      }
    }
  }

  /** Cancels all services now, so that the run ends sooner. */
  void cancelServices(SimCluster cluster) {
    for (JobSpec spec : jobs) {
      if (spec.isService() && cluster.specOf(spec.ref()) != null) {
        cluster.cancel(spec);
      }
    }
  }

  /** The sum of a value over all machines of the cloud. */
  static int sum(SimCluster cluster, ToIntFunction<SimWorker> value) {
    return cluster.cloud.machines.values().stream().mapToInt(value).sum();
  }

  /** Runs to the deadline and verifies that no rule is violated and every job has ended. */
  static void runAndVerify(SimCluster cluster) {
    runAndVerify(cluster, DEADLINE_MS);
  }

  /** The same with a deadline of its own. */
  static void runAndVerify(SimCluster cluster, long endMs) {
    cluster.clock.runUntil(endMs);
    verify(cluster);
  }

  /**
   * Runs until all jobs have ended and for a while after that, at the latest until {@code endMs},
   * and verifies the same.
   */
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
    assertThat(cluster.orderLog.rerunAfterReap)
        .as("attempts that run again after a reap")
        .isEmpty();
    assertThat(cluster.checks.finalStates).as("every job ends").hasSize(cluster.submittedJobs());
  }

  /** The same with the usual deadline. */
  static void runUntilDoneAndVerify(SimCluster cluster) {
    runAndVerifyBy(cluster, DEADLINE_MS);
  }
}
