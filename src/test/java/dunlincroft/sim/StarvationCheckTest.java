package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the check for jobs left waiting while capacity is free reports planted faults, and
 * nothing else.
 */
class StarvationCheckTest {
  private static final long FAULTS_OVER_MS = 20_000;
  private static final long END_MS = 200_000;

  /** A long-running array job bound to one zone, or to none if the zone is null. */
  private static JobSpec longArray(
      String ref, String team, int tasks, String zone, boolean samePlace)
      throws MalformedException {
    return JobSpec.parse(
        Cbor.map()
            .put("ref", ref)
            .put("jobclass", "long")
            .put("owner", team)
            .put("shape", "batch")
            .put("rank", "normal")
            .put("pieces", tasks)
            .put("cpus", 2)
            .put("gpus", 0)
            .put("ramGb", 1)
            .put("bundle", "img-0")
            .put("imageGb", 1)
            .put("hall", zone)
            .put("samePlace", samePlace)
            .put("spread", false)
            .put("lendable", true)
            .put("expectS", 400)
            .put("snapshotS", 0)
            .put("flushS", 0));
  }

  private static SimCluster cluster(long seed) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(FAULTS_OVER_MS);
    return cluster;
  }

  private static boolean isReportedWaiting(SimCluster cluster, String ref) {
    return cluster.checks.violations.stream()
        .anyMatch(what -> what.contains("left_waiting: " + ref));
  }

  /**
   * A calendar window that closes keeps its jobs from starting; the check is not told of the
   * window.
   */
  @Test
  void unplacedJobIsReported() throws MalformedException {
    SimCluster cluster = cluster(1);
    cluster.putDocument(
        "calendar",
        """
        zone = "UTC"
        [markets.m]
        days = ["tue"]
        [[windows]]
        name = "night"
        market = "m"
        select = { class = "simple" }
        opens = "22:30"
        cut_off = "22:40"
        at_cut_off = "finish"
        """);
    JobSpec held = InvariantsTest.batchJob("run-held", "blue", 3, 1);
    JobSpec free = longArray("run-free", "blue", 3, null, false);
    cluster.clock.after(5000, () -> cluster.submitAndFollow(held, 0));
    cluster.clock.after(5000, () -> cluster.submitAndFollow(free, 0));
    cluster.clock.runUntil(END_MS);
    assertThat(cluster.checks.accepted).contains("run-held", "run-free");
    assertThat(isReportedWaiting(cluster, "run-held")).isTrue();
    assertThat(isReportedWaiting(cluster, "run-free")).isFalse();
  }

  /** No controller is left to place anything, whether or not it had been started before. */
  @Test
  void jobsWithoutAnyControllerAreReported() throws MalformedException {
    SimCluster cluster = cluster(2);
    JobSpec service = longArray("run-any", "blue", 6, null, false);
    cluster.clock.after(5000, () -> cluster.submitAndFollow(service, 0));
    cluster.clock.after(FAULTS_OVER_MS, () -> cluster.crashAll(400_000));
    cluster.clock.runUntil(END_MS);
    assertThat(isReportedWaiting(cluster, "run-any")).isTrue();
  }

  /** A team at its limit waits for its own work, which is not starvation. */
  @Test
  void jobOfATeamAtItsLimitIsNotReported() throws MalformedException {
    SimCluster cluster = cluster(3);
    JobSpec more = longArray("run-more", "red", 30, null, false);
    cluster.clock.after(5000, () -> cluster.submitAndFollow(more, 0));
    cluster.clock.runUntil(END_MS);
    assertThat(cluster.checks.running("run-more")).as("40 cpus").isEqualTo(20);
    assertThat(cluster.checks.violations).isEmpty();
  }

  /**
   * Free capacity exists only in other zones than the job's own, or than that of its first tasks.
   */
  @Test
  void freeCapacityInAnotherZoneIsNotCounted() throws MalformedException {
    SimCluster cluster = cluster(4);
    cluster.cloud.maxMachines = 6;
    JobSpec zoneBound = longArray("run-bound", "blue", 60, "a", false);
    JobSpec together = longArray("run-together", "blue", 60, null, true);
    JobSpec free = longArray("run-small", "blue", 1, null, false);
    cluster.clock.after(5000, () -> cluster.submitAndFollow(zoneBound, 0));
    cluster.clock.after(6000, () -> cluster.submitAndFollow(together, 0));
    cluster.clock.after(9000, () -> cluster.submitAndFollow(free, 0));
    cluster.clock.runUntil(END_MS);
    assertThat(cluster.checks.running("run-bound")).isBetween(1, 59);
    assertThat(cluster.checks.running("run-together")).isBetween(1, 59);
    assertThat(cluster.cloud.machines.values())
        .as("free capacity in other zones")
        .anyMatch(worker -> worker.freeCapacity().cpu() >= 2000);
    assertThat(cluster.checks.violations).isEmpty();
  }
}
