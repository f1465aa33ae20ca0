package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records every start that transactions write to the logs of the shards. No task may be started
 * again once it is recorded as done, and no attempt number may be used for two starts, also when
 * the controller that wrote them has crashed.
 */
final class StartLog {
  private static final String LOGS = Wire.key(Replica.LOGS, "");

  private final Set<String> seenEntries = new HashSet<>();
  private final Set<String> doneTasks = new HashSet<>();
  private final Map<Long, String> startsByAttempt = new HashMap<>();

  /** Starts of tasks that an earlier entry records as done. */
  final List<String> startsOfDoneTasks = new ArrayList<>();

  /** Attempt numbers that two entries use for different jobs or machines. */
  final List<String> reusedAttempts = new ArrayList<>();

  StartLog(SimCluster cluster) {
    cluster.net.transactionListeners.add(this::onTransaction);
  }

  /** Number of tasks recorded as done so far. */
  int doneCount() {
    return doneTasks.size();
  }

  private void onTransaction(String from, ObjectNode body, int status) {
    for (JsonNode change : body.path("apply")) {
      String key = change.path("put").asText();
      if (status == 200 && key.startsWith(LOGS)) {
        String shard = key.substring(LOGS.length(), key.lastIndexOf('/'));
        change.path("data").path("log").forEach(entry -> onLogEntry(shard, entry));
      }
    }
  }

  private void onLogEntry(String shard, JsonNode entry) {
    String ref = entry.path("job").asText();
    if (!seenEntries.add(shard + " " + entry.path("n").asLong() + " " + ref)) {
      return;
    }
    for (JsonNode group : entry.path("at")) {
      long attempt = group.get(1).asLong();
      String start = ref + " on " + group.get(0).asText();
      String other = startsByAttempt.putIfAbsent(attempt, start);
      if (other != null && !other.equals(start)) {
        reusedAttempts.add(attempt + ": " + other + ", " + start);
      }
      for (int i = 2; i < group.size(); i++) {
        String taskName = Wire.taskId(ref, group.get(i).asInt());
        if (doneTasks.contains(taskName)) {
          startsOfDoneTasks.add(taskName);
        }
      }
    }
    JsonNode ranges = entry.path("done");
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      for (int task = ranges.get(i).asInt(); task < ranges.get(i + 1).asInt(); task++) {
        doneTasks.add(Wire.taskId(ref, task));
      }
    }
  }
}
