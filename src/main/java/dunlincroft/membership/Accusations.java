package dunlincroft.membership;

import dunlincroft.Constants;
import java.util.HashMap;
import java.util.Map;

/** Workers that come to us although another controller holds their machines. */
final class Accusations {
  private final Map<String, Long> sentAway = new HashMap<>();
  private final Map<String, Map<String, Long>> returned = new HashMap<>();

  /**
   * A worker of a shard came to us and is being sent to its holder. It accuses the holder if it
   * comes back, or if the holder is {@code suspected} anyway.
   */
  void strayed(String host, String shard, boolean suspected, long nowMs) {
    Long before = sentAway.put(host, nowMs);
    boolean back = before != null && nowMs - before < Constants.ACCUSE_WINDOW_MS;
    if (back || suspected) {
      returned.computeIfAbsent(shard, s -> new HashMap<>()).put(host, nowMs);
    }
  }

  /** How many workers accuse the holder of a shard. */
  int against(String shard, long nowMs) {
    Map<String, Long> hosts = returned.get(shard);
    if (hosts == null) {
      return 0;
    }
    hosts.values().removeIf(at -> nowMs - at > Constants.ACCUSE_WINDOW_MS);
    return hosts.size();
  }

  /** The shard changed hands: what was said of its holder is void. */
  void forget(String shard) {
    returned.remove(shard);
    sentAway.clear();
  }

  /** We stood still: workers went elsewhere for our own silence's sake. */
  void forgetAll() {
    returned.clear();
    sentAway.clear();
  }
}
