package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Every pair of reason and event, and random sequences of events. */
class DrainReasonTest {
  private static final int STEPS = 20_000;

  @ParameterizedTest
  @CsvSource({
    // from, surplus, needed, notice, no notice, sickness, stopped
    "NONE, SURPLUS, NONE, RECLAIMED, NONE, SICK, STOPPED",
    "SURPLUS, SURPLUS, NONE, RECLAIMED, SURPLUS, SICK, STOPPED",
    "RECLAIMED, RECLAIMED, RECLAIMED, RECLAIMED, NONE, SICK, STOPPED",
    "SICK, SICK, SICK, SICK, SICK, SICK, STOPPED",
    "STOPPED, STOPPED, STOPPED, STOPPED, STOPPED, STOPPED, STOPPED",
  })
  void eachEventLeadsToOneReason(
      DrainReason from,
      DrainReason surplus,
      DrainReason needed,
      DrainReason notice,
      DrainReason noNotice,
      DrainReason sickness,
      DrainReason stopped) {
    assertThat(from.onSurplus()).isEqualTo(surplus);
    assertThat(from.onNeeded()).isEqualTo(needed);
    assertThat(from.onReclaimNotice()).isEqualTo(notice);
    assertThat(from.onNoReclaimNotice()).isEqualTo(noNotice);
    assertThat(from.onSickness()).isEqualTo(sickness);
    assertThat(from.onStopped()).isEqualTo(stopped);
  }

  /** What passes leaves no mark: a machine that is neither sick nor stopped can get work again. */
  @Test
  void withoutLastingEventsAMachineGetsWorkAgain() {
    List<UnaryOperator<DrainReason>> passing =
        List.of(
            DrainReason::onSurplus,
            DrainReason::onNeeded,
            DrainReason::onReclaimNotice,
            DrainReason::onNoReclaimNotice);
    Random random = new Random(7);
    DrainReason reason = DrainReason.NONE;
    MachineLifecycle lifecycle = MachineLifecycle.IN_USE;
    for (int step = 0; step < STEPS; step++) {
      reason = passing.get(random.nextInt(passing.size())).apply(reason);
      lifecycle = random.nextBoolean() ? lifecycle.onReleaseAsked() : lifecycle.onReleaseFailed();
      assertThat(reason.onNoReclaimNotice().onNeeded()).isEqualTo(DrainReason.NONE);
      assertThat(lifecycle.onReleaseFailed()).isEqualTo(MachineLifecycle.IN_USE);
    }
  }
}
