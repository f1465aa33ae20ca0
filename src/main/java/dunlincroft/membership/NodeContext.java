package dunlincroft.membership;

import dunlincroft.Settings;
import dunlincroft.bookkeeping.ChangeFeed;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.transport.Env;

/** What membership needs of its node: settings, clocks, the state service and its replica. */
public record NodeContext(
    Settings settings, Env env, StateStore store, Replica replica, ChangeFeed feed) {
  String name() {
    return settings.nodeName();
  }

  /** Monotonic clock, in milliseconds. */
  long now() {
    return env.nowMillis();
  }
}
