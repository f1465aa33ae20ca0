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
 * Every start that is recorded, as the transactions on the logs show: no task starts again that is
 * recorded as done, and no try is given to two starts, whatever became of its controller.
 */
final class StartLog {
  private static final String LOGS = Wire.key(Replica.LOGS, "");

  private final Set<String> read = new HashSet<>();
  private final Set<String> done = new HashSet<>();
  private final Map<Long, String> tries = new HashMap<>();

  /** Starts of tasks that an earlier entry names as done. */
  final List<String> startsOfDone = new ArrayList<>();

  /** Tries that two entries give to different jobs or machines. */
  final List<String> repeatedTries = new ArrayList<>();

  StartLog(SimCluster cluster) {
    cluster.net.transactionListeners.add(this::carriedOut);
  }

  /** Tasks recorded as done so far. */
  int done() {
    return done.size();
  }

  private void carriedOut(String from, ObjectNode body, int status) {
    for (JsonNode change : body.path("apply")) {
      String key = change.path("put").asText();
      if (status == 200 && key.startsWith(LOGS)) {
        String shard = key.substring(LOGS.length(), key.lastIndexOf('/'));
        change.path("data").path("log").forEach(entry -> entry(shard, entry));
      }
    }
  }

  private void entry(String shard, JsonNode entry) {
    String ref = entry.path("job").asText();
    if (!read.add(shard + " " + entry.path("n").asLong() + " " + ref)) {
      return;
    }
    for (JsonNode group : entry.path("at")) {
      long attempt = group.get(1).asLong();
      String start = ref + " on " + group.get(0).asText();
      String other = tries.putIfAbsent(attempt, start);
      if (other != null && !other.equals(start)) {
        repeatedTries.add(attempt + ": " + other + ", " + start);
      }
      for (int i = 2; i < group.size(); i++) {
        String piece = Wire.taskId(ref, group.get(i).asInt());
        if (done.contains(piece)) {
          startsOfDone.add(piece);
        }
      }
    }
    JsonNode ranges = entry.path("done");
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      for (int task = ranges.get(i).asInt(); task < ranges.get(i + 1).asInt(); task++) {
        done.add(Wire.taskId(ref, task));
      }
    }
  }
}
