package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against starvation when capacity is scarce: for all work, or in the one zone in which a
 * job may run.
 */
class CapacityShortageTest extends OverlappingFaultsScenario {
  private static final String ZONE = "b";

  /** The run time of two tasks, and a leader change with its synchronization over slow links. */
  private static final long URGENT_START_MS = 45_000;

  /** Where a job's tasks may run. */
  private record PlacementConstraints(String zone, boolean samePlace, boolean spread) {
    static final PlacementConstraints ANY = new PlacementConstraints(null, false, false);
  }

  private static JobSpec job(
      String ref, String rank, int taskCount, double expectS, PlacementConstraints constraints)
      throws MalformedException {
    boolean service = rank.equals("prod");
    return JobSpec.parse(
        Cbor.map()
            .put("ref", ref)
            .put("jobclass", rank)
            .put("owner", "blue")
            .put("shape", service ? "daemon" : "batch")
            .put("rank", rank)
            .put("pieces", taskCount)
            .put("cpus", 2)
            .put("gpus", 0)
            .put("ramGb", 1)
            .put("bundle", "img-" + Math.floorMod(ref.hashCode(), 4))
            .put("imageGb", 1)
            .put("hall", constraints.zone)
            .put("samePlace", constraints.samePlace)
            .put("spread", constraints.spread)
            .put("lendable", !service)
            .put("expectS", expectS)
            .put("snapshotS", 0)
            .put("flushS", 0));
  }

  private static void submitAt(SimCluster cluster, long atMs, JobSpec spec, long cancelAfterMs) {
    cluster.clock.after(atMs, () -> cluster.submitAndFollow(spec, cancelAfterMs));
  }

  private static long medianWait(SimCluster cluster, List<JobSpec> waitingJobs) {
    List<Long> waits =
        waitingJobs.stream().map(spec -> cluster.checks.startDelayMs(spec.ref())).toList();
    return waits.stream().sorted().skip(waits.size() / 2).findFirst().orElseThrow();
  }

