package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.LogRecord;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import java.util.TreeMap;

/**
 * The log of a shard that this controller owns. It consists of slots, which are keys of the state
 * service that are filled one after the other. A slot is reused once pages include all of its
 * entries. Only one write is in flight at a time.
 */
final class ShardLog {
  /** A slot of the log, as it is recorded. */
  private static final class Slot {
    private final int index;
    private long stamp;

    /** Number of the last entry; 0: there is none. */
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

  /** Slots never become smaller than this, in characters: an entry must fit. */
  private static final int MIN_SLOT_BYTES = 512;

  final String shard;

  /** Stamp of the shard's record under which this controller owns the shard and its log. */
  final long ownershipStamp;

  /** A write is in flight, or its outcome is not known yet. */
  boolean writeInFlight;

  long lastWriteAt;

  /** All entries up to this number are known to be recorded, or never will be. */
  long lastSettledEntry;

  /** Largest size of a slot that the state service has not rejected yet. */
  private int maxSlotBytes = Constants.MAX_LOG_SLOT_BYTES;

  private final TreeMap<Integer, Slot> slots = new TreeMap<>();
  private Slot currentSlot;
  private long lastEntryNumber;

  ShardLog(ClusterState cluster, String shard) {
    this.shard = shard;
    this.ownershipStamp = cluster.ownedShards.getLong(shard);
    this.lastEntryNumber = cluster.jobIndex.lastEntryNumber(shard);
    this.lastSettledEntry = lastEntryNumber;
    cluster
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

  /** A number that no entry of this period of ownership has had. */
  long nextEntryNumber() {
    lastEntryNumber++;
    return lastEntryNumber;
  }

  /**
   * Number of slots that are still needed, given the oldest entry that some page does not include.
   */
  int usedSlots(long oldestUncovered) {
    return (int) slots.values().stream().filter(slot -> slot.lastEntry >= oldestUncovered).count();
  }

  /** Continues with a slot whose entries are all included in pages, or with a new one. */
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

  /**
   * The state service has rejected a write of the current slot for its size: no slot will be as
   * large again, and the log goes on in another one.
   */
  void onSlotTooLarge() {
    maxSlotBytes = Math.max(MIN_SLOT_BYTES, maxSlotBytes / 2);
    currentSlot = null;
  }

  /** Largest size of a slot, in characters. */
  int maxSlotBytes() {
    return maxSlotBytes;
  }

  boolean hasCurrentSlot() {
    return currentSlot != null;
  }

  /** Size of the entries in the current slot, in characters. */
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

  /**
   * A copy of the current slot with more entries. The recorded slot is not modified, as others may
   * be reading it.
   */
  ObjectNode currentSlotWith(Iterable<ObjectNode> newEntries) {
    ObjectNode updated = Cbor.map();
    ArrayNode list = updated.putArray("log").addAll(currentSlot.entries);
    newEntries.forEach(list::add);
    return updated;
  }

  /**
   * Sets the content and stamp with which the current slot is recorded; null: it does not exist.
   */
  void setCurrentSlot(JsonNode data, long stamp) {
    currentSlot.load(data, stamp);
  }

  /** Whether the current slot is recorded exactly as it was written, and not by another owner. */
  boolean isRecorded(JsonNode written) throws MalformedException {
    LogRecord recordedSlot = LogRecord.parse(Cbor.map().set("log", currentSlot.entries));
    return recordedSlot.equals(LogRecord.parse(written));
  }
}
