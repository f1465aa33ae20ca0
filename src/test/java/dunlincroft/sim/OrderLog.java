package dunlincroft.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Every order that took effect at a worker, with its sender and the time at which it was sent. */
final class OrderLog {
  /**
   * An order as it was carried out; {@code direct} if it came as a direct command and not in the
   * answer to a heartbeat.
   */
  record ExecutedOrder(
      long executedAt,
      long sentAt,
      String sender,
      String host,
      String verb,
      String task,
      long attempt,
      boolean direct) {}

  final List<ExecutedOrder> executed = new ArrayList<>();

  /**
   * Attempts that were started again on a machine after a reap order had removed them there. There
   * must be none.
   */
  final List<ExecutedOrder> rerunAfterReap = new ArrayList<>();

  private final Set<String> reapedAttempts = new HashSet<>();

  void add(ExecutedOrder order, long session) {
    executed.add(order);
    String key = order.host + " " + session + " " + order.task + " " + order.attempt;
    if (order.verb.equals("reap")) {
      reapedAttempts.add(key);
    } else if (order.verb.equals("run") && reapedAttempts.contains(key)) {
      rerunAfterReap.add(order);
    }
  }
}
