package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.FaultPairsTest.PlannedFault;
import dunlincroft.sim.RepeatedMessages.Kind;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against messages whose second execution is not harmless: late copies of every kind of
 * message, alone and together with each other fault. To play more days: {@code
 * -Ddunlincroft.first=1000 -Ddunlincroft.copydays=500}.
 */
class RepeatedMessagesTest extends OverlappingFaultsScenario {
  private static final int SEEDS = 2;

  /** Longest delay of a copy: several leases of a worker. */
  private static final int MAX_DELAY_MS = 60_000;

  private static final long COPIES_FROM_MS = 8000;
  private static final long COPIES_FOR_MS = 100_000;
  private static final int FAULTS_PER_DAY = 4;
  private static final long FIRST_FAULT_MS = 30_000;
  private static final long FAULT_INTERVAL_MS = 40_000;

  static Stream<Arguments> kinds() {
    return Stream.of(Kind.values())
        .flatMap(
            kind -> LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> Arguments.of(kind, seed)));
  }

  @ParameterizedTest
  @MethodSource("kinds")
  void copiesOfOneKindBreakNothing(Kind kind, long seed) throws MalformedException {
    SimCluster cluster =
        busyCluster(seed, Policy.parse(seed % 2 == 0 ? "holder_machines = 12;" : ""));
    FenceOrderCheck fences = new FenceOrderCheck(cluster);
    cluster.clock.after(
        COPIES_FROM_MS,
        () -> cluster.repeatMessages(EnumSet.of(kind), 0.3, MAX_DELAY_MS, COPIES_FOR_MS));
    for (long at = 20_000; at < COPIES_FOR_MS; at += 20_000) {
      cluster.clock.after(at, () -> cluster.crashOwner(200));
    }
    cluster.clock.after(50_000, () -> cluster.preemptSpotMachines(4));
    cluster.clock.runUntil(FAULTS_AT_MS);
    cancelEveryNth(cluster, 4, 1500);
    cluster.clock.runUntil(COPIES_FROM_MS + COPIES_FOR_MS + MAX_DELAY_MS);
    runUntilDoneAndVerify(cluster);
    assertThat(cluster.net.repeatedMessages.delivered(kind)).as("copies").isPositive();
    assertThat(fences.acceptedStarts).isGreaterThan(100);
    assertThat(fences.violations).isEmpty();
  }

  static LongStream days() {
    long first = Long.getLong("dunlincroft.first", 1);
    return LongStream.range(first, first + Long.getLong("dunlincroft.copydays", 11));
  }

  /** Each day takes the next faults of the list. */
  private static List<PlannedFault> plan(long seed) {
    Random random = new Random(seed * 104_729);
    InjectedFault[] all = InjectedFault.values();
    List<PlannedFault> plan = new ArrayList<>();
    for (int i = 0; i < FAULTS_PER_DAY; i++) {
      InjectedFault fault = all[(int) (((seed - 1) * FAULTS_PER_DAY + i) % all.length)];
      long at = FIRST_FAULT_MS + i * FAULT_INTERVAL_MS + random.nextInt(3000);
      plan.add(new PlannedFault(at, fault, 2000 + random.nextInt(20_000)));
    }
    return plan;
  }

  @ParameterizedTest
  @MethodSource("days")
  void copiesOfAllKindsBesideOtherFaultsBreakNothing(long seed) throws MalformedException {
    List<PlannedFault> plan = plan(seed);
    SimCluster cluster = FaultPairsTest.prepare(seed, plan);
    cluster.clock.after(
        COPIES_FROM_MS,
        () ->
            cluster.repeatMessages(
                EnumSet.allOf(Kind.class), 0.2, MAX_DELAY_MS, FAULTS_PER_DAY * FAULT_INTERVAL_MS));
    cluster.clock.runUntil(FaultPairsTest.DAY_MS);
    assertThat(FaultPairsTest.faults(cluster)).as("day %d: %s", seed, plan).isEmpty();
    assertThat(cluster.net.repeatedMessages.delivered(Kind.COMMAND)).isGreaterThan(20);
  }
}
