package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When periodic tasks run, and in which order. */
class PeriodicTasksTest {
  private final PeriodicTasks tasks = new PeriodicTasks();
  private final List<String> runs = new ArrayList<>();

  private void tick(long nowMs) {
    runs.clear();
    tasks.runDue(nowMs);
  }

  @Test
  void tasksThatAreDueTogetherRunInTheOrderInWhichTheyWereAdded() {
    tasks.every(200, "b", now -> runs.add("b"));
    tasks.everyTick("c", now -> runs.add("c"));
    tasks.every(200, "a", now -> runs.add("a"));
    tick(0);
    assertThat(runs).containsExactly("b", "c", "a");
    tick(199);
    assertThat(runs).containsExactly("c");
    tick(200);
    assertThat(runs).containsExactly("b", "c", "a");
  }

  @Test
  void aPeriodBeginsAtTheTickThatRanTheTask() {
    tasks.every(100, "late", now -> runs.add("late at " + now));
    tick(0);
    tick(130);
    assertThat(runs).containsExactly("late at 130");
    tick(200);
    assertThat(runs).isEmpty();
    tick(230);
    assertThat(runs).containsExactly("late at 230");
  }

  @Test
  void aTaskWithAFirstRunTimeDoesNotRunEarlier() {
    tasks.everyFrom(50, 100, "figures", now -> runs.add("figures"));
    tick(49);
    assertThat(runs).isEmpty();
    tick(50);
    assertThat(runs).containsExactly("figures");
    tick(149);
    assertThat(runs).isEmpty();
  }

  @Test
  void aTaskThatFailsIsNotRunAgainBeforeItsNextPeriod() {
    tasks.every(
        100,
        "failing",
        now -> {
          runs.add("failing");
          throw new IllegalStateException("as a bug would");
        });
    assertThat(catchFailure(0)).isTrue();
    assertThat(catchFailure(99)).isFalse();
    assertThat(catchFailure(100)).isTrue();
  }

  private boolean catchFailure(long nowMs) {
    try {
      tick(nowMs);
      return false;
    } catch (IllegalStateException e) {
      return true;
    }
  }
}
