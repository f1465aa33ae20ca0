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
 * The order in which controllers succeed a failed one, shard by shard. All compute it from the same
 * records, so that they do not race; where their views differ, a guarded write decides.
 */
final class Succession {
  /** A possible successor: its zone, and how many leased shards it owns already. */
  record Candidate(String node, String zone, int leased) {}

  private Succession() {}

  /**
   * For each of the failed controller's shards, in the given order (those with machines first), all
   * candidates, the best first. Candidates in other zones than the failed one come first, as its
   * whole zone may be failing; then those with the fewest leased shards, including those assigned
   * to them here; ties are broken by the hash of shard and name.
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
