package dunlincroft.transport;

/** Runs one thing from a timer, once for however many ask for it before it runs. */
public final class DeferredTask {
  private final Env env;
  private final Runnable task;
  private boolean isScheduled;

  public DeferredTask(Env env, Runnable task) {
    this.env = env;
    this.task = task;
  }

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
