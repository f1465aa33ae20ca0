package dunlincroft.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Commands that are delayed in transit: their sender gets no answer, and they are carried out once,
 * seconds later, if the receiver still accepts them.
 */
final class DelayedCommands {
  /** Minimum and maximum delay of a command. */
  private static final int MIN_DELAY_MS = 2000;

  private static final int MAX_DELAY_MS = 16_000;

  /** Selects the commands to delay. */
  interface Selector {
    boolean matches(String from, String to, ObjectNode body);
  }

  /** A command that arrived late: accepted, or rejected because of its fence token or session. */
  record Arrival(
      String from, String to, ObjectNode body, long sentAt, long arrivedAt, boolean accepted) {
    /** Whether it contains this order for an attempt of a task. */
    boolean contains(String verb, String task, long attempt) {
      for (var order : body.path("orders")) {
        if (order.path("verb").asText().equals(verb)
            && order.path("piece").asText().equals(task)
            && order.path("try").asLong() == attempt) {
          return true;
        }
      }
      return false;
    }
  }

  /** Selects the direct commands to workers that are delayed. */
  Selector commands = (from, to, body) -> false;

  /** Selects the releases of machines that are delayed. */
  Selector releases = (from, to, body) -> false;

  /** Delay of each command if the test sets one; 0: 2 to 16 s. */
  long fixedDelayMs;

  /** All delayed commands that have arrived, in order. */
  final List<Arrival> arrivals = new ArrayList<>();

  /** Number of commands delayed so far. */
  int delayedCount;

  private final SimNet net;
  private final VirtualClock clock;

  DelayedCommands(SimNet net, VirtualClock clock) {
    this.net = net;
    this.clock = clock;
  }

  /** Delays a request if it is selected; its sender gets no answer. */
  boolean delayIfSelected(String from, String to, String path, ObjectNode body) {
    boolean selected =
        switch (path) {
          case "/commands" -> commands.matches(from, to, body);
          case "/machines/release" -> releases.matches(from, to, body);
          default -> false;
        };
    if (selected) {
      delayedCount++;
      long sentAt = clock.now();
      // Derived from time and count, not drawn from the shared random generator: runs
      // without late commands stay the same.
      long ms =
          fixedDelayMs > 0
              ? fixedDelayMs
              : MIN_DELAY_MS
                  + Math.floorMod(31 * sentAt + 17L * delayedCount, MAX_DELAY_MS - MIN_DELAY_MS);
      clock.after(ms, () -> deliver(from, to, path, body, sentAt));
    }
    return selected;
  }

  private void deliver(String from, String to, String path, ObjectNode body, long sentAt) {
    SimNet.Server server = net.server(to);
    if (server != null) {
      server.handle(
          "POST",
          path,
          body,
          (status, answer) ->
              arrivals.add(new Arrival(from, to, body, sentAt, clock.now(), status == 200)));
    }
  }
}
