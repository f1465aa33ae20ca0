package dunlincroft.transport;

import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Everything outside the process that the program's logic may touch: clocks, randomness, timers,
 * network. Callbacks run one after the other, never inside the call that asked for them. Tests put
 * a virtual world behind it.
 */
public interface Env {
  /** An answer; {@code status} 0 stands for none: the request may or may not have been executed. */
  record Reply(int status, byte[] body) {
    public static final Reply NONE = new Reply(0, new byte[0]);

    /** No connection was made: the request has never left and will never be executed. */
    public static final Reply NOT_SENT = new Reply(-1, new byte[0]);

    /** Whether the request may have been executed, or may yet be. */
    public boolean mayBeExecuted() {
      return status != NOT_SENT.status;
    }
  }

  /** A request; without a body, {@code body} is null. */
  record Call(String address, String method, String path, byte[] body, long timeoutMs) {}

  /** Steady clock in milliseconds. */
  long nowMillis();

  /** Time of day in milliseconds, right within the bound of the settings. */
  long wallMillis();

  UniformRandomProvider random();

  void after(long delayMs, Runnable task);

  void call(Call call, Consumer<Reply> callback);

  /** There will be no calls to this address soon: what is kept open to it may be closed. */
  void closeIdleConnections(String address);
}
