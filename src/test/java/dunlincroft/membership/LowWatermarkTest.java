package dunlincroft.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.membership.CancellationHistories.PlantedFault;
import dunlincroft.transport.PeerHeartbeat;
import dunlincroft.transport.PeerHeartbeat.CancellationReport;
import dunlincroft.transport.PeerHeartbeat.HeartbeatEcho;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the low watermark of cancellations against random histories with all kinds of faults. */
class LowWatermarkTest {
  private static final int SEEDS = 150;
  private static final long SELF_INSTANCE = 77;
  private static final long REVISION = 5;

  /**
   * No node's watermark passes a cancellation that was acknowledged to a user and that the node
   * does not know.
   */
  @Test
  void neverPassesAnUnknownCancellation() {
    long acknowledged = 0;
    long beyondReading = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      CancellationHistories history = new CancellationHistories(seed, PlantedFault.NONE);
      history.runWithFaults(200_000);
      assertThat(history.violations).as("seed %d", seed).isEmpty();
      acknowledged += history.acknowledgedCount();
      beyondReading += history.beyondReading;
    }
    // Guards against empty histories: many cancellations are acknowledged, and reports of other
    // nodes often move the watermark past the last read.
    assertThat(acknowledged).isGreaterThan(20L * SEEDS);
    assertThat(beyondReading).isGreaterThan(100L * SEEDS);
  }

  /** The observer detects each planted fault. */
  @ParameterizedTest
  @EnumSource(value = PlantedFault.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void plantedFaultsAreDetected(PlantedFault fault) {
    int found = 0;
    for (long seed = 1; found == 0 && seed <= SEEDS; seed++) {
      CancellationHistories history = new CancellationHistories(seed, fault);
      history.runWithFaults(200_000);
      found += history.violations.size();
    }
    assertThat(found).isPositive();
  }

  /**
   * Nodes that restart during an outage, one after the other, do not block the watermark if each is
   * soon back.
   */
  @ParameterizedTest
  @ValueSource(longs = {100, 3000, 8000})
  void quickRestartsDoNotBlockTheWatermarkInAnOutage(long awayMs) {
    for (long seed = 1; seed <= 20; seed++) {
      CancellationHistories history = new CancellationHistories(seed, PlantedFault.NONE);
      history.runFor(20_000);
      history.outage(120_000);
      history.runFor(7000);
      for (int second = 0; second < 100; second++) {
        if (second % 20 == 0 && second < 80) {
          history.crash(second / 20, awayMs);
        }
        history.runFor(1000);
        assertThat(history.furthestBehindMs()).as("seed %d", seed).isLessThan(3000);
      }
      assertThat(history.violations).isEmpty();
    }
  }

  /**
   * While all nodes hear each other, an outage does not block the watermark, whatever was
   * acknowledged before it.
   */
  @Test
  void anOutageDoesNotBlockTheWatermarkOfConnectedPeers() {
    for (long seed = 1; seed <= 20; seed++) {
      CancellationHistories history = new CancellationHistories(seed, PlantedFault.NONE);
      history.runFor(20_000);
      history.outage(120_000);
      history.runFor(3000);
      for (int second = 0; second < 110; second++) {
        history.runFor(1000);
        assertThat(history.furthestBehindMs()).as("seed %d", seed).isLessThan(1500);
      }
      assertThat(history.violations).isEmpty();
    }
  }

  private static PeerHeartbeat heartbeat(long instanceId, long sentAt, long echoedAt) {
    List<HeartbeatEcho> echoes = List.of(new HeartbeatEcho("n0", SELF_INSTANCE, echoedAt));
    return new PeerHeartbeat(
        "n1",
        0,
        0,
        0,
        0,
        0,
        List.of(),
        PeerHeartbeat.Load.NONE,
        new CancellationReport(instanceId, sentAt, echoes, REVISION, 0, 0, List.of()));
  }

  /** A heartbeat of a process that has ended, however many have followed it, changes nothing. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 10})
  void lateHeartbeatsOfEndedInstancesDoNotStopTheWatermark(int restarts) {
    LowWatermark watermark = new LowWatermark("n0", SELF_INSTANCE, 0, List.of("n0", "n1"));
    long readAt = 100_000;
    for (int instance = 1; instance <= restarts + 1; instance++) {
      long heardAt = 1000L * instance;
      watermark.heartbeatReceived(heartbeat(instance, heardAt, heardAt), heardAt, REVISION, 0);
    }
    for (int instance = 1; instance <= restarts; instance++) {
      watermark.heartbeatReceived(
          heartbeat(instance, 1000L * instance, 1000L * instance), readAt, REVISION, readAt);
    }
    watermark.heartbeatReceived(
        heartbeat(restarts + 1, 130_000, 129_900), 130_000, REVISION, readAt);
    assertThat(watermark.value(readAt, 130_000)).isEqualTo(129_900);
  }
}
