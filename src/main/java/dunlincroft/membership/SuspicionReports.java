package dunlincroft.membership;

import dunlincroft.Constants;
import java.util.HashMap;
import java.util.Map;

/** Workers that come to us although another controller holds their machines. */
final class SuspicionReports {
  private final Map<String, Long> redirectedAt = new HashMap<>();
  private final Map<String, Map<String, Long>> reports = new HashMap<>();

  /**
   * A worker came to us and is being sent to its holder. Returns whether that speaks against the
   * holder: the worker comes back, or the holder is {@code suspected} anyway. It may be the worker
   * that does not hear: who is told to accuse must have answered us.
   */
  boolean recordRedirect(String host, boolean suspected, long nowMs) {
    Long previous = redirectedAt.put(host, nowMs);
    boolean isRepeated = previous != null && nowMs - previous < Constants.ACCUSE_WINDOW_MS;
    return isRepeated || suspected;
  }

  /** A worker of a shard, which hears us, does not reach the holder. */
  void reportUnreachable(String host, String shard, long nowMs) {
    reports.computeIfAbsent(shard, s -> new HashMap<>()).put(host, nowMs);
  }

  /** How many workers accuse the holder of a shard. */
  int count(String shard, long nowMs) {
    Map<String, Long> hosts = reports.get(shard);
    if (hosts == null) {
      return 0;
    }
    hosts.values().removeIf(reportedAt -> nowMs - reportedAt > Constants.ACCUSE_WINDOW_MS);
    return hosts.size();
  }

  /** The shard changed hands: what was said of its holder is void. */
  void forget(String shard) {
    reports.remove(shard);
    redirectedAt.clear();
  }

  /** We stood still: workers went elsewhere for our own silence's sake. */
  void forgetAll() {
    reports.clear();
    redirectedAt.clear();
  }
}
