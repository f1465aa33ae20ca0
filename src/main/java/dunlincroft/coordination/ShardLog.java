package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.LogRecord;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Wire;
import java.util.TreeMap;

/**
 * The log of a shard that we hold: slots in the state service that are filled one after the other.
 * A slot is filled anew once no page misses anything that only it says. One write is out at a time.
 */
final class ShardLog {
  /** A slot as it is recorded. */
  private static final class Slot {
    private final int index;
    private long stamp;

    /** The number of its last entry. */
    private long last;

    private ArrayNode entries = Cbor.map().putArray("log");

    Slot(int index) {
      this.index = index;
    }

    private void take(JsonNode data, long newStamp) {
      stamp = newStamp;
      entries = data == null ? Cbor.map().putArray("log") : (ArrayNode) data.path("log").deepCopy();
      last = entries.isEmpty() ? 0 : entries.get(entries.size() - 1).path("n").asLong();
    }

    private int bytes() {
      return entries.toString().length();
    }
  }

  final String shard;

  /** The stamp under which we hold the shard, and with it this log. */
  final long heldSince;

  /** A write is out, or its outcome is not known yet. */
  boolean busy;

  long lastWriteAt;

  /** All entries up to this number are known to be recorded, or never to be. */
  long settled;

  private final TreeMap<Integer, Slot> slots = new TreeMap<>();
  private Slot current;
  private long number;

  ShardLog(ClusterState world, String shard) {
    this.shard = shard;
    this.heldSince = world.ownedShards.getLong(shard);
    this.number = world.jobIndex.lastEntryNumber(shard);
    this.settled = number;
    world
        .replica
        .items(Replica.LOGS)
        .forEach(
            (name, item) -> {
              int slash = name.lastIndexOf('/');
              if (name.substring(0, slash).equals(shard)) {
                Slot slot = new Slot(Integer.parseInt(name.substring(slash + 1)));
                slot.take(item.data(), item.stamp());
                slots.put(slot.index, slot);
              }
            });
  }

  /** A number that no entry of this holding had yet. */
  long nextNumber() {
    number++;
    return number;
  }

  /** Slots that say something which no page holds, when pages miss entries from here on. */
  int used(long oldestMissing) {
    return (int) slots.values().stream().filter(slot -> slot.last >= oldestMissing).count();
  }

  /** Goes on to a slot that says nothing any more, or to a new one. */
  void nextSlot(long oldestMissing) {
    Slot free = null;
    for (Slot slot : slots.values()) {
      if (slot != current && slot.last < oldestMissing && free == null) {
        free = slot;
      }
    }
    if (free == null) {
      free = new Slot(slots.isEmpty() ? 0 : slots.lastKey() + 1);
      slots.put(free.index, free);
    }
    current = free;
    current.entries = Cbor.map().putArray("log");
  }

  boolean started() {
    return current != null;
  }

  /** Characters in the present slot, and whether any entry is there. */
  int bytes() {
    return current.bytes();
  }

  boolean fresh() {
    return current.entries.isEmpty();
  }

  String key() {
    return Wire.key(Replica.LOGS, JobIndex.slotName(shard, current.index));
  }

  long stamp() {
    return current.stamp;
  }

  /** The present slot with more entries; what is recorded must not change under its readers. */
  ObjectNode with(Iterable<ObjectNode> more) {
    ObjectNode map = Cbor.map();
    ArrayNode list = map.putArray("log").addAll(current.entries);
    more.forEach(list::add);
    return map;
  }

  /** The present slot is known to be recorded like this; null: not at all. */
  void recorded(JsonNode data, long stamp) {
    current.take(data, stamp);
  }

  /** Whether the present slot is recorded just as it was written, and not by somebody else. */
  boolean isRecorded(JsonNode written) throws Malformed {
    LogRecord there = LogRecord.parse(Cbor.map().set("log", current.entries));
    return there.equals(LogRecord.parse(written));
  }
}
