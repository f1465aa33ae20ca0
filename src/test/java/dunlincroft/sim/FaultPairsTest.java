package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against broken invariants when two or three faults overlap: the second begins within
 * seconds of the first one's beginning or end. To play more days: {@code -Ddunlincroft.first=1000
 * -Ddunlincroft.pairdays=5000}.
 */
class FaultPairsTest {
  private static final int JOBS = 90;
  private static final int PAIRS_PER_DAY = 4;
  private static final long FIRST_PAIR_MS = 30_000;
  private static final long PAIR_INTERVAL_MS = 45_000;
  static final long DAY_MS = 700_000;
  private static final long FAULTS_OVER_MS =
      FIRST_PAIR_MS + PAIRS_PER_DAY * PAIR_INTERVAL_MS + 40_000;

  /** A fault, when it is injected, and how long it lasts. */
  record PlannedFault(long at, InjectedFault fault, long durationMs) {
    @Override
    public String toString() {
      return fault + " at " + at + " for " + durationMs;
    }
  }

  /** Number of times each pair of faults was played. */
  private static final Map<String, Integer> PLAYS_BY_PAIR = new TreeMap<>();

  /**
   * Starts after a confirmed cancellation: in flight at that time, ordered later, and the longest
   * delay in milliseconds.
   */
  private static int inFlight;

  private static int orderedLater;
  private static long latestMs;

  private static void count(StartsAfterCancellation starts) {
    inFlight += starts.inFlight;
    orderedLater += starts.sentAfterConfirmation;
    latestMs = Math.max(latestMs, starts.maxDelayMs);
  }

  static LongStream days() {
    long first = Long.getLong("dunlincroft.first", 1);
    return LongStream.range(first, first + Long.getLong("dunlincroft.pairdays", 36));
  }

  /** Each day takes the next pairs of faults, in an order that covers all of them. */
  private static List<PlannedFault> plan(long seed) {
    Random random = new Random(seed * 7919);
    InjectedFault[] all = InjectedFault.values();
    List<PlannedFault> plan = new ArrayList<>();
    for (int i = 0; i < PAIRS_PER_DAY; i++) {
      // 251 and the number of pairs have no common divisor.
      long pair = (seed * PAIRS_PER_DAY + i) * 251 % (all.length * all.length);
      InjectedFault one = all[(int) (pair / all.length)];
      InjectedFault two = all[(int) (pair % all.length)];
      long at = FIRST_PAIR_MS + i * PAIR_INTERVAL_MS + random.nextInt(3000);
      long durationMs = 2000 + random.nextInt(random.nextBoolean() ? 6000 : 26_000);
      boolean atItsEnd = random.nextBoolean();
      long secondAt =
          at + (atItsEnd ? durationMs - 1500 + random.nextInt(3000) : random.nextInt(3500));
      plan.add(new PlannedFault(at, one, durationMs));
      plan.add(new PlannedFault(secondAt, two, 2000 + random.nextInt(20_000)));
      if (random.nextInt(3) == 0) {
        InjectedFault three = all[random.nextInt(all.length)];
        plan.add(
            new PlannedFault(
                secondAt + random.nextInt(4000), three, 2000 + random.nextInt(12_000)));
      }
      PLAYS_BY_PAIR.merge(one + " " + two, 1, Integer::sum);
    }
    return plan;
  }

