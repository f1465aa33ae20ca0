package dunlincroft.membership;

import dunlincroft.Constants;
import java.util.HashMap;
import java.util.Map;

/** Counts workers that do not reach the owner of their shard and report to this node instead. */
final class SuspicionReports {
  private final Map<String, Long> redirectedAt = new HashMap<>();
  private final Map<String, Map<String, Long>> reports = new HashMap<>();

  /**
   * Records that a worker reported here and is being redirected to its owner. Returns whether that
   * is evidence against the owner: the worker returned within {@link
   * Constants#SUSPICION_WINDOW_MS}, or the owner is {@code suspected} anyway. The fault may be on
   * the worker's side: the caller must check that the worker answers before it calls {@link
   * #reportUnreachable}.
   */
  boolean recordRedirect(String host, boolean suspected, long nowMs) {
    Long previous = redirectedAt.put(host, nowMs);
    boolean isRepeated = previous != null && nowMs - previous < Constants.SUSPICION_WINDOW_MS;
    return isRepeated || suspected;
  }

  /** Counts a worker of a shard that answers this node but does not reach the owner. */
  void reportUnreachable(String host, String shard, long nowMs) {
    reports.computeIfAbsent(shard, s -> new HashMap<>()).put(host, nowMs);
  }

  /** How many workers report that they do not reach the owner of a shard. */
  int count(String shard, long nowMs) {
    Map<String, Long> hosts = reports.get(shard);
    if (hosts == null) {
      return 0;
    }
    hosts.values().removeIf(reportedAt -> nowMs - reportedAt > Constants.SUSPICION_WINDOW_MS);
    return hosts.size();
  }

  /** The shard has changed its owner: reports on the former one are void. */
  void forget(String shard) {
    reports.remove(shard);
    redirectedAt.clear();
  }

  /**
   * Called after this process was paused: workers turned to other controllers because this node was
   * silent.
   */
  void forgetAll() {
    reports.clear();
    redirectedAt.clear();
  }
}
