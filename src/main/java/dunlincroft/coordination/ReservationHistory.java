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
 * Detects waiting jobs that, according to the records, have everything they need and still start no
 * task: their machines may hang or fail the tasks. Such jobs are deferred for a while in favour of
 * others; otherwise part of a team's limit would lie idle at their shard.
 */
final class ReservationHistory {
  /**
   * Progress of a job when it was first seen with everything it needs, and until when it is
   * deferred.
   */
  private record Observation(int startedTasks, long sinceMs, long deferredUntilMs) {}

  private final ClusterState cluster;
  private final Map<String, Observation> observations = new HashMap<>();

  ReservationHistory(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Forgets jobs that no longer wait. */
  void retainWaiting(Collection<List<JobIndex.Job>> waiting) {
    Set<String> waitingRefs = new HashSet<>();
    waiting.forEach(jobs -> jobs.forEach(job -> waitingRefs.add(job.spec.ref())));
    observations.keySet().retainAll(waitingRefs);
  }

  /**
   * Whether other jobs have precedence over a job now.
   *
   * @param canStart whether its shard has a machine with free capacity and an unused share of the
   *     limit for one task
   */
  boolean isDeferred(JobIndex.Job job, boolean canStart) {
    long now = cluster.now();
    String ref = job.spec.ref();
    int startedTasks = job.doneCount() + job.placedCount();
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
    } else if (now - previous.sinceMs > Constants.STALLED_JOB_MS) {
      observations.put(
          ref, new Observation(startedTasks, now, now + Constants.STALLED_JOB_DEFERRAL_MS));
      return true;
    }
    return false;
  }
}
