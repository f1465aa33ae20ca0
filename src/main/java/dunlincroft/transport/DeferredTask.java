package dunlincroft.transport;

/** Runs a task from a timer; requests made before it runs are combined into one run. */
public final class DeferredTask {
  private final Env env;
  private final Runnable task;
  private boolean isScheduled;

  public DeferredTask(Env env, Runnable task) {
    this.env = env;
    this.task = task;
  }

  /** Schedules the task, unless it is already scheduled. */
  public void schedule(long delayMs) {
    if (!isScheduled) {
      isScheduled = true;
      env.after(
          delayMs,
          () -> {
            isScheduled = false;
            task.run();
          });
    }
  }
}
