package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.OwnershipChanges.Change;
import dunlincroft.sim.OwnershipChanges.Step;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against starts of cancelled jobs while ownership of a shard changes, by a crash or by a
 * planned handover. Users cancel through every controller at each step of the change.
 */
class CancelDuringHandoverTest extends OverlappingFaultsScenario {
  /** Users cancel at these offsets after each step of an ownership change. */
  private static final long[] OFFSETS_MS = {0, 2, 5, 10, 20, 40, 80, 160, 320};

  /** Interval between cancellations that are sent independently of the steps. */
  private static final long CANCEL_INTERVAL_MS = 60;

  /**
   * Longest time an order that was already in flight may take, with the image download that it
   * begins.
   */
  private static final long ORDER_IN_FLIGHT_MS = 2500;

  private CancellationLog cancelLog;
  private OwnershipChanges ownershipChanges;
  private int nextJob;
  private int nextNode;

  /**
   * A busy cluster with additional jobs, whose cancellations and ownership changes are observed.
   */
  private SimCluster observedCluster(long seed, Policy policy) throws MalformedException {
    SimCluster cluster = busyCluster(seed, policy);
    Random random = new Random(seed + 1000);
    for (int i = 100; i < 300; i++) {
      JobSpec spec = FaultPairsTest.randomJob(random, i);
      jobs.add(spec);
      long at = 12_000 + 200L * (i - 100);
      cluster.clock.after(at, () -> cluster.submitAndFollow(spec, spec.isService() ? 150_000 : 0));
    }
    cancelLog = new CancellationLog(cluster);
    ownershipChanges = new OwnershipChanges(cluster);
    return cluster;
  }

  /**
   * A user cancels an unfinished job of the shard, if there is one, through the next controller.
   */
  private void cancelOne(SimCluster cluster, String shard) {
    for (int i = 0; i < jobs.size(); i++) {
      JobSpec spec = jobs.get((nextJob + i) % jobs.size());
      String ref = spec.ref();
      boolean open = cancelLog.isOpen(ref) && !cluster.checks.cancelRequested.contains(ref);
      if (open && (shard == null || shard.equals(cancelLog.shardOf(ref)))) {
        nextJob = (nextJob + i + 1) % jobs.size();
        cluster.pinConnection(ref, nextNode++ % cluster.nodeCount());
        cluster.cancel(spec);
        return;
      }
    }
  }

  private void cancelAtOffsets(SimCluster cluster, String shard) {
    for (long ms : OFFSETS_MS) {
      cluster.clock.after(ms, () -> cancelOne(cluster, shard));
    }
  }

  /** From now on, users cancel after each step of every ownership change. */
  private void cancelAfterEachStep(SimCluster cluster) {
    ownershipChanges.listeners.add(
        (step, change) -> {
          if (step != Step.FIRST_PLACEMENT) {
            cancelAtOffsets(cluster, change.shard);
          }
        });
  }

  /** Users cancel jobs of a shard at a fixed interval. */
  private void cancelRepeatedly(SimCluster cluster, String shard, int number, long eachMs) {
    for (int i = 0; i < number; i++) {
      cluster.clock.after(eachMs * i, () -> cancelOne(cluster, shard));
    }
  }

  /** Number of cancellations confirmed in each part of the ownership changes. */
  private record ToldCancellations(
      long beforeOwnerRecord, long beforeFirstWrite, long beforeFirstPlacement) {
    long total() {
      return beforeOwnerRecord + beforeFirstWrite + beforeFirstPlacement;
    }
  }

  private ToldCancellations countTold(List<Change> changes) {
    long before = 0;
    long reading = 0;
    long placing = 0;
    for (Change each : changes) {
      before += cancelLog.confirmedCancellations(each.shard, each.lastOldWriteAt, each.recordedAt);
      reading +=
          cancelLog.confirmedCancellations(each.shard, each.recordedAt + 1, each.firstNewWriteAt);
      placing +=
          cancelLog.confirmedCancellations(
              each.shard, each.firstNewWriteAt + 1, each.firstPlacementAt);
    }
    return new ToldCancellations(before, reading, placing);
  }

