package dunlincroft.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Named tasks, each with its own period. The owner calls {@link #runDue} at every tick of its
 * clock; tasks that are due at the same tick run in the order in which they were added.
 */
final class PeriodicTasks {
  private static final Logger LOG = LoggerFactory.getLogger(PeriodicTasks.class);

  /** One task and the time of its next run. */
  private static final class Task {
    private final String name;
    private final long periodMs;
    private final LongConsumer action;
    private long nextRunMs;

    private Task(String name, long periodMs, LongConsumer action, long nextRunMs) {
      this.name = name;
      this.periodMs = periodMs;
      this.action = action;
      this.nextRunMs = nextRunMs;
    }

    private void runIfDue(long nowMs) {
      if (nowMs >= nextRunMs) {
        nextRunMs = nowMs + periodMs;
        LOG.trace("periodic task: {}", name);
        action.accept(nowMs);
      }
    }
  }

  private final List<Task> tasks = new ArrayList<>();

  /** Adds a task that runs at every tick. */
  void everyTick(String name, LongConsumer action) {
    add(name, 0, 0, action);
  }

  /** Adds a task that runs at the first tick, and then once in each period. */
  void every(long periodMs, String name, LongConsumer action) {
    add(name, periodMs, 0, action);
  }

  /** Adds a task that runs once in each period, for the first time at the given time. */
  void everyFrom(long firstRunMs, long periodMs, String name, LongConsumer action) {
    add(name, periodMs, firstRunMs, action);
  }

  private void add(String name, long periodMs, long firstRunMs, LongConsumer action) {
    tasks.add(new Task(name, periodMs, action, firstRunMs));
  }

  /** Runs the tasks that are due and passes them the time of this tick. */
  void runDue(long nowMs) {
    for (Task task : tasks) {
      task.runIfDue(nowMs);
    }
  }
}
