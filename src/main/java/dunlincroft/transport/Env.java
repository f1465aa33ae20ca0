package dunlincroft.transport;

import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Everything outside the process that the program's logic may access: clocks, random numbers,
 * timers and the network. Callbacks run one at a time, and never within the call that registered
 * them. Tests use a simulated implementation.
 */
public interface Env {
  /**
   * The outcome of a call: an HTTP status and body. {@code status} 0 means that no answer came: the
   * request may or may not have been executed.
   */
  record Reply(int status, byte[] body) {
    public static final Reply NONE = new Reply(0, new byte[0]);

    /** No connection was established: the request was never sent and will never be executed. */
    public static final Reply NOT_SENT = new Reply(-1, new byte[0]);

    /** Whether the request may have been executed or may still be. */
    public boolean mayBeExecuted() {
      return status != NOT_SENT.status;
    }
  }

  /** An HTTP request; {@code body} is null if it has none. */
  record Call(String address, String method, String path, byte[] body, long timeoutMs) {}

  /** Monotonic clock, in milliseconds. */
  long nowMillis();

  /** Time of day in milliseconds, accurate within the bound given in the settings. */
  long wallMillis();

  UniformRandomProvider random();

  /** Runs a task after a delay. */
  void after(long delayMs, Runnable task);

  /** Sends a request; the callback gets its outcome. */
  void call(Call call, Consumer<Reply> callback);

  /** No calls to this address are expected soon: idle connections to it may be closed. */
  void closeIdleConnections(String address);
}
