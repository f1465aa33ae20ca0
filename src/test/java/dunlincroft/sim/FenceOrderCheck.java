package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Checks that no former owner of a machine gives it starts under a fence that its present owner's
 * records do not exceed. The records alone are what an owner of an earlier version knows.
 */
final class FenceOrderCheck {
  private final SimCluster cluster;

  /** Blocks by host, and the revision at which the block was last written. */
  private final Map<String, String> shardByHost = new HashMap<>();

  private final Map<String, Long> blockRevisions = new HashMap<>();

  /** Owner of each shard, and the revision at which its record was last written. */
  private final Map<String, String> ownerByShard = new HashMap<>();

  private final Map<String, Long> shardRevisions = new HashMap<>();

  /** Starts that were accepted, and those of them that a former owner sent too high. */
  int acceptedStarts;

  final List<String> violations = new ArrayList<>();

  FenceOrderCheck(SimCluster cluster) {
    this.cluster = cluster;
    cluster.net.transactionListeners.add(this::onTransaction);
    cluster.onOrdersAccepted = this::onOrders;
  }

  private void onTransaction(String from, ObjectNode body, int status) {
    if (status != 200) {
      return;
    }
    for (JsonNode change : body.path("apply")) {
      String key = change.path("put").asText();
      JsonNode data = change.path("data");
      if (key.startsWith("d/shards/")) {
        String shard = key.substring("d/shards/".length());
        ownerByShard.put(shard, data.path("holder").asText());
        shardRevisions.put(shard, cluster.state.revision());
      } else if (key.startsWith("d/blocks/")) {
        for (Iterator<String> hosts = data.path("hosts").fieldNames(); hosts.hasNext(); ) {
          String host = hosts.next();
          shardByHost.put(host, data.path("shard").asText());
          blockRevisions.put(host, cluster.state.revision());
        }
      }
    }
  }

  private void onOrders(SimWorker worker, JsonNode message) {
    String shard = shardByHost.get(worker.host);
    String owner = ownerByShard.get(shard);
    boolean hasStart = false;
    for (JsonNode order : message.path("orders")) {
      hasStart |= order.path("verb").asText().equals("run");
    }
    if (owner == null || !hasStart) {
      return;
    }
    acceptedStarts++;
    long recordedFence = Math.max(blockRevisions.get(worker.host), shardRevisions.get(shard));
    boolean isOwner =
        message
            .path(SimWorker.SENDER)
            .asText()
            .equals(cluster.nodeAddress(cluster.nodeIndex(owner)));
    if (!isOwner && message.path("fence").asLong() >= recordedFence) {
      violations.add(worker.host + " took starts of a former owner: " + message);
    }
  }
}
