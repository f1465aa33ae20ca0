package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.UnusualRequests.Infeasibility;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against wrong admission: jobs that fit no machine or lack a field are refused with an
 * error that gives the reason, also while the list of machine types is late; none of them is
 * accepted, and no accepted job is refused.
 */
class InvalidSubmissionTest extends OverlappingFaultsScenario {
  private static final int NO_ANSWER = 0;
  private static final long END_MS = 420_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void invalidRequestsAreRefusedUnderLoad(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(10_000);
    cluster.unusualRequests.enableFor(100_000);
    cluster.requestBursts.enableFor(100_000);
    cluster.clock.runUntil(115_000);
    assertThat(cluster.unusualRequests.infeasible.get(422)).isGreaterThan(150);
    assertThat(cluster.unusualRequests.infeasible).containsOnlyKeys(422);
    assertThat(cluster.unusualRequests.missingField.get(400)).isGreaterThan(150);
    assertThat(cluster.unusualRequests.missingField).containsOnlyKeys(400);
    assertThat(cluster.unusualRequests.cancelsOfDone).isGreaterThan(100);
    assertThat(cluster.unusualRequests.repeatedSubmissions).isGreaterThan(100);
    runAndVerify(cluster, END_MS);
  }

  /**
   * No controller knows the machine types: submissions that need them to be judged are answered
   * 503.
   */
  @ParameterizedTest
  @EnumSource(Infeasibility.class)
  void undecidableSubmissionsAreAnswered503(Infeasibility reason) throws MalformedException {
    SimCluster cluster = busyCluster(3);
    cluster.cutCloud(20_000);
    for (long at = 4000; at < 18_000; at += 2000) {
      cluster.clock.runUntil(at);
      for (int node = 0; node < cluster.nodeCount(); node++) {
        cluster.unusualRequests.infeasible(node, reason);
        cluster.unusualRequests.missingField(node, UnusualRequests.REQUIRED.get((int) (at / 2000)));
      }
    }
    assertThat(cluster.checks.accepted).as("accepted without any machine type").isEmpty();
    assertThat(cluster.unusualRequests.infeasible)
        .containsOnlyKeys(reason.dependsOnlyOnTeam() ? 422 : 503);
    assertThat(cluster.unusualRequests.missingField).containsOnlyKeys(400);
    cluster.clock.runUntil(90_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.accepted).as("accepted later").hasSize(cluster.submittedJobs());
  }

  /**
   * Only the leader has read a longer list of machine types, and accepts a job that by the other
   * nodes' list can never run. They must answer an immediately repeated submission with the job's
   * state, though most have not yet read the job's record.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void acceptedJobsAreKnownWhereMachineTypesLag(long seed) throws MalformedException {
    SimCluster cluster = busyCluster(seed);
    cluster.clock.runUntil(FAULTS_AT_MS);
    cluster.cloud.listedCpus = 2 * SimCluster.CPUS_PER_MACHINE;
    cluster.clock.runUntil(FAULTS_AT_MS + Constants.MACHINE_TYPES_REFRESH_MS + 2000);
    JobSpec large =
        InvariantsTest.batchJob("run-large", "blue", 2, SimCluster.CPUS_PER_MACHINE + 4);
    String leader = cluster.state.dataUnder("d/leader/").get("one").path("name").asText();
    cluster.followWithoutSubmitting(large);
    cluster.requestBursts.cancelAtAcceptanceShare = 0;
    cluster.requestBursts.enableFor(20_000);
    cluster.requestBursts.submit(cluster.nodeIndex(leader), large);
    long submitted = cluster.clock.now();
    while (!cluster.checks.accepted.contains("run-large")) {
      cluster.clock.runUntil(cluster.clock.now() + 1);
      assertThat(cluster.clock.now() - submitted).isLessThan(2000);
    }
    // A query sent in the same millisecond would not count as a later one.
    cluster.clock.runUntil(cluster.clock.now() + 1);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.requestBursts.submit(node, large);
    }
    cluster.clock.runUntil(cluster.clock.now() + 2000);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      if (node != cluster.nodeIndex(leader)) {
        cluster.unusualRequests.infeasible(node, Infeasibility.TOO_MANY_CPUS);
      }
    }
    cluster.clock.runUntil(cluster.clock.now() + 2000);
    assertThat(cluster.unusualRequests.infeasible)
        .as("nodes whose machine types lag")
        .containsEntry(422, 4);
    cluster.cancel(large);
    cluster.clock.runUntil(cluster.clock.now() + 15_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).containsEntry("run-large", "withdrawn");
  }

  /**
   * A single node, which is not the leader, knows the machine types and accepts a job. The others,
   * which know none, answer a repeated submission with the job's state or 503, and polls with the
   * state.
   */
  @Test
  void acceptedJobsAreKnownWithoutMachineTypes() throws MalformedException {
    int singleInformedDays = 0;
    for (int informedNode = 0; informedNode < 5; informedNode++) {
      SimCluster cluster = busyCluster(informedNode + 1);
      for (int node = 0; node < cluster.nodeCount(); node++) {
        if (node != informedNode) {
          cluster.cutFromCloud(node, 25_000);
        }
      }
      cluster.requestBursts.enableFor(25_000);
      cluster.clock.runUntil(15_000);
      int accepted = cluster.checks.accepted.size();
      for (int node = 0; node < cluster.nodeCount(); node++) {
        cluster.unusualRequests.infeasible(node, Infeasibility.TOO_MANY_CPUS);
      }
      cluster.clock.runUntil(17_000);
      boolean othersUninformed = cluster.unusualRequests.infeasible.getOrDefault(503, 0) == 4;
      singleInformedDays += othersUninformed && accepted > 5 ? 1 : 0;
      cluster.clock.runUntil(60_000);
      assertThat(cluster.checks.violations).isEmpty();
    }
    assertThat(singleInformedDays)
        .as("days on which only one node knew the machine types")
        .isGreaterThan(2);
  }

  /**
   * A list with machine types that are too large admits jobs that fit no machine: the checks report
   * them.
   */
  @Test
  void acceptedJobsThatFitNoMachineAreReported() throws MalformedException {
    SimCluster cluster = busyCluster(1);
    cluster.cloud.listedCpus = 2 * SimCluster.CPUS_PER_MACHINE;
    cluster.clock.runUntil(10_000);
    cluster.unusualRequests.infeasible(1, Infeasibility.TOO_MANY_CPUS);
    cluster.clock.runUntil(12_000);
    assertThat(cluster.checks.violations).hasSize(1).first().asString().contains("accepted_odd");
  }

  /** Which answers to an invalid submission the checks accept, and which they report. */
  @Test
  void wrongRefusalsAreReported() throws MalformedException {
    SimCluster cluster = busyCluster(1);
    cluster.checks.onRefusal("run-a", "no owner", 400, 400, true);
    cluster.checks.onRefusal("run-b", "no owner", 400, 503, true);
    cluster.checks.onRefusal("run-c", "no owner", 400, NO_ANSWER, false);
    assertThat(cluster.checks.violations).isEmpty();
    cluster.checks.onRefusal("run-d", "no owner", 400, 422, true);
    cluster.checks.onRefusal("run-e", "no owner", 400, 400, false);
    cluster.checks.onRefusal("run-f", "UNKNOWN_TEAM", 422, 404, true);
    cluster.checks.onRefusal("run-g", "no owner", 400, 201, true);
    assertThat(cluster.checks.violations).hasSize(4);
    assertThat(Set.copyOf(cluster.checks.accepted)).isEmpty();
  }
}
