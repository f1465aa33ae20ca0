package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.coordination.Metrics.RequestType;
import org.junit.jupiter.api.Test;

class MetricsTest {
  private final Metrics metrics = new Metrics(() -> 0);

  /**
   * Unavailable responses are counted by request type and cause, and each log line resets the
   * counts.
   */
  @Test
  void unavailableResponsesAreCountedByRequestTypeAndCause() {
    metrics.countUnavailable(RequestType.SUBMIT, UnavailableCause.NO_BUDGET);
    metrics.countUnavailable(RequestType.SUBMIT, UnavailableCause.NO_BUDGET);
    metrics.countUnavailable(RequestType.SUBMIT, UnavailableCause.NO_TURN);
    metrics.countUnavailable(RequestType.WORKER, UnavailableCause.NOT_SYNCED);
    assertThat(metrics.unavailableCount(RequestType.SUBMIT, UnavailableCause.NO_BUDGET))
        .isEqualTo(2);
    assertThat(metrics.unavailableCount(RequestType.SUBMIT, UnavailableCause.NO_TURN)).isEqualTo(1);
    assertThat(metrics.unavailableCount(RequestType.WORKER, UnavailableCause.NOT_SYNCED))
        .isEqualTo(1);
    assertThat(metrics.unavailableCount(RequestType.POLL, UnavailableCause.NO_BUDGET)).isZero();
    metrics.log("");
    assertThat(metrics.unavailableCount(RequestType.SUBMIT, UnavailableCause.NO_BUDGET)).isZero();
  }
}
