package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Wire;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * This node's copy of every key of the state service, by kind and name. It is updated from the
 * change feed and from this node's own commits, in any order: the change with the higher stamp
 * wins, and a removal is remembered as a tombstone until the feed has passed it.
 */
public final class Replica {
  /** A value and its stamp, the revision at which the key was last written. */
  public record Item(JsonNode data, long stamp) {}

  /** Running controllers; each record is tied to its controller's session. */
  public static final String CONTROLLERS = "controllers";

  /** The current leader. */
  public static final String LEADER = "leader";

  /** Leases by which the leader assigns blocks to shards. */
  public static final String LEASES = "leases";

  /** The owner of each shard. */
  public static final String SHARDS = "shards";

  /** How each team's limit is divided between the shards. */
  public static final String SHARES = "shares";

  /** Blocks of machines, each leased to a shard. */
  public static final String BLOCKS = "blocks";

  /** Names of the blocks that the leader created when it last leased newly discovered machines. */
  public static final String DISCOVERED_BLOCKS = "adoptions";

  /** Records of jobs. */
  public static final String JOBS = "jobs";

  /** Pages with the state of a job's tasks. */
  public static final String PAGES = "pages";

  /** Slots of the shards' logs. */
  public static final String LOGS = "logs";

  /** Requested cancellations of jobs. */
  public static final String CANCELS = "cancels";

  /**
   * Final states of jobs. They are now written to the job's own key, where they replace the job's
   * record in one change; earlier versions wrote them to keys of this kind, which are still read.
   */
  public static final String ENDED = "ended";

  /** Field of a job's key that is present only in a final state. */
  public static final String STATUS = "status";

  /** Machine types of the platform. */
  public static final String TYPES = "types";

  /** Manifests of operators' documents; the text is in {@link #DOCUMENT_PAGES}. */
  public static final String DOCUMENTS = "documents";

  /** Pages of the versions of operators' documents. */
  public static final String DOCUMENT_PAGES = "docpages";

  /** Recorded nights of the settlement calendar. */
  public static final String NIGHTS = "nights";

  /** Current phase of each workload's migration from its old side to its new side. */
  public static final String MIGRATIONS = "migrations";

  /** History of the phases of each migration. */
  public static final String MIGRATION_HISTORY = "migrationlog";

  /** Operators' requests to start, pause, resume or revert a migration. */
  public static final String MIGRATION_REQUESTS = "migrationasks";

  private final Map<String, Object2ObjectLinkedOpenHashMap<String, Item>> kinds =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2LongLinkedOpenHashMap<String> tombstones =
      new Object2LongLinkedOpenHashMap<>();
  private BiConsumer<String, String> listener = (kind, name) -> {};
  private long revision;
  private boolean finalStatesEvicted;

  /** Sets the listener, which gets kind and name of every change after it has become visible. */
  public void setListener(BiConsumer<String, String> changed) {
    listener = changed;
  }

  /** The revision of the state service up to which the replica contains every change. */
  public long revision() {
    return revision;
  }

  /** Records that the change feed is complete up to a revision; drops tombstones up to it. */
  void advanceTo(long reached) {
    if (reached > revision) {
      revision = reached;
      while (!tombstones.isEmpty() && tombstones.getLong(tombstones.firstKey()) <= revision) {
        tombstones.removeFirstLong();
      }
    }
  }

  /** Whether final states were evicted from memory: these must be read from the state service. */
  public boolean hasEvictedFinalStates() {
    return finalStatesEvicted;
  }

  /** All items of a kind, by name. */
  public Map<String, Item> items(String kind) {
    return kinds.computeIfAbsent(kind, k -> new Object2ObjectLinkedOpenHashMap<>());
  }

  public Item get(String kind, String name) {
    return items(kind).get(name);
  }

  /** The stamp to use in a guard for a key; 0 if the key does not exist. */
  public long stamp(String kind, String name) {
    Item item = get(kind, name);
    return item == null ? 0 : item.stamp;
  }

  /** Like {@link #stamp}, for a complete key. */
  public long stampOf(String key) {
    long[] stamp = new long[1];
    splitKey(key, (kind, name) -> stamp[0] = stamp(kind, name));
    return stamp[0];
  }

  private interface KeyHandler {
    void handle(String kind, String name);
  }

  private static void splitKey(String key, KeyHandler handler) {
    int slash = key.indexOf('/', Wire.KEY_ROOT.length());
    if (key.startsWith(Wire.KEY_ROOT) && slash > 0) {
      handler.handle(key.substring(Wire.KEY_ROOT.length(), slash), key.substring(slash + 1));
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
            return; // Written before the job reached its final state.
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
      if (kind.equals(ENDED) && itemsOfKind.size() > Constants.MAX_ENDED_JOBS_IN_MEMORY) {
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

  /** Complete keys of everything but final states, in order. */
  List<String> keysInOrder() {
    List<String> keys = new ArrayList<>();
    kinds.forEach(
        (kind, items) -> {
          if (!kind.equals(ENDED)) {
            items.keySet().forEach(name -> keys.add(Wire.key(kind, name)));
          }
        });
    Collections.sort(keys);
    return keys;
  }

  /**
   * After a complete listing: removes keys that it did not contain, unless they were written after
   * the revision at which it began.
   */
  void removeVanished(List<String> keys, long listRevision) {
    for (String key : keys) {
      splitKey(
          key,
          (kind, name) -> {
            Item item = get(kind, name);
            if (item != null && item.stamp <= listRevision) {
              items(kind).remove(name);
              listener.accept(kind, name);
            }
          });
    }
  }
}
