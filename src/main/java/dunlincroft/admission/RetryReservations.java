package dunlincroft.admission;

import dunlincroft.Constants;
import dunlincroft.transport.PeerHeartbeat.RetryReservation;
import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * When refused submissions may be retried, by hash of the job's id; bounded in number and age.
 * Reservations are sent to all controllers, so that a retry is recognised wherever the load
 * balancer sends it.
 */
final class RetryReservations {
  private final Long2LongLinkedOpenHashMap dueAt = new Long2LongLinkedOpenHashMap();

  /** Jobs with a retry time but without a slot; they get a slot when they are retried. */
  private final LongOpenHashSet tentative = new LongOpenHashSet();

  private final Deque<Announcement> announcements = new ArrayDeque<>();

  private record Announcement(long job, long dueMs, boolean tentative, long madeMs) {}

  RetryReservations() {
    dueAt.defaultReturnValue(-1);
  }

  /** When a job is to be retried, by this controller's clock; -1 if no reservation is known. */
  long dueAt(long job) {
    return dueAt.get(job);
  }

  /** Makes a reservation, which is then sent to the other controllers. */
  void reserve(long job, long dueMs, boolean withoutSlot, long nowMs) {
    discard(job);
    store(job, dueMs, withoutSlot);
    announcements.addLast(new Announcement(job, dueMs, withoutSlot, nowMs));
    if (announcements.size() > Constants.HEARTBEAT_RETRY_RESERVATIONS) {
      announcements.removeFirst();
    }
  }

  /**
   * Stores a reservation made here or received from a peer. A slot that was given is not changed.
   */
  void store(long job, long dueMs, boolean withoutSlot) {
    if (!dueAt.containsKey(job) || (tentative.contains(job) && !withoutSlot)) {
      dueAt.put(job, dueMs);
      if (withoutSlot) {
        tentative.add(job);
      } else {
        tentative.remove(job);
      }
      if (dueAt.size() > Constants.MAX_RETRY_RESERVATIONS) {
        discard(dueAt.firstLongKey());
      }
    }
  }

  void discard(long job) {
    dueAt.remove(job);
    tentative.remove(job);
  }

  /** Whether a job has a retry time but no slot. */
  boolean isTentative(long job) {
    return tentative.contains(job);
  }

  /** Drops reservations whose users have given up by now. */
  void expire(long nowMs) {
    while (!dueAt.isEmpty()
        && dueAt.get(dueAt.firstLongKey()) + Constants.RETRY_RESERVATION_TTL_MS < nowMs) {
      discard(dueAt.firstLongKey());
    }
  }

  /**
   * The reservations made recently, with times in milliseconds from now. Each is sent in several
   * heartbeats, because a heartbeat may be lost and each peer has its own connection.
   */
  List<RetryReservation> announced(long nowMs) {
    while (!announcements.isEmpty()
        && announcements.peekFirst().madeMs + Constants.RETRY_RESERVATION_ANNOUNCE_MS < nowMs) {
      announcements.removeFirst();
    }
    List<RetryReservation> result = new ArrayList<>(announcements.size());
    announcements.forEach(
        announcement ->
            result.add(
                new RetryReservation(
                    announcement.job,
                    Math.max(0, announcement.dueMs - nowMs),
                    announcement.tentative)));
    return result;
  }
}
