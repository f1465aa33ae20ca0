package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.transport.Beat;
import dunlincroft.transport.Beat.Cancelled;
import dunlincroft.transport.Beat.Echo;
import dunlincroft.transport.Beat.Told;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The moment up to which we know every cancellation that any user was told by anybody: a low
 * watermark over the closed timestamps of all controllers (Akidau and others, MillWheel, 2013).
 *
 * <p>A reading of the state service closes all that was told before it was asked for. Beyond that
 * each other controller closes what it told itself, up to the moment at which we asked it, which is
 * our own clock's as it echoes it: if what it told is no newer than what we have read, or is handed
 * to us with its word. Only a process that was there when we last read can do so: one that has
 * begun since knows nothing of what its former life told. So a controller that is dead, mute or new
 * holds the watermark up, and so does every message that is late.
 *
 * <p>So that one that ends in an outage does not, a controller that has been out of touch with the
 * state service for long promises with each beat that it tells of no further cancellation for
 * {@link Constants#PROMISE_MS}, or until all others have heard a later beat of it that promises
 * nothing. So does every process as it begins. A promise closes what its sender tells ahead of
 * time, and if its next life is heard before it runs out, all that the former one told is known.
 *
 * <p>All times are of our own steady clock; ages are never compared across clocks.
 */
final class LowWatermark {
  private static final long NEVER = Long.MIN_VALUE;

  /** What is known of another controller. */
  private static final class Peer {
    private long instanceId;

    private long formerInstanceId;

    /** When a beat of this life came first, and whether all that former lives told is known. */
    private long firstHeardAt;

    private boolean formerInstanceKnown;

    /** The newest beat of it: its clock, its revision, and when it came. */
    private long sentAt;

    private long revision;
    private long lastHeardAt;
    private boolean isDisconnected;

    /** All that it told up to here we know. */
    private long closedAt = Long.MIN_VALUE;

    /** From here on it promises to tell nothing more; {@link #NEVER} if it does not. */
    private long suspendedAt = NEVER;

    /** The newest beat of ours that it has had: our clock as that left. */
    private long echoedAt = NEVER;

    private long suspendedUntil() {
      return suspendedAt == NEVER ? NEVER : suspendedAt + Constants.PROMISE_MS;
    }
  }

  private final String self;
  private final long instanceId;

  /** The last moment at which we promised to tell nothing more. */
  private long suspendedAt;

  private final Map<String, Peer> peers = new TreeMap<>();

  /** What we told of cancellations, by the revisions that say so; those of the highest are kept. */
  private final TreeMap<Long, String> acknowledged = new TreeMap<>();

  /** The highest revision of a cancellation that others handed to us. */
  private long highestReceived;

  /** Below this not all that we told is remembered. */
  private long forgottenUpTo;

  /**
   * @param instanceId a number that no other life of any controller has
   * @param startedAt a moment no earlier than the beginning of this process, by its clock
   */
  LowWatermark(String self, long instanceId, long startedAt, Collection<String> others) {
    this.self = self;
    this.instanceId = instanceId;
    suspendedAt = startedAt;
    others.stream().filter(node -> !node.equals(self)).forEach(node -> peers.put(node, new Peer()));
  }

  // ---- what we tell ----

  /** Whether a user may be told of the cancellation that a revision says, for all we promised. */
  boolean canAcknowledge(long revision, long nowMs) {
    return acknowledged.containsKey(revision)
        || nowMs - suspendedAt > Constants.PROMISE_MS + Constants.PROMISE_MARGIN_MS
        || peers.values().stream().allMatch(peer -> peer.echoedAt > suspendedAt);
  }

  /** A user is about to be told that a job is cancelled, as a revision says. */
  void recordAcknowledgement(String job, long revision) {
    if (revision > forgottenUpTo) {
      acknowledged.put(revision, job);
      if (acknowledged.size() > Constants.TOLD_KEPT) {
        forgottenUpTo = acknowledged.pollFirstEntry().getKey();
      }
    }
  }

  /**
   * Our word to the others. What they lack is handed on to those that say that they hear nothing
   * from the state service. If we have heard nothing from it for long, it is a promise.
   */
  Told createReport(long nowMs, long revision, long stateSilentMs) {
    if (isSuspending(stateSilentMs)) {
      suspendedAt = nowMs;
    }
    long highest = acknowledged.isEmpty() ? forgottenUpTo : acknowledged.lastKey();
    long above = highest;
    List<Echo> echoes = new ArrayList<>(peers.size());
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.sentAt > 0) {
        echoes.add(new Echo(entry.getKey(), peer.instanceId, peer.sentAt));
      }
      if (peer.isDisconnected && nowMs - peer.lastHeardAt < Constants.HANDED_ON_MS) {
        above = Math.min(above, Math.max(forgottenUpTo, peer.revision));
      }
    }
    List<Cancelled> handedOn = new ArrayList<>();
    acknowledged.tailMap(above, false).forEach((at, job) -> handedOn.add(new Cancelled(job, at)));
    return new Told(instanceId, nowMs, echoes, revision, highest, above, handedOn);
  }

  private static boolean isSuspending(long stateSilentMs) {
    return stateSilentMs > Constants.STALE_MS;
  }

  // ---- what others tell ----

  /**
   * A beat came, at {@code nowMs}. All up to {@code revision} is known to us, and all that there
   * was at {@code readAt}. Returns the cancellations that we lack, which count as known from here
   * on: the caller must act on them at once.
   */
  List<Cancelled> heartbeatReceived(Beat heartbeat, long nowMs, long revision, long readAt) {
    Peer peer = peers.get(heartbeat.node());
    Told report = heartbeat.told();
    if (peer == null || report.life() == 0 || report.life() == peer.formerInstanceId) {
      return List.of(); // Of a process that has ended: nothing rests on what comes late.
    }
    if (peer.instanceId != report.life()) {
      peer.formerInstanceKnown =
          isFormerHistoryKnown(peer, readAt) && nowMs <= peer.suspendedUntil();
      if (peer.formerInstanceKnown) {
        // The promise still held, and the new life was bound by its own until we have heard it.
        peer.closedAt = Math.max(peer.closedAt, nowMs);
      }
      peer.suspendedAt = NEVER;
      peer.formerInstanceId = peer.instanceId;
      peer.instanceId = report.life();
      peer.firstHeardAt = nowMs;
      peer.sentAt = 0;
    }
    boolean isNewest = report.sentAt() >= peer.sentAt;
    peer.sentAt = Math.max(peer.sentAt, report.sentAt());
    peer.revision = report.revision();
    peer.lastHeardAt = nowMs;
    peer.isDisconnected = heartbeat.stateSilentMs() > Constants.STALE_MS / 2;
    boolean suspends = isSuspending(heartbeat.stateSilentMs());
    if (isNewest && !suspends) {
      peer.suspendedAt = NEVER;
    }
    boolean isKnown = report.highest() <= revision || report.above() <= revision;
    for (Echo echo : report.echoes()) {
      if (echo.node().equals(self) && echo.life() == instanceId) {
        peer.echoedAt = Math.max(peer.echoedAt, echo.sentAt());
        if (isKnown && isFormerHistoryKnown(peer, readAt)) {
          peer.closedAt = Math.max(peer.closedAt, echo.sentAt());
          if (isNewest && suspends) {
            peer.suspendedAt = Math.max(peer.suspendedAt, echo.sentAt());
          }
        }
      }
    }
    report
        .cancelled()
        .forEach(each -> highestReceived = Math.max(highestReceived, each.revision()));
    return report.cancelled().stream().filter(each -> each.revision() > revision).toList();
  }

  /** Whether all that was told by processes of that name before the present one is known. */
  private static boolean isFormerHistoryKnown(Peer peer, long readAt) {
    return peer.instanceId != 0 && (peer.firstHeardAt <= readAt || peer.formerInstanceKnown);
  }

  /** All is known up to {@code revision}; no cancellation known beyond it stands higher. */
  long highestKnownRevision(long revision) {
    long highestAcknowledged =
        this.acknowledged.isEmpty() ? forgottenUpTo : this.acknowledged.lastKey();
    return Math.max(revision, Math.max(highestAcknowledged, highestReceived));
  }

  /** The watermark; all that there was at {@code readAt} is known. */
  long value(long readAt, long nowMs) {
    long minClosedAt = nowMs;
    for (Peer peer : peers.values()) {
      minClosedAt = Math.min(minClosedAt, Math.max(peer.closedAt, peer.suspendedUntil()));
    }
    return Math.max(readAt, minClosedAt);
  }
}
