package dunlincroft.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.membership.CancellationHistories.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the low watermark of cancellations against random histories with all kinds of faults. */
class LowWatermarkTest {
  private static final int SEEDS = 150;

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
}
