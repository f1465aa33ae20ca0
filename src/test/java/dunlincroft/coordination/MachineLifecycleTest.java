package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Transitions of a machine's release to the cloud. */
class MachineLifecycleTest {
  @ParameterizedTest
  @CsvSource({
    "IN_USE, RELEASING, IN_USE, IN_USE",
    "RELEASING, RELEASING, IN_USE, RELEASED",
    "RELEASED, RELEASED, RELEASED, RELEASED",
    "DROPPED, DROPPED, DROPPED, DROPPED",
  })
  void eachEventLeadsToOneState(
      MachineLifecycle from,
      MachineLifecycle asked,
      MachineLifecycle failed,
      MachineLifecycle confirmed) {
    assertThat(from.onReleaseAsked()).isEqualTo(asked);
    assertThat(from.onReleaseFailed()).isEqualTo(failed);
    assertThat(from.onReleaseConfirmed()).isEqualTo(confirmed);
  }
}