  private static String firstShard(SimCluster cluster) {
    return cluster.state.dataUnder("d/leases/").get("one").path("holders").path(0).asText();
  }

  /**
   * No start was recorded after a cancellation, and only starts already in flight were carried out.
   */
  private void assertNothingStarts(SimCluster cluster) {
    assertThat(cancelLog.startsAfterCancellation).isEmpty();
    assertThat(cluster.checks.startedAfterCancelMs)
        .as("starts that were in flight")
        .allMatch(ms -> ms < ORDER_IN_FLIGHT_MS);
  }

  /**
   * The owner crashes for long, so that another controller takes over, or restarts at once, so that
   * it may take its own work over.
   */
  @ParameterizedTest
  @CsvSource({"1,15000,0", "2,200,23", "4,15000,7", "5,200,55"})
  void cancelledWhileASuccessorTakesOver(long seed, long awayMs, long offsetMs)
      throws MalformedException {
    SimCluster cluster =
        observedCluster(
            seed, seed % 2 == 0 ? Policy.parse("holder_machines = 12;") : Policy.DEFAULT);
    cluster.clock.runUntil(FAULTS_AT_MS);
    String shard = firstShard(cluster);
    cancelAfterEachStep(cluster);
    cluster.crashOwner(awayMs);
    cluster.clock.runUntil(FAULTS_AT_MS + offsetMs);
    cancelRepeatedly(cluster, shard, 20, CANCEL_INTERVAL_MS);
    cluster.clock.runUntil(FAULTS_AT_MS + 30_000);
    ToldCancellations toldCancels =
        countTold(
            ownershipChanges.changes.stream().filter(each -> each.shard.equals(shard)).toList());
    assertThat(toldCancels.beforeOwnerRecord)
        .as("confirmed before the ownership record")
        .isPositive();
    assertThat(toldCancels.beforeFirstWrite).as("confirmed before the first write").isPositive();
    assertThat(toldCancels.total()).as("confirmed during the ownership change").isGreaterThan(4);
    runAndVerify(cluster);
    assertNothingStarts(cluster);
  }

  /**
   * A controller that took over a shard hands it back, while blocks and shares are transferred
   * between owners.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void cancelledWhileAShardIsHandedBack(long seed) throws MalformedException {
    SimCluster cluster = observedCluster(seed, Policy.parse("holder_machines = 6;"));
    int[] handedOn = new int[1];
    cluster.clock.runUntil(FAULTS_AT_MS);
    String shard = firstShard(cluster);
    assertThat(cluster.state.dataUnder("d/leases/").get("one").path("holders")).hasSize(5);
    cluster.crashOwner(5000);
    cluster.clock.runUntil(FAULTS_AT_MS + 15_900);
    // Writes take some tens of milliseconds: users get confirmations of other cancellations
    // meanwhile.
    cluster.slowStateService(10, 2500);
    cancelAfterEachStep(cluster);
    ownershipChanges.transferListeners.add(
        from -> {
          if (handedOn[0]++ % 3 == 0) {
            cluster.clock.after(3, () -> cancelOne(cluster, from));
          }
        });
    cancelRepeatedly(cluster, shard, 80, 15);
    cluster.clock.runUntil(FAULTS_AT_MS + 60_000);
    ToldCancellations toldCancels =
        countTold(ownershipChanges.changes.stream().filter(each -> each.planned).toList());
    assertThat(ownershipChanges.blocksTransferred).as("blocks transferred").isGreaterThan(10);
    assertThat(ownershipChanges.sharesTransferred).as("shares transferred").isGreaterThan(10);
    assertThat(handedOn[0]).as("transferred while users cancel").isGreaterThan(5);
    assertThat(toldCancels.beforeOwnerRecord + toldCancels.beforeFirstWrite)
        .as("confirmed between the last write of the old owner and the first of the new one")
        .isGreaterThan(3);
    runAndVerify(cluster);
    assertNothingStarts(cluster);
  }
}
