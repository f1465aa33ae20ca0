package dunlincroft.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.membership.CancellationHistories.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The low watermark of cancellations, against histories of everything that can go wrong. */
class LowWatermarkTest {
  private static final int SEEDS = 150;

  /** Nobody's watermark ever passes a cancellation that some user was told and it does not know. */
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
    // The histories are about something: much is told, and word of others often carries further
    // than the last reading.
    assertThat(acknowledged).isGreaterThan(20L * SEEDS);
    assertThat(beyondReading).isGreaterThan(100L * SEEDS);
  }

  /** Each way to get it wrong is found by the observer. */
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

  /** Nor do those that end in it, one after the other, as long as each is soon back. */
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

  /** While all hear each other, an outage holds no watermark up, whatever was told before it. */
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
