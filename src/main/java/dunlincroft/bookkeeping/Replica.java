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

  /** Which blocks the leader's last lease of new machines made. */
  public static final String DISCOVERED_BLOCKS = "adoptions";

  public static final String JOBS = "jobs";
  public static final String PAGES = "pages";
  public static final String LOGS = "logs";
  public static final String CANCELS = "cancels";

  /**
   * Final states. A job's own key says its end in the place of its description, in one change; the
   * versions before wrote keys of this kind, which are still read.
   */
  public static final String ENDED = "ended";

  /** The field that tells the end of a job from its description. */
  public static final String STATUS = "status";

  public static final String TYPES = "types";

  /** Operators' documents: manifests, and pages of their versions. */
  public static final String DOCUMENTS = "documents";

  public static final String DOCUMENT_PAGES = "docpages";

  /** Nights of the settlement calendar. */
  public static final String NIGHTS = "nights";

  /** Where workloads stand between two sides, how they came there, and what operators ask. */
  public static final String MIGRATIONS = "migrations";

  public static final String MIGRATION_HISTORY = "migrationlog";
  public static final String MIGRATION_REQUESTS = "migrationasks";

  private final Map<String, Object2ObjectLinkedOpenHashMap<String, Item>> kinds =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2LongLinkedOpenHashMap<String> tombstones =
      new Object2LongLinkedOpenHashMap<>();
  private BiConsumer<String, String> listener = (kind, name) -> {};
  private long revision;
  private boolean finalStatesEvicted;

  /** Told of every change as kind and name, after it is visible. */
  public void setListener(BiConsumer<String, String> changed) {
    listener = changed;
  }

  public long revision() {
    return revision;
  }

  /** The feed is complete up to here. */
  void revision(long reached) {
    if (reached > revision) {
      revision = reached;
      while (!tombstones.isEmpty() && tombstones.getLong(tombstones.firstKey()) <= revision) {
        tombstones.removeFirstLong();
      }
    }
  }

  /** Whether some final states are no longer here: only the state service knows them. */
  public boolean hasEvictedFinalStates() {
    return finalStatesEvicted;
  }

  public Map<String, Item> items(String kind) {
    return kinds.computeIfAbsent(kind, k -> new Object2ObjectLinkedOpenHashMap<>());
  }

  public Item get(String kind, String name) {
    return items(kind).get(name);
  }

  /** The stamp to guard a key with; 0 when it does not exist. */
  public long stamp(String kind, String name) {
    Item item = get(kind, name);
    return item == null ? 0 : item.stamp;
  }

  /** The same by the whole key. */
  public long stampOf(String key) {
    long[] stamp = new long[1];
    splitKey(key, (kind, name) -> stamp[0] = stamp(kind, name));
    return stamp[0];
  }

  private interface KeyHandler {
    void handle(String kind, String name);
  }

  private static void splitKey(String key, KeyHandler handler) {
    int slash = key.indexOf('/', Wire.ROOT.length());
    if (key.startsWith(Wire.ROOT) && slash > 0) {
      handler.handle(key.substring(Wire.ROOT.length(), slash), key.substring(slash + 1));
    }
  }

  void put(String key, JsonNode data, long stamp) {
    if (tombstones.getOrDefault(key, 0L) > stamp) {
      return;
    }
    splitKey(
        key,
        (kind, name) -> {
          if (kind.equals(JOBS) && stamp(ENDED, name) > stamp) {
            return; // An older state of a job that is over.
          }
          boolean isFinal = kind.equals(JOBS) && data.has(STATUS);
          set(isFinal ? ENDED : kind, name, new Item(data, stamp));
          if (isFinal && items(JOBS).remove(name) != null) {
            listener.accept(JOBS, name);
          }
        });
  }

  private void set(String kind, String name, Item item) {
    Object2ObjectLinkedOpenHashMap<String, Item> itemsOfKind =
        (Object2ObjectLinkedOpenHashMap<String, Item>) items(kind);
    Item known = itemsOfKind.get(name);
    if (known == null || known.stamp < item.stamp) {
      itemsOfKind.put(name, item);
      if (kind.equals(ENDED) && itemsOfKind.size() > Constants.ENDED_IN_MEMORY) {
        itemsOfKind.removeFirst();
        finalStatesEvicted = true;
      }
      listener.accept(kind, name);
    }
  }

  void remove(String key, long stamp) {
    splitKey(
        key,
        (kind, name) -> {
          Item known = get(kind, name);
          if (known != null && known.stamp < stamp) {
            items(kind).remove(name);
            if (stamp > revision) {
              tombstones.put(key, stamp);
            }
            listener.accept(kind, name);
          }
        });
  }

  /** After a complete reading: forgets keys that were not in it and are no newer than it began. */
  void retain(Set<String> keys, long listRevision) {
    for (String kind : Set.copyOf(kinds.keySet())) {
      if (kind.equals(ENDED)) {
        continue;
      }
      for (String name : new HashSet<>(items(kind).keySet())) {
        Item item = get(kind, name);
        if (item.stamp <= listRevision && !keys.contains(Wire.key(kind, name))) {
          items(kind).remove(name);
          listener.accept(kind, name);
        }
      }
    }
  }
}
