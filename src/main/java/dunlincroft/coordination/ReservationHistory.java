package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.JobIndex;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which waiting jobs had all that they need, by the records, and did not start all the same: their
 * machines may hang, or fail their tasks. Others come first for a while, or a part of a limit would
 * lie idle at their shard.
 */
final class ReservationHistory {
  /** How far a job was when it was first seen with all it needs; passed over until then. */
  private record Observation(int startedTasks, long sinceMs, long deferredUntilMs) {}

  private final ClusterState cluster;
  private final Map<String, Observation> observations = new HashMap<>();

  ReservationHistory(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Forgets jobs that do not wait any more. */
  void retainWaiting(Collection<List<JobIndex.Job>> waiting) {
    Set<String> waitingRefs = new HashSet<>();
    waiting.forEach(jobs -> jobs.forEach(job -> waitingRefs.add(job.spec.ref())));
    observations.keySet().retainAll(waitingRefs);
  }

  /**
   * Whether others come before a job now.
   *
   * @param canStart its shard has a machine with room and an unused part of the limit for a task
   */
  boolean isDeferred(JobIndex.Job job, boolean canStart) {
    long now = cluster.now();
    String ref = job.spec.ref();
    int startedTasks = job.done() + job.placed();
    Observation previous = observations.get(ref);
    if (previous != null && previous.startedTasks != startedTasks) {
      previous = null;
      observations.remove(ref);
    }
    if (previous != null && now < previous.deferredUntilMs) {
      return true;
    }
    if (!canStart) {
      observations.remove(ref);
    } else if (previous == null || previous.deferredUntilMs > 0) {
      observations.put(ref, new Observation(startedTasks, now, 0));
    } else if (now - previous.sinceMs > Constants.CLAIM_PATIENCE_MS) {
      observations.put(ref, new Observation(startedTasks, now, now + Constants.CLAIM_PASSED_MS));
      return true;
    }
    return false;
  }
}
