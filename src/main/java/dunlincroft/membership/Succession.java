package dunlincroft.membership;

import dunlincroft.protocol.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Who succeeds a controller, shard by shard. Everybody computes the same order from what is
 * recorded, so that it is planned and not raced; where views differ, a guarded write decides.
 */
final class Succession {
  /** A controller that could succeed: its zone, and how many leased shards it has already. */
  record Candidate(String node, String zone, int leased) {}

  private Succession() {}

  /**
   * For each of the failed controller's shards, in the order given (those with machines first), all
   * candidates, the best first. Those in another zone than the failed one's come first, as that
   * zone may be going; then who has the fewest leased shards, counting those that come to it here;
   * the hash of shard and name decides between equals.
   */
  static Map<String, List<String>> plan(
      Collection<String> shards, String failedZone, Collection<Candidate> candidates) {
    Map<String, Integer> load = new HashMap<>();
    candidates.forEach(candidate -> load.put(candidate.node(), candidate.leased()));
    Map<String, List<String>> plan = new LinkedHashMap<>();
    for (String shard : shards) {
      List<Candidate> order = new ArrayList<>(candidates);
      order.sort(
          Comparator.comparing((Candidate candidate) -> candidate.zone().equals(failedZone))
              .thenComparing(candidate -> load.get(candidate.node()))
              .thenComparing(candidate -> Hashing.of(shard + "|" + candidate.node()))
              .thenComparing(Candidate::node));
      plan.put(shard, order.stream().map(Candidate::node).toList());
      if (!order.isEmpty()) {
        load.merge(order.get(0).node(), 1, Integer::sum);
      }
    }
    return plan;
  }
}
