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
final class ClaimHistory {
  /** How far a job was when it was first seen with all it needs; passed over until then. */
  private record Served(int started, long sinceMs, long passedUntilMs) {}

  private final World world;
  private final Map<String, Served> served = new HashMap<>();

  ClaimHistory(World world) {
    this.world = world;
  }

  /** Forgets jobs that do not wait any more. */
  void keep(Collection<List<JobIndex.Job>> waiting) {
    Set<String> still = new HashSet<>();
    waiting.forEach(jobs -> jobs.forEach(job -> still.add(job.spec.ref())));
    served.keySet().retainAll(still);
  }

  /**
   * Whether others come before a job now.
   *
   * @param hasAll its shard has a machine with room and an unused part of the limit for a task
   */
  boolean isPassedOver(JobIndex.Job job, boolean hasAll) {
    long now = world.now();
    String ref = job.spec.ref();
    int started = job.done() + job.placed();
    Served last = served.get(ref);
    if (last != null && last.started != started) {
      last = null;
      served.remove(ref);
    }
    if (last != null && now < last.passedUntilMs) {
      return true;
    }
    if (!hasAll) {
      served.remove(ref);
    } else if (last == null || last.passedUntilMs > 0) {
      served.put(ref, new Served(started, now, 0));
    } else if (now - last.sinceMs > Constants.CLAIM_PATIENCE_MS) {
      served.put(ref, new Served(started, now, now + Constants.CLAIM_PASSED_MS));
      return true;
    }
    return false;
  }
}
