package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Wire;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * This node's copy of every key, by kind and name, kept by the change feed and by our own commits.
 * Sources may arrive in any order: the higher stamp wins, and a removal is remembered until the
 * feed has passed it.
 */
public final class Replica {
  /** A value and its stamp. */
  public record Item(JsonNode data, long stamp) {}

  public static final String CONTROLLERS = "controllers";
  public static final String LEADER = "leader";
  public static final String LEASES = "leases";
  public static final String SHARDS = "shards";
  public static final String SHARES = "shares";
  public static final String BLOCKS = "blocks";
  public static final String JOBS = "jobs";
  public static final String PAGES = "pages";
  public static final String LOGS = "logs";
  public static final String CANCELS = "cancels";
  public static final String ENDED = "ended";
  public static final String TYPES = "types";

  private final Map<String, Object2ObjectLinkedOpenHashMap<String, Item>> kinds =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2LongLinkedOpenHashMap<String> removed = new Object2LongLinkedOpenHashMap<>();
  private BiConsumer<String, String> listener = (kind, name) -> {};
  private long epoch;

  /** Told of every change as kind and name, after it is visible. */
  public void listener(BiConsumer<String, String> changed) {
    listener = changed;
  }

  public long epoch() {
    return epoch;
  }

  /** The feed is complete up to here. */
  void epoch(long reached) {
    if (reached > epoch) {
      epoch = reached;
      while (!removed.isEmpty() && removed.getLong(removed.firstKey()) <= epoch) {
        removed.removeFirstLong();
      }
    }
  }

  public Map<String, Item> kind(String kind) {
    return kinds.computeIfAbsent(kind, k -> new Object2ObjectLinkedOpenHashMap<>());
  }

  public Item get(String kind, String name) {
    return kind(kind).get(name);
  }

  /** The stamp to guard a key with; 0 when it does not exist. */
  public long stamp(String kind, String name) {
    Item item = get(kind, name);
    return item == null ? 0 : item.stamp;
  }

  private interface Change {
    void on(String kind, String name);
  }

  private static void split(String key, Change change) {
    int slash = key.indexOf('/', Wire.ROOT.length());
    if (key.startsWith(Wire.ROOT) && slash > 0) {
      change.on(key.substring(Wire.ROOT.length(), slash), key.substring(slash + 1));
    }
  }

  void put(String key, JsonNode data, long stamp) {
    if (removed.getOrDefault(key, 0L) > stamp) {
      return;
    }
    split(
        key,
        (kind, name) -> {
          Object2ObjectLinkedOpenHashMap<String, Item> items =
              (Object2ObjectLinkedOpenHashMap<String, Item>) kind(kind);
          Item known = items.get(name);
          if (known == null || known.stamp < stamp) {
            items.put(name, new Item(data, stamp));
            if (kind.equals(ENDED) && items.size() > Constants.ENDED_IN_MEMORY) {
              items.removeFirst();
            }
            listener.accept(kind, name);
          }
        });
  }

  void remove(String key, long stamp) {
    split(
        key,
        (kind, name) -> {
          Item known = get(kind, name);
          if (known != null && known.stamp < stamp) {
            kind(kind).remove(name);
            if (stamp > epoch) {
              removed.put(key, stamp);
            }
            listener.accept(kind, name);
          }
        });
  }

  /** After a complete reading: forgets keys that were not in it and are no newer than it began. */
  void retain(Set<String> keys, long from) {
    for (String kind : Set.copyOf(kinds.keySet())) {
      if (kind.equals(ENDED)) {
        continue;
      }
      for (String name : new HashSet<>(kind(kind).keySet())) {
        Item item = get(kind, name);
        if (item.stamp <= from && !keys.contains(Wire.key(kind, name))) {
          kind(kind).remove(name);
          listener.accept(kind, name);
        }
      }
    }
  }
}
