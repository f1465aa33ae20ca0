package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Observes changes of shard ownership in the transactions that the state service executes: the last
 * write of the old owner, the ownership record, and the first write and first placements of the new
 * owner.
 */
final class OwnershipChanges {
  /** Time of something that has not happened yet. */
  static final long NOT_YET = Long.MAX_VALUE;

  private static final String PUT = "put";
  private static final String SHARDS = Wire.key(Replica.SHARDS, "");
  private static final String CANCELS = Wire.key(Replica.CANCELS, "");
  private static final String BLOCKS = Wire.key(Replica.BLOCKS, "");
  private static final String SHARES = Wire.key(Replica.SHARES, "");

  /**
   * One change of ownership of one shard, also from one incarnation of a controller to its next.
   */
  static final class Change {
    final String shard;
    final String from;
    final String to;

    /** Whether the old owner itself wrote the record (a planned handover). */
    final boolean planned;

    final long lastOldWriteAt;
    final long recordedAt;
    long firstNewWriteAt = NOT_YET;
    long firstPlacementAt = NOT_YET;

    private Change(
        String shard, String from, String to, boolean planned, long lastOldWriteAt, long at) {
      this.shard = shard;
      this.from = from;
      this.to = to;
      this.planned = planned;
      this.lastOldWriteAt = lastOldWriteAt;
      this.recordedAt = at;
    }
  }

  /** The observed steps of a change, in order. */
  enum Step {
    RECORDED,
    FIRST_WRITE,
    FIRST_PLACEMENT
  }

  /** Notified of each step as it is observed. */
  interface Listener {
    void onStep(Step step, Change change);
  }

  private final SimCluster cluster;
  final List<Change> changes = new ArrayList<>();
  final List<Listener> listeners = new ArrayList<>();

  /**
   * Notified of the source shard when a block or a part of a team's share is transferred to another
   * shard.
   */
  final List<Consumer<String>> transferListeners = new ArrayList<>();

  int blocksTransferred;
  int sharesTransferred;
  private final Map<String, String> owners = new HashMap<>();
  private final Map<String, Long> lastWrites = new HashMap<>();
  private final Map<String, Change> pendingChanges = new HashMap<>();
  private final Map<String, String> shardsOfBlocks = new HashMap<>();

  OwnershipChanges(SimCluster cluster) {
    this.cluster = cluster;
    cluster.net.transactionListeners.add(this::onTransaction);
  }

  private void onTransaction(String from, ObjectNode body, int status) {
    if (status != 200) {
      return;
    }
    boolean placesTasks = false;
    for (JsonNode guard : body.path("guards")) {
      placesTasks |=
          guard.path("key").asText().startsWith(CANCELS) && guard.path("stamp").asLong() == 0;
    }
    for (JsonNode guard : body.path("guards")) {
      String key = guard.path("key").asText();
      if (key.startsWith(SHARDS)) {
        onShardWrite(key.substring(SHARDS.length()), from, body, placesTasks);
      }
    }
  }

  private void onShardWrite(String shard, String from, ObjectNode body, boolean placesTasks) {
    for (JsonNode change : body.path("apply")) {
      String key = change.path(PUT).asText();
      if (key.equals(SHARDS + shard)) {
        onOwnerRecorded(shard, from, change.path("data").path("holder").asText());
        return;
      }
      recordTransfer(shard, key, change.path("data"));
    }
    lastWrites.put(shard, cluster.clock.now());
    Change current = pendingChanges.get(shard);
    if (current == null) {
      return;
    }
    if (current.firstNewWriteAt == NOT_YET) {
      current.firstNewWriteAt = cluster.clock.now();
      notifyListeners(Step.FIRST_WRITE, current);
    }
    if (placesTasks) {
      current.firstPlacementAt = cluster.clock.now();
      pendingChanges.remove(shard);
      notifyListeners(Step.FIRST_PLACEMENT, current);
    }
  }

  private void onOwnerRecorded(String shard, String from, String to) {
    String previous = owners.put(shard, to);
    if (previous == null) {
      return;
    }
    boolean planned =
        !previous.equals(to) && from.equals(cluster.nodeAddress(cluster.nodeIndex(previous)));
    long lastWriteAt = lastWrites.getOrDefault(shard, 0L);
    Change change = new Change(shard, previous, to, planned, lastWriteAt, cluster.clock.now());
    changes.add(change);
    pendingChanges.put(shard, change);
    notifyListeners(Step.RECORDED, change);
  }

  private void recordTransfer(String shard, String key, JsonNode data) {
    if (key.startsWith(BLOCKS)) {
      String previousShard = shardsOfBlocks.put(key, data.path("shard").asText());
      boolean moved =
          !data.path("shard").asText().equals(previousShard == null ? shard : previousShard);
      blocksTransferred += moved ? 1 : 0;
      if (moved) {
        transferListeners.forEach(each -> each.accept(shard));
      }
    } else if (key.startsWith(SHARES)) {
      sharesTransferred++;
      transferListeners.forEach(each -> each.accept(shard));
    }
  }

  private void notifyListeners(Step step, Change change) {
    listeners.forEach(each -> each.onStep(step, change));
  }
}
