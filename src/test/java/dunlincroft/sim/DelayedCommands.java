package dunlincroft.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Commands that are held up on their way: their sender gets no answer, and they are carried out
 * once, seconds later, if the receiver still takes them.
 */
final class DelayedCommands {
  /** The least and the most that a command is held up, in milliseconds. */
  private static final int MIN_DELAY_MS = 2000;

  private static final int MAX_DELAY_MS = 16_000;

  /** Which commands are held up. */
  interface Selector {
    boolean matches(String from, String to, ObjectNode body);
  }

  /** A command that came late: carried out, or refused for its token or session. */
  record Arrival(
      String from, String to, ObjectNode body, long sentAt, long arrivedAt, boolean accepted) {
    /** Whether it says this of a try of a task. */
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

  /** Direct commands to workers that are held up. */
  Selector commands = (from, to, body) -> false;

  /** Releases of machines that are held up. */
  Selector releases = (from, to, body) -> false;

  /** How long each is held up, where a test says it; 0: 2 to 16 s. */
  long fixedDelayMs;

  /** All that came late so far, in order. */
  final List<Arrival> arrivals = new ArrayList<>();

  /** Commands that were held up so far. */
  int delayedCount;

  private final SimNet net;
  private final VirtualClock clock;

  DelayedCommands(SimNet net, VirtualClock clock) {
    this.net = net;
    this.clock = clock;
  }

  /** Holds a request up if it is one of those; its sender hears nothing. */
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
      // Its own luck: days without late commands stay as they were.
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
