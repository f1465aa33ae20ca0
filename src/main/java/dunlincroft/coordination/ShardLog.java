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
    private long lastEntry;

    private ArrayNode entries = Cbor.map().putArray("log");

    Slot(int index) {
      this.index = index;
    }

    private void load(JsonNode data, long newStamp) {
      stamp = newStamp;
      entries = data == null ? Cbor.map().putArray("log") : (ArrayNode) data.path("log").deepCopy();
      lastEntry = entries.isEmpty() ? 0 : entries.get(entries.size() - 1).path("n").asLong();
    }

    private int bytes() {
      return entries.toString().length();
    }
  }

  final String shard;

  /** The stamp under which we hold the shard, and with it this log. */
  final long ownershipStamp;

  /** A write is out, or its outcome is not known yet. */
  boolean writeInFlight;

  long lastWriteAt;

  /** All entries up to this number are known to be recorded, or never to be. */
  long lastSettledEntry;

  private final TreeMap<Integer, Slot> slots = new TreeMap<>();
  private Slot currentSlot;
  private long lastEntryNumber;

  ShardLog(ClusterState clusterState, String shard) {
    this.shard = shard;
    this.ownershipStamp = clusterState.ownedShards.getLong(shard);
    this.lastEntryNumber = clusterState.jobIndex.lastEntryNumber(shard);
    this.lastSettledEntry = lastEntryNumber;
    clusterState
        .replica
        .items(Replica.LOGS)
        .forEach(
            (name, item) -> {
              int slash = name.lastIndexOf('/');
              if (name.substring(0, slash).equals(shard)) {
                Slot slot = new Slot(Integer.parseInt(name.substring(slash + 1)));
                slot.load(item.data(), item.stamp());
                slots.put(slot.index, slot);
              }
            });
  }

  /** A number that no entry of this holding had yet. */
  long nextEntryNumber() {
    lastEntryNumber++;
    return lastEntryNumber;
  }

  /** Slots that say something which no page holds, when pages miss entries from here on. */
  int usedSlots(long oldestUncovered) {
    return (int) slots.values().stream().filter(slot -> slot.lastEntry >= oldestUncovered).count();
  }

  /** Goes on to a slot that says nothing any more, or to a new one. */
  void advanceSlot(long oldestUncovered) {
    Slot reusable = null;
    for (Slot slot : slots.values()) {
      if (slot != currentSlot && slot.lastEntry < oldestUncovered && reusable == null) {
        reusable = slot;
      }
    }
    if (reusable == null) {
      reusable = new Slot(slots.isEmpty() ? 0 : slots.lastKey() + 1);
      slots.put(reusable.index, reusable);
    }
    currentSlot = reusable;
    currentSlot.entries = Cbor.map().putArray("log");
  }

  boolean hasCurrentSlot() {
    return currentSlot != null;
  }

  /** Characters in the present slot, and whether any entry is there. */
  int currentSlotBytes() {
    return currentSlot.bytes();
  }

  boolean isCurrentSlotEmpty() {
    return currentSlot.entries.isEmpty();
  }

  String currentSlotKey() {
    return Wire.key(Replica.LOGS, JobIndex.slotName(shard, currentSlot.index));
  }

  long currentSlotStamp() {
    return currentSlot.stamp;
  }

  /** The present slot with more entries; what is recorded must not change under its readers. */
  ObjectNode currentSlotWith(Iterable<ObjectNode> newEntries) {
    ObjectNode updated = Cbor.map();
    ArrayNode list = updated.putArray("log").addAll(currentSlot.entries);
    newEntries.forEach(list::add);
    return updated;
  }

  /** The present slot is known to be recorded like this; null: not at all. */
  void setCurrentSlot(JsonNode data, long stamp) {
    currentSlot.load(data, stamp);
  }

  /** Whether the present slot is recorded just as it was written, and not by somebody else. */
  boolean isRecorded(JsonNode written) throws Malformed {
    LogRecord recordedSlot = LogRecord.parse(Cbor.map().set("log", currentSlot.entries));
    return recordedSlot.equals(LogRecord.parse(written));
  }
}
