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
 * Records when the cancellation of each job was written to the state service, the shard of each
 * job, and any start of a cancelled job that was recorded afterwards.
 */
final class CancellationLog {
  private static final String JOBS = Wire.key(Replica.JOBS, "");
  private static final String CANCELS = Wire.key(Replica.CANCELS, "");

  private final SimCluster cluster;
  private final Map<String, String> shards = new HashMap<>();
  private final Set<String> endedJobs = new HashSet<>();

  /** When the cancellation of each job was written. */
  final Map<String, Long> recordedAt = new HashMap<>();

  /** Starts that were first recorded after the cancellation of their job was written. */
  final List<String> startsAfterCancellation = new ArrayList<>();

  /**
   * Starts recorded after the end of their job. They are harmless: no worker runs them, and readers
   * of the log ignore them.
   */
  int startsAfterEnd;

  /** All starts recorded. */
  final Set<String> starts = new HashSet<>();

  /** Cancellations rejected because the end of the job had already been written. */
  int cancelledAfterEnd;

  CancellationLog(SimCluster cluster) {
    this.cluster = cluster;
    cluster.net.transactionListeners.add(this::onTransaction);
  }

  /** The shard of a job; null if the job has not been accepted yet. */
  String shardOf(String ref) {
    return shards.get(ref);
  }

  /** Whether a job has been accepted and has neither ended nor been cancelled. */
  boolean isOpen(String ref) {
    return shards.containsKey(ref) && !endedJobs.contains(ref) && !recordedAt.containsKey(ref);
  }

  /**
   * Number of jobs of a shard whose cancellation was confirmed to their users between two times.
   */
  long confirmedCancellations(String shard, long from, long to) {
    return cluster.checks.cancelConfirmedAt.entrySet().stream()
        .filter(each -> each.getValue() >= from && each.getValue() <= to)
        .filter(each -> shard.equals(shards.get(each.getKey())))
        .count();
  }

  private void onTransaction(String from, ObjectNode body, int status) {
    for (JsonNode change : body.path("apply")) {
      String key = change.path("put").asText();
      if (key.startsWith(CANCELS)) {
        onCancellation(key.substring(CANCELS.length()), status);
      } else if (status == 200 && key.startsWith(JOBS)) {
        onJobRecord(key.substring(JOBS.length()), change.path("data"));
      } else if (status == 200) {
        change.path("data").path("log").forEach(this::onLogEntry);
      }
    }
  }

  private void onCancellation(String ref, int status) {
    if (status == 200) {
      recordedAt.putIfAbsent(ref, cluster.clock.now());
    } else if (endedJobs.contains(ref)) {
      cancelledAfterEnd++;
    }
  }

  private void onJobRecord(String ref, JsonNode data) {
    if (data.has(Replica.STATUS)) {
      endedJobs.add(ref);
    } else {
      shards.put(ref, data.path("shard").asText());
    }
  }

  private void onLogEntry(JsonNode entry) {
    String ref = entry.path("job").asText();
    for (JsonNode group : entry.path("at")) {
      for (int i = 2; i < group.size(); i++) {
        String start = Wire.taskId(ref, group.get(i).asInt()) + " attempt " + group.get(1).asLong();
        if (!starts.add(start)) {
          continue;
        }
        if (endedJobs.contains(ref)) {
          startsAfterEnd++;
        } else if (recordedAt.containsKey(ref)) {
          startsAfterCancellation.add(cluster.clock.now() + " " + start);
        }
      }
    }
  }
}