  /** Jobs of one to three tasks that end far apart, long jobs, services and arrays. */
  static JobSpec randomJob(Random random, int number) throws MalformedException {
    int kind = random.nextInt(4);
    boolean daemon = kind == 0;
    int oneToThree = 1 + random.nextInt(3);
    return JobSpec.parse(
        Cbor.map()
            .put("ref", "run-" + number)
            .put("jobclass", kind == 1 ? SimWorker.STAGGERED_CLASS : daemon ? "serve" : "copy")
            .put("owner", random.nextInt(4) == 0 ? "red" : "blue")
            .put("shape", daemon ? "daemon" : "batch")
            .put("rank", daemon ? "prod" : random.nextBoolean() ? "normal" : "idle")
            .put("pieces", kind == 3 ? 4 + random.nextInt(20) : oneToThree)
            .put("cpus", 1.0 + random.nextInt(3))
            .put("gpus", 0)
            .put("ramGb", 1.5)
            .put("bundle", "img-" + random.nextInt(4))
            .put("imageGb", 1.0)
            .put("samePlace", !daemon && random.nextInt(4) == 0)
            .put("spread", daemon)
            .put("lendable", !daemon)
            .put("expectS", daemon ? 0.0 : kind == 2 ? 50.0 : 2.0 + random.nextInt(12))
            .put("snapshotS", 0.0)
            .put("flushS", 0.0)
            .put("dueS", 120.0));
  }

  private static SimCluster play(long seed, List<PlannedFault> plan) throws MalformedException {
    SimCluster cluster = prepare(seed, plan);
    cluster.clock.runUntil(DAY_MS);
    return cluster;
  }

  /** A cluster at the beginning of a day with the planned faults. */
  static SimCluster prepare(long seed, List<PlannedFault> plan) throws MalformedException {
    Policy policy = seed % 4 == 0 ? Policy.parse("holder_machines = 12;") : Policy.DEFAULT;
    SimCluster cluster = new SimCluster(seed, policy, seed % 3 == 0 ? Size.SMALL : Size.FLEET);
    Random random = new Random(seed);
    cluster.checks.setFaultsEnd(FAULTS_OVER_MS);
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec = randomJob(random, i);
      boolean cancelled = spec.isService() || random.nextInt(3) == 0;
      long after = cancelled ? 2000 + random.nextInt(120_000) : 0;
      cluster.clock.after(
          5000 + random.nextInt(190_000), () -> cluster.submitAndFollow(spec, after));
    }
    for (PlannedFault each : plan) {
      cluster.clock.after(each.at, () -> each.fault.inject(cluster, each.durationMs));
    }
    return cluster;
  }

  /** What the day broke. */
  static List<String> faults(SimCluster cluster) {
    List<String> faults = new ArrayList<>(cluster.checks.violations);
    if (cluster.checks.finalStates.size() < cluster.submittedJobs()) {
      faults.add(
          (cluster.submittedJobs() - cluster.checks.finalStates.size()) + " jobs never ended");
    }
    return faults;
  }

  /** Removes faults that are not needed to break the day's invariants. */
  private static List<PlannedFault> shrink(long seed, List<PlannedFault> plan)
      throws MalformedException {
    List<PlannedFault> minimal = new ArrayList<>(plan);
    for (PlannedFault each : plan) {
      List<PlannedFault> without = new ArrayList<>(minimal);
      without.remove(each);
      if (!faults(play(seed, without)).isEmpty()) {
        minimal = without;
      }
    }
    return minimal;
  }

  @ParameterizedTest
  @MethodSource("days")
  void invariantsHoldWhenFaultsOverlap(long seed) throws MalformedException {
    List<PlannedFault> plan = plan(seed);
    SimCluster cluster = play(seed, plan);
    count(cluster.checks.startsAfterCancellation);
    List<String> faults = faults(cluster);
    assertThat(faults)
        .as(
            "day %d, minimal failing set of faults: %s",
            seed, faults.isEmpty() ? "" : shrink(seed, plan))
        .isEmpty();
  }

  @AfterAll
  static void printSummary() {
    int all = InjectedFault.values().length * InjectedFault.values().length;
    System.out.printf(
        "pairs of faults: %d of %d played, %d times in all%n",
        PLAYS_BY_PAIR.size(), all, PLAYS_BY_PAIR.values().stream().mapToInt(n -> n).sum());
    System.out.printf(
        "starts after a confirmed cancellation: %d in flight, %d ordered later, by %d ms at most%n",
        inFlight, orderedLater, latestMs);
  }
}
