package dunlincroft.sim;

import java.util.PriorityQueue;

/**
 * Simulated time: events run in order of their time, and events of the same time in the order in
 * which they were scheduled.
 */
public final class VirtualClock {
  private record Event(long at, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long now;
  private long order;

  public long now() {
    return now;
  }

  public void after(long ms, Runnable action) {
    events.add(new Event(now + Math.max(0, ms), order++, action));
  }

  public void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    now = end;
  }
}
