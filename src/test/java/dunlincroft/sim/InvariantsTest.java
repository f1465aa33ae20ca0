package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays generated histories of jobs and faults against the real coordination code and checks every
 * invariant.
 */
class InvariantsTest {
  private static final long FAULTS_UNTIL_MS = 240_000;
  private static final long END_MS = 600_000;

  /** No generated fault lasts longer; copies of reports arrive even later. */
  private static final long LONGEST_FAULT_MS = 70_000;

  static JobSpec randomJob(Random random, int number) throws MalformedException {
    boolean daemon = random.nextInt(3) == 0;
    int tasks = daemon ? 1 + random.nextInt(3) : 1 + random.nextInt(25);
    return JobSpec.parse(
        Cbor.map()
            .put("ref", "run-" + number)
            .put("jobclass", daemon ? "serve" : "copy")
            .put("owner", random.nextBoolean() ? "red" : "blue")
            .put("shape", daemon ? "daemon" : "batch")
            .put("rank", daemon ? "prod" : random.nextBoolean() ? "normal" : "idle")
            .put("pieces", tasks)
            .put("cpus", 1.0 + random.nextInt(3))
            .put("gpus", 0)
            .put("ramGb", 1.5)
            .put("bundle", "img-" + random.nextInt(4))
            .put("imageGb", 1.0)
            .put("hall", !daemon && random.nextInt(10) == 0 ? "b" : null)
            .put("samePlace", !daemon && random.nextInt(4) == 0)
            .put("spread", daemon)
            .put("lendable", !daemon)
            .put("expectS", daemon ? 0.0 : 2.0 + random.nextInt(20))
            .put("snapshotS", 0.0)
            .put("flushS", 0.0)
            .put("dueS", 120.0));
  }

  private static SimCluster play(long seed, boolean faults, boolean guards, Policy policy)
      throws MalformedException {
    return play(seed, faults, guards, policy, Size.SMALL);
  }

  private static SimCluster play(
      long seed, boolean faults, boolean guards, Policy policy, Size size)
      throws MalformedException {
    SimCluster cluster = new SimCluster(seed, policy, size);
    Random random = new Random(seed * 31);
    cluster.net.loss = faults ? 0.01 : 0;
    cluster.state.ignoreGuards = !guards;
    cluster.state.maxChanges = faults && seed % 2 == 0 ? 60 : 10_000;
    for (int i = 0; i < size.jobs(); i++) {
      JobSpec spec = randomJob(random, i);
      boolean broken = faults && !spec.isService() && random.nextInt(10) == 0;
      if (broken) {
        cluster.failingJobs.add(spec.ref());
      }
      long cancelAfter =
          broken || random.nextInt(6) == 0 || spec.isService() ? 1000 + random.nextInt(200_000) : 0;
      cluster.clock.after(
          5000 + random.nextInt(200_000), () -> cluster.submitAndFollow(spec, cancelAfter));
    }
    cluster.submitGuestJobs = () -> flood(cluster, random);
    cluster.checks.setFaultsEnd(FAULTS_UNTIL_MS + LONGEST_FAULT_MS);
    if (faults) {
      for (long at = 15_000; at < FAULTS_UNTIL_MS; at += 4000 + random.nextInt(15_000)) {
        cluster.clock.after(at, cluster::injectRandomFault);
      }
    }
    cluster.clock.runUntil(END_MS + 6000L * (size.jobs() - Size.SMALL.jobs()));
    return cluster;
  }

  /** A team without a guarantee fills every machine, or submits many small jobs at once. */
  private static void flood(SimCluster cluster, Random random) {
    boolean many = random.nextBoolean();
    for (int i = 0; i < (many ? 24 : 1); i++) {
      JobSpec spec =
          batchJob("run-g" + cluster.submittedJobs(), "blue", many ? 1 : 60, many ? 0.25 : 2);
      cluster.clock.after(i * 100L, () -> cluster.submitAndFollow(spec, 0));
    }
  }

  /** A batch job without placement constraints. */
  static JobSpec batchJob(String ref, String team, int tasks, double cpus) {
    return batchJob(ref, team, tasks, cpus, 15, 0);
  }