  /**
   * More work than there is capacity for, over slow links, while leaders change. Urgent jobs start
   * before the normal ones submitted with them; the largest start in time, and no job is starved.
   */
  @ParameterizedTest
  @CsvSource({"1,0", "2,4000", "4,15000"})
  void excessWorkOverSlowLinks(long seed, long offsetMs) throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.cloud.maxMachines = 12;
    cluster.checks.setFaultsEnd(180_000);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.net.setDelayFactor(cluster.nodeAddress(node), 40);
    }
    Random random = new Random(seed);
    List<JobSpec> urgent = new ArrayList<>();
    List<JobSpec> normal = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String rank = random.nextBoolean() ? "normal" : "idle";
      int taskCount = i % 10 == 4 ? 150 : 15 + random.nextInt(25);
      submitAt(
          cluster,
          5000 + 1000L * i,
          job("run-w" + i, rank, taskCount, 15, PlacementConstraints.ANY),
          0);
    }
    for (int i = 0; i < 20; i++) {
      JobSpec urgentJob =
          job("run-u" + i, "urgent", 1 + random.nextInt(4), 15, PlacementConstraints.ANY);
      JobSpec normalJob =
          job("run-r" + i, "normal", 1 + random.nextInt(4), 15, PlacementConstraints.ANY);
      urgent.add(urgentJob);
      normal.add(normalJob);
      submitAt(cluster, 45_000 + 2500L * i, urgentJob, 0);
      submitAt(cluster, 45_000 + 2500L * i, normalJob, 0);
    }
    Set<String> leaders = new HashSet<>();
    Set<String> incarnations = new HashSet<>();
    int[] changesAtCapacity = new int[1];
    for (int i = 0; i < 4; i++) {
      boolean restarts = i % 2 == 0;
      cluster.clock.after(
          42_000 + offsetMs + 13_000L * i,
          () -> {
            leaders.add(cluster.ownerName());
            incarnations.add(cluster.ownerIncarnation());
            long free =
                cluster.cloud.machines.values().stream()
                    .mapToLong(w -> w.freeCapacity().cpu())
                    .sum();
            changesAtCapacity[0] += cluster.cloud.machines.size() == 12 && free < 12 * 4000 ? 1 : 0;
            cluster.crashOwner(restarts ? 200 : 12_000);
          });
    }
    cluster.clock.runUntil(180_000);
    assertThat(incarnations)
        .as("leaders that crashed, each incarnation counted")
        .hasSizeGreaterThan(2);
    assertThat(leaders).as("nodes that were leader").hasSizeGreaterThan(1);
    assertThat(changesAtCapacity[0])
        .as("leader changes while all machines were full")
        .isGreaterThan(2);
    assertThat(urgent)
        .as("urgent jobs start soon")
        .allMatch(spec -> cluster.checks.startDelayMs(spec.ref()) < URGENT_START_MS);
    assertThat(medianWait(cluster, urgent) * 2)
        .as("urgent jobs start before normal ones")
        .isLessThan(medianWait(cluster, normal));
    runAndVerify(cluster);
    assertThat(cluster.checks.largestStartedLate()).isEmpty();
    assertThat(cluster.checks.minDoneShare()).isEqualTo(1);
  }

  /** How the machines of a zone are lost. */
  private enum Loss {
    SPOT_WAVE,
    MACHINES_DIE,
    ZONE_CUT
  }

  private static long runningTasksOf(List<JobSpec> jobs, List<SimWorker> workers) {
    Set<String> refs = new HashSet<>();
    jobs.forEach(spec -> refs.add(spec.ref()));
    return workers.stream()
        .flatMap(worker -> worker.tasks.values().stream())
        .filter(task -> task.isActive() && refs.contains(task.spec.ref()))
        .count();
  }

  /**
   * Jobs that are bound to one zone, to any single zone, or spread over zones lose the machines of
   * a zone in which no others can be rented for a while. They run only where they may, and still
   * end.
   */
  @ParameterizedTest
  @CsvSource({
    "1,SPOT_WAVE,0",
    "2,SPOT_WAVE,7000",
    "3,MACHINES_DIE,0",
    "5,MACHINES_DIE,7000",
    "6,ZONE_CUT,0",
    "8,ZONE_CUT,7000"
  })
  void zoneBoundJobsLoseTheirMachines(long seed, Loss loss, long offsetMs)
      throws MalformedException {
    SimCluster cluster = new SimCluster(seed, Policy.DEFAULT, Size.FLEET);
    cluster.checks.setFaultsEnd(FAULTS_AT_MS + 90_000);
    Random random = new Random(seed);
    List<JobSpec> zoneBound = new ArrayList<>();
    List<JobSpec> others = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      int taskCount = 3 + random.nextInt(10);
      zoneBound.add(
          job(
              "run-b" + i,
              "normal",
              taskCount,
              25,
              new PlacementConstraints(ZONE, i % 2 == 0, false)));
      others.add(
          job("run-t" + i, "normal", taskCount, 25, new PlacementConstraints(null, true, false)));
      others.add(
          job("run-s" + i, "prod", 2 + i % 3, 0, new PlacementConstraints(null, false, true)));
    }
    zoneBound.forEach(spec -> submitAt(cluster, 5000 + random.nextInt(25_000), spec, 0));
    others.forEach(
        spec ->
            submitAt(cluster, 5000 + random.nextInt(25_000), spec, spec.isService() ? 200_000 : 0));
    cluster.clock.runUntil(FAULTS_AT_MS - 10_000 + offsetMs);
    cluster.cloud.zonesWithoutCapacity.add(ZONE);
    loseZone(cluster, loss, zoneBound, others);
    cluster.clock.after(35_000, () -> cluster.cloud.zonesWithoutCapacity.clear());
    cluster.clock.after(3000, () -> cluster.crashOwner(200));
    cluster.clock.runUntil(FAULTS_AT_MS + 20_000);
    if (loss == Loss.MACHINES_DIE) {
      assertThat(runningTasksOf(zoneBound, List.copyOf(cluster.cloud.machines.values())))
          .as("zone-bound tasks in other zones")
          .isZero();
    }
    runAndVerify(cluster);
    assertThat(cluster.checks.minDoneShare()).isEqualTo(1);
  }

  /** Takes down a zone's machines, and asserts that they ran tasks of the zone-bound jobs. */
  private static void loseZone(
      SimCluster cluster, Loss loss, List<JobSpec> zoneBound, List<JobSpec> others) {
    List<SimWorker> lostWorkers =
        cluster.cloud.machines.values().stream()
            .filter(worker -> worker.zone.equals(ZONE))
            .filter(worker -> loss != Loss.SPOT_WAVE || worker.spot)
            .toList();
    assertThat(runningTasksOf(zoneBound, lostWorkers))
        .as("lost tasks of zone-bound jobs")
        .isGreaterThan(5);
    if (loss != Loss.SPOT_WAVE) {
      assertThat(runningTasksOf(others, lostWorkers))
          .as("lost tasks of other jobs")
          .isGreaterThan(2);
    }
    if (loss == Loss.ZONE_CUT) {
      cluster.cutZone(ZONE, 40_000);
    } else {
      lostWorkers.forEach(worker -> cluster.cloud.machines.remove(worker.host));
      lostWorkers.forEach(SimWorker::terminate);
    }
  }
}
