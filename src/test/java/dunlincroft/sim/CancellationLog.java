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
 * Which jobs the state service knows as cancelled, since when and of which shard, and whether any
 * start of theirs was recorded after that.
 */
final class CancellationLog {
  private static final String JOBS = Wire.key(Replica.JOBS, "");
  private static final String CANCELS = Wire.key(Replica.CANCELS, "");

  private final SimCluster cluster;
  private final Map<String, String> shards = new HashMap<>();
  private final Set<String> endedJobs = new HashSet<>();

  /** When the cancellation of each job was carried out. */
  final Map<String, Long> recordedAt = new HashMap<>();

  /** Starts that were recorded for the first time when their job's cancellation stood. */
  final List<String> startsAfterCancellation = new ArrayList<>();

  /** Late ones of jobs that had ended: nobody runs these, and readers of the log pass over them. */
  int startsAfterEnd;

  /** Starts recorded in all. */
  final Set<String> starts = new HashSet<>();

  /** Cancellations that came when the job's end was written already. */
  int cancelledAfterEnd;

  CancellationLog(SimCluster cluster) {
    this.cluster = cluster;
    cluster.net.transactionListeners.add(this::onTransaction);
  }

  /** The shard of a job; null: not accepted yet. */
  String shardOf(String ref) {
    return shards.get(ref);
  }

  /** Whether a job is accepted and neither ended nor cancelled. */
  boolean isOpen(String ref) {
    return shards.containsKey(ref) && !endedJobs.contains(ref) && !recordedAt.containsKey(ref);
  }

  /** Jobs of a shard whose users were told between two moments that they are cancelled. */
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
        String start = Wire.taskId(ref, group.get(i).asInt()) + " try " + group.get(1).asLong();
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