  static JobSpec batchJob(
      String ref, String team, int tasks, double cpus, double expectS, double snapshotS) {
    try {
      return JobSpec.parse(
          Cbor.map()
              .put("ref", ref)
              .put("jobclass", "simple")
              .put("owner", team)
              .put("shape", "batch")
              .put("rank", "idle")
              .put("pieces", tasks)
              .put("cpus", cpus)
              .put("gpus", 0)
              .put("ramGb", 0.5)
              .put("bundle", "img-simple")
              .put("imageGb", 0.5)
              .put("samePlace", false)
              .put("spread", false)
              .put("lendable", true)
              .put("expectS", expectS)
              .put("snapshotS", snapshotS)
              .put("flushS", snapshotS > 0 ? 1.0 : 0.0));
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static LongStream seeds() {
    long first = Long.getLong("dunlincroft.first", 1);
    return LongStream.range(first, first + Long.getLong("dunlincroft.days", 30));
  }

  /** A subset of the seeds for tests that take longer. */
  private static LongStream fewSeeds() {
    return seeds().filter(seed -> seed % 5 == 1 || seed % 5 == 2);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void invariantsHoldThroughOverlappingFaults(long seed) throws MalformedException {
    SimCluster cluster = play(seed, true, true, Policy.DEFAULT);
    assertInvariants(cluster);
  }

  private static void assertInvariants(SimCluster cluster) {
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.starts).isGreaterThan(cluster.size.jobs());
    assertThat(cluster.checks.accepted).hasSize(cluster.submittedJobs());
    assertThat(cluster.checks.finalStates)
        .as("every job ends once the faults are over")
        .hasSize(cluster.submittedJobs());
  }

  /** Three lease owners at a handful of machines: blocks, shares and shards change owners. */
  @ParameterizedTest
  @MethodSource("seeds")
  void invariantsHoldWithSeveralOwners(long seed) throws MalformedException {
    SimCluster cluster = play(seed, true, true, Policy.parse("holder_machines = 1;"));
    assertInvariants(cluster);
    assertThat(cluster.state.dataUnder("d/leases/").get("one").path("holders")).hasSize(3);
    assertThat(cluster.state.dataUnder("d/shares/").values())
        .as("shares were transferred")
        .anyMatch(share -> share.size() > 1);
  }

  private static int pagesWritten;

  @AfterAll
  static void assertLogWrappedAround() {
    assertThat(pagesWritten).isPositive();
  }

  /**
   * Values of 1 KiB and 3 changes a transaction: jobs take many entries, the log wraps around,
   * pages are written between its entries, and owners that take over read both.
   */
  @ParameterizedTest
  @MethodSource("fewSeeds")
  void invariantsHoldWithFiveControllersAndSmallValues(long seed) throws MalformedException {
    Policy policy = seed % 2 == 0 ? Policy.DEFAULT : Policy.parse("holder_machines = 8;");
    SimCluster cluster = play(seed, true, true, policy, Size.TIGHT);
    assertInvariants(cluster);
    pagesWritten += cluster.state.pagesWritten;
  }

  @Test
  void everyJobEndsWithoutFaults() throws MalformedException {
    SimCluster cluster = play(100, false, true, Policy.DEFAULT);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).hasSize(Size.SMALL.jobs());
  }

  /**
   * Workers stay with an owner that is alive but partitioned. Its successor once did not know the
   * zones of rented machines, took the machines for dead, and released them with all their tasks.
   */
  @Test
  void partitionedOwnerLosesNoMachine() throws MalformedException {
    SimCluster cluster = busy();
    cluster.clock.after(30_000, () -> cluster.cutOwnerFromState(25_000));
    assertNoMachineLost(cluster, 75_000);
  }

  private static SimCluster busy() throws MalformedException {
    SimCluster cluster = new SimCluster(7, Policy.DEFAULT, Size.SMALL);
    Random random = new Random(7);
    for (int i = 0; i < 200; i++) {
      JobSpec spec = randomJob(random, i);
      cluster.clock.after(5000 + 20 * i, () -> cluster.submitAndFollow(spec, 0));
    }
    return cluster;
  }

  private static void assertNoMachineLost(SimCluster cluster, long until) {
    cluster.clock.runUntil(until);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.cloud.machines).as("machines were rented").hasSizeGreaterThan(8);
    assertThat(cluster.cloud.tasksLostToRelease).isZero();
  }

  /**
   * After an owner was paused, all machines seem to have been silent for that long, and its
   * time-outs fire at once: no machine may be released for that.
   */
  @ParameterizedTest
  @ValueSource(longs = {1000, 5000, 8000, 15_000, 40_000})
  void pausedOwnerLosesNoMachine(long ms) throws MalformedException {
    SimCluster cluster = busy();
    cluster.clock.after(30_000, () -> cluster.pauseOwner(ms));
    assertNoMachineLost(cluster, 90_000);
  }

