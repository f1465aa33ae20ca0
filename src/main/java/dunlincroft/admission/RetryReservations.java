package dunlincroft.admission;

import dunlincroft.Constants;
import dunlincroft.transport.Beat.Promise;
import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Whose turn is when, of those who were refused: by hash of the job's id, bounded in number and
 * age. Kept at every controller, so that a retry is known wherever the balancer leads it.
 */
final class RetryReservations {
  private final Long2LongLinkedOpenHashMap dueAt = new Long2LongLinkedOpenHashMap();

  /** Those that have no turn yet: they come again, and are then given one. */
  private final LongOpenHashSet tentative = new LongOpenHashSet();

  private final Deque<Announcement> announcements = new ArrayDeque<>();

  private record Announcement(long job, long dueMs, boolean tentative, long madeMs) {}

  RetryReservations() {
    dueAt.defaultReturnValue(-1);
  }

  /** When a job's turn is, by our clock; -1: no promise is known. */
  long dueAt(long job) {
    return dueAt.get(job);
  }

  /** We promise; the others are told. */
  void reserve(long job, long dueMs, boolean withoutSlot, long nowMs) {
    discard(job);
    store(job, dueMs, withoutSlot);
    announcements.addLast(new Announcement(job, dueMs, withoutSlot, nowMs));
    if (announcements.size() > Constants.BEAT_PROMISES) {
      announcements.removeFirst();
    }
  }

  /** A promise made here or told by another controller; a turn stays as it was first given. */
  void store(long job, long dueMs, boolean withoutSlot) {
    if (!dueAt.containsKey(job) || (tentative.contains(job) && !withoutSlot)) {
      dueAt.put(job, dueMs);
      if (withoutSlot) {
        tentative.add(job);
      } else {
        tentative.remove(job);
      }
      if (dueAt.size() > Constants.PROMISES) {
        discard(dueAt.firstLongKey());
      }
    }
  }

  void discard(long job) {
    dueAt.remove(job);
    tentative.remove(job);
  }

  /** Whether a job's user was told to come again without being given a turn. */
  boolean isTentative(long job) {
    return tentative.contains(job);
  }

  /** Forgets those whose users have long given up, and after which nobody asks. */
  void expire(long nowMs) {
    while (!dueAt.isEmpty()
        && dueAt.get(dueAt.firstLongKey()) + Constants.PROMISE_KEPT_MS < nowMs) {
      discard(dueAt.firstLongKey());
    }
  }

  /**
   * What we promised of late, in milliseconds from now. Each is told in several beats, as a beat
   * may be lost, and every link has its own.
   */
  List<Promise> announced(long nowMs) {
    while (!announcements.isEmpty()
        && announcements.peekFirst().madeMs + Constants.PROMISE_TOLD_MS < nowMs) {
      announcements.removeFirst();
    }
    List<Promise> result = new ArrayList<>(announcements.size());
    announcements.forEach(
        announcement ->
            result.add(
                new Promise(
                    announcement.job,
                    Math.max(0, announcement.dueMs - nowMs),
                    announcement.tentative)));
    return result;
  }
}
