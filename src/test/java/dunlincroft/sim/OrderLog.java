package dunlincroft.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Every order that took effect at a worker, with its sender and the moment at which it left. */
final class OrderLog {
  /** An order as it was carried out; {@code direct} if it did not come in an answer to a report. */
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

  /** Tries that ran anew on a machine which had forgotten them by order: none may. */
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