  /**
   * A pause of all controllers, in which no worker is heard for two seconds, is added to a short
   * silence of one machine: the sum would exceed the limit for a release, the machine's own silence
   * does not.
   */
  @Test
  void machineIsNotReleasedForAControllerPause() throws MalformedException {
    SimCluster cluster = busy();
    SimWorker[] silent = new SimWorker[1];
    cluster.clock.after(
        30_000,
        () -> {
          silent[0] = cluster.cloud.machines.firstEntry().getValue();
          cluster.cutWorkerFromControllers(silent[0], 6000);
        });
    cluster.clock.after(31_200, () -> cluster.pauseAll(2800));
    cluster.clock.runUntil(37_000);
    assertThat(silent[0].terminated).isFalse();
    assertNoMachineLost(cluster, 75_000);
  }

  /** An owner becomes silent without closing its connections: other controllers start work soon. */
  @Test
  void silentOwnerIsReplacedSoon() throws MalformedException {
    SimCluster cluster = busy();
    cluster.clock.runUntil(30_000);
    cluster.crashOwnerSilently(70_000);
    cluster.clock.runUntil(31_000);
    int before = cluster.checks.starts;
    cluster.clock.runUntil(34_000);
    assertThat(cluster.checks.starts).as("starts within 4 s").isGreaterThan(before);
    assertNoMachineLost(cluster, 75_000);
  }

  /**
   * Small tasks of a team without a guarantee fill every machine. Capacity for larger tasks within
   * a guarantee is freed on as few machines as possible: freed in small parts on all machines, it
   * would be filled and freed again.
   */
  @Test
  void guaranteedCapacityIsFreedOnFewMachines() throws MalformedException {
    SimCluster cluster = new SimCluster(5, Policy.DEFAULT, Size.SMALL);
    cluster.cloud.maxMachines = 5;
    JobSpec guestJob = batchJob("run-guests", "blue", 200, 1, 300, 20);
    JobSpec guaranteedJob = batchJob("run-red", "red", 5, 4, 15, 0);
    cluster.clock.after(2000, () -> cluster.submitAndFollow(guestJob, 0));
    cluster.clock.runUntil(30_000);
    int before = cluster.checks.starts;
    assertThat(before).isEqualTo(5 * SimCluster.CPUS_PER_MACHINE);
    cluster.submitAndFollow(guaranteedJob, 0);
    cluster.clock.runUntil(60_000);
    assertThat(cluster.checks.completedTasks.get("run-red")).hasSize(5);
    assertThat(cluster.checks.stoppedTasks).isBetween(20, 24);
    assertThat(cluster.checks.violations).isEmpty();
  }

  /**
   * Arrays that fail on every machine are recognized as faulty soon, whichever controller owns
   * them, and no machine is taken for faulty.
   */
  @Test
  void failingJobsAreDistinguishedFromFaultyMachines() throws MalformedException {
    SimCluster cluster = new SimCluster(3, Policy.DEFAULT, Size.SMALL);
    for (int i = 0; i < 12; i++) {
      JobSpec spec = batchJob("run-" + i, i < 4 ? "red" : "blue", 30, 1);
      boolean broken = i % 3 == 0;
      if (broken) {
        cluster.failingJobs.add(spec.ref());
      }
      cluster.clock.after(
          2000 + 2000L * i, () -> cluster.submitAndFollow(spec, broken ? 150_000 : 0));
    }
    cluster.clock.after(60_000, () -> cluster.crashOwnerSilently(30_000));
    cluster.clock.runUntil(240_000);
    assertThat(cluster.checks.violations).isEmpty();
    assertThat(cluster.checks.finalStates).hasSize(12);
    assertThat(cluster.checks.failingAttempts)
        .as("failed attempts of 4 jobs with 120 tasks")
        .isBetween(12, 200);
  }

  /**
   * The checks can fail: some of these days break rules once the state service ignores all guards.
   */
  @Test
  void checksReportViolationsWithoutGuards() throws MalformedException {
    List<String> broken = List.of();
    for (long seed = 1; broken.isEmpty() && seed <= 60; seed++) {
      broken = play(seed, true, false, Policy.DEFAULT).checks.violations;
    }
    assertThat(broken).isNotEmpty();
  }
}
