package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.transport.PeerHeartbeat;
import dunlincroft.transport.PeerHeartbeat.CancellationReport;
import dunlincroft.transport.PeerHeartbeat.CancelledJob;
import dunlincroft.transport.PeerHeartbeat.HeartbeatEcho;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The time up to which this node knows every cancellation that any controller has acknowledged to a
 * user: a low watermark over the closed timestamps of all controllers (Akidau and others,
 * MillWheel, 2013).
 *
 * <p>A read of the state service covers all cancellations acknowledged before the read was sent.
 * Beyond that, each other controller closes its own acknowledgements up to the time at which this
 * node's last heartbeat to it was sent, in this node's clock, which it echoes. It does so if its
 * acknowledgements are no newer than the revision read here, or come with its heartbeat. Only a
 * process that was running at this node's last read can close them: one started since does not know
 * what its former instance acknowledged. So a controller that is dead, unreachable or newly started
 * stops the watermark, and so does every delayed message.
 *
 * <p>A controller that ends during an outage of the state service should not stop it. Therefore a
 * controller that has been disconnected from the state service for long suspends acknowledgements:
 * each of its heartbeats announces that it acknowledges no further cancellation for {@link
 * Constants#ACK_SUSPENSION_MS}, or until all others have received a later heartbeat that announces
 * no suspension. Every process also starts suspended. A suspension closes its sender's
 * acknowledgements in advance; if the next instance is heard before it ends, all acknowledgements
 * of the former one are known.
 *
 * <p>All times are in milliseconds of this node's monotonic clock; times of different clocks are
 * never compared.
 */
final class LowWatermark {
  private static final long NEVER = Long.MIN_VALUE;

  /** Former instances remembered of each controller; its messages may be minutes late. */
  private static final int MAX_FORMER_INSTANCES = 256;

  /** State of another controller. */
  private static final class Peer {
    private long instanceId;

    /** Instances that a later one has replaced, the oldest first: their messages are late. */
    private final Set<Long> formerInstances = new LinkedHashSet<>();

    /**
     * When the first heartbeat of this instance came, and whether all acknowledgements of former
     * instances are known.
     */
    private long firstHeardAt;

    private boolean formerInstanceKnown;

    /** Its newest heartbeat: the sender's clock, the revision it had read, and when it came. */
    private long sentAt;

    private long revision;
    private long lastHeardAt;
    private boolean isDisconnected;

    /** All of its acknowledgements up to this time are known. */
    private long closedAt = Long.MIN_VALUE;

    /** From this time on it suspends acknowledgements; {@link #NEVER} if it does not. */
    private long suspendedAt = NEVER;

    /** When the newest heartbeat of this node that it has received was sent. */
    private long echoedAt = NEVER;

    private void replaceInstance(long newInstanceId) {
      formerInstances.add(instanceId);
      if (formerInstances.size() > MAX_FORMER_INSTANCES) {
        formerInstances.remove(formerInstances.iterator().next());
      }
      instanceId = newInstanceId;
    }

    private long suspendedUntil() {
      return suspendedAt == NEVER ? NEVER : suspendedAt + Constants.ACK_SUSPENSION_MS;
    }
  }

  private final String self;
  private final long instanceId;

  /** The last time at which this node announced that it suspends acknowledgements. */
  private long suspendedAt;

  private final Map<String, Peer> peers = new TreeMap<>();

  /**
   * Jobs whose cancellation this node has acknowledged, by revision; only the highest revisions are
   * kept.
   */
  private final TreeMap<Long, String> acknowledged = new TreeMap<>();

  /** The highest revision of a cancellation received from other controllers. */
  private long highestReceived;

  /** Acknowledgements up to this revision may have been dropped. */
  private long forgottenUpTo;

  /**
   * @param instanceId a number that no other process of any controller has
   * @param startedAt a time no earlier than the start of this process, by its clock
   */
  LowWatermark(String self, long instanceId, long startedAt, Collection<String> others) {
    this.self = self;
    this.instanceId = instanceId;
    suspendedAt = startedAt;
    others.stream().filter(node -> !node.equals(self)).forEach(node -> peers.put(node, new Peer()));
  }

  // ---- sending ----

  /**
   * Whether a cancellation of this revision may be acknowledged: not for the first time while this
   * node has announced a suspension.
   */
  boolean canAcknowledge(long revision, long nowMs) {
    return acknowledged.containsKey(revision)
        || nowMs - suspendedAt > Constants.ACK_SUSPENSION_MS + Constants.ACK_SUSPENSION_MARGIN_MS
        || peers.values().stream().allMatch(peer -> peer.echoedAt > suspendedAt);
  }

  /**
   * Records that a job's cancellation, written at this revision, is about to be acknowledged to a
   * user.
   */
  void recordAcknowledgement(String job, long revision) {
    if (revision > forgottenUpTo) {
      acknowledged.put(revision, job);
      if (acknowledged.size() > Constants.MAX_ACKNOWLEDGED_CANCELLATIONS) {
        forgottenUpTo = acknowledged.pollFirstEntry().getKey();
      }
    }
  }

  /**
   * The report for the next heartbeat. Acknowledged cancellations are passed on to controllers that
   * are disconnected from the state service and have not read them. If this node has itself been
   * disconnected for long, the report announces a suspension.
   */
  CancellationReport createReport(long nowMs, long revision, long stateSilentMs) {
    if (isSuspending(stateSilentMs)) {
      suspendedAt = nowMs;
    }
    long highest = acknowledged.isEmpty() ? forgottenUpTo : acknowledged.lastKey();
    long above = highest;
    List<HeartbeatEcho> echoes = new ArrayList<>(peers.size());
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.sentAt > 0) {
        echoes.add(new HeartbeatEcho(entry.getKey(), peer.instanceId, peer.sentAt));
      }
      if (peer.isDisconnected && nowMs - peer.lastHeardAt < Constants.CANCELLATION_RELAY_MS) {
        above = Math.min(above, Math.max(forgottenUpTo, peer.revision));
      }
    }
    List<CancelledJob> handedOn = new ArrayList<>();
    acknowledged
        .tailMap(above, false)
        .forEach((at, job) -> handedOn.add(new CancelledJob(job, at)));
    return new CancellationReport(instanceId, nowMs, echoes, revision, highest, above, handedOn);
  }

  private static boolean isSuspending(long stateSilentMs) {
    return stateSilentMs > Constants.MAX_STALENESS_MS;
  }

  // ---- receiving ----

  /**
   * Takes in a heartbeat that came at {@code nowMs}. Everything up to {@code revision} is known
   * here, and everything written by {@code readAt}. Returns the cancellations that are new; they
   * count as known from now on, so the caller must act on them at once.
   */
  List<CancelledJob> heartbeatReceived(
      PeerHeartbeat heartbeat, long nowMs, long revision, long readAt) {
    Peer peer = peers.get(heartbeat.node());
    CancellationReport report = heartbeat.cancellations();
    if (peer == null
        || report.instanceId() == 0
        || peer.formerInstances.contains(report.instanceId())) {
      return List.of(); // Late message of a process that has ended.
    }
    if (peer.instanceId != report.instanceId()) {
      peer.formerInstanceKnown =
          isFormerHistoryKnown(peer, readAt) && nowMs <= peer.suspendedUntil();
      if (peer.formerInstanceKnown) {
        // The suspension was still in force, and the new instance started suspended.
        peer.closedAt = Math.max(peer.closedAt, nowMs);
      }
      peer.suspendedAt = NEVER;
      peer.replaceInstance(report.instanceId());
      peer.firstHeardAt = nowMs;
      peer.sentAt = 0;
    }
    boolean isNewest = report.sentAt() >= peer.sentAt;
    peer.sentAt = Math.max(peer.sentAt, report.sentAt());
    peer.revision = report.readRevision();
    peer.lastHeardAt = nowMs;
    peer.isDisconnected = heartbeat.stateSilentMs() > Constants.MAX_STALENESS_MS / 2;
    boolean suspends = isSuspending(heartbeat.stateSilentMs());
    if (isNewest && !suspends) {
      peer.suspendedAt = NEVER;
    }
    boolean isKnown = report.highestRevision() <= revision || report.listedAbove() <= revision;
    for (HeartbeatEcho echo : report.echoes()) {
      if (echo.node().equals(self) && echo.instanceId() == instanceId) {
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
        .cancelledJobs()
        .forEach(each -> highestReceived = Math.max(highestReceived, each.revision()));
    return report.cancelledJobs().stream().filter(each -> each.revision() > revision).toList();
  }

  /** Whether all acknowledgements of earlier processes of that controller are known. */
  private static boolean isFormerHistoryKnown(Peer peer, long readAt) {
    return peer.instanceId != 0 && (peer.firstHeardAt <= readAt || peer.formerInstanceKnown);
  }

  /**
   * The highest revision of any known cancellation, given that all up to {@code revision} are
   * known.
   */
  long highestKnownRevision(long revision) {
    long highestAcknowledged =
        this.acknowledged.isEmpty() ? forgottenUpTo : this.acknowledged.lastKey();
    return Math.max(revision, Math.max(highestAcknowledged, highestReceived));
  }

  /** The watermark, given that everything written by {@code readAt} is known. */
  long value(long readAt, long nowMs) {
    long minClosedAt = nowMs;
    for (Peer peer : peers.values()) {
      minClosedAt = Math.min(minClosedAt, Math.max(peer.closedAt, peer.suspendedUntil()));
    }
    return Math.max(readAt, minClosedAt);
  }
}
