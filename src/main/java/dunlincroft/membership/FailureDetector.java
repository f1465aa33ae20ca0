package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.transport.PeerHeartbeat;
import dunlincroft.transport.PeerHeartbeat.PeerObservation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Judges which other controllers are alive, from heartbeats, the observations of peers, refused
 * connections and written records. It decides when a node acts, never whether that is safe.
 * Suspicion grows with silence relative to learnt heartbeat intervals (φ accrual), is shared and
 * can be refuted (SWIM: Das, Gupta, Motivala, 2002), and is weighted by the health of this node
 * itself (Lifeguard: Dadgar, Phillips, Currey, 2018); docs/membership.md says what is used of each.
 *
 * <p>All times are in milliseconds of one monotonic clock. No I/O is done here.
 */
public final class FailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

  /** State of one peer. */
  private static final class Peer {
    final HeartbeatIntervals intervals = new HeartbeatIntervals();
    PeerHeartbeat heartbeat;
    long heartbeatAt;

    /**
     * The highest incarnation seen: a restarted process has a higher one, or 0 until it has its
     * first session lease.
     */
    long incarnation;

    /**
     * The last sign of life of any kind: a heartbeat, a refutation relayed by a peer, or a record.
     */
    long aliveAt;

    boolean refused;
    PeerState state = PeerState.TRUSTED;

    /** Condemned because its process has ended, not only because it is silent. */
    boolean processEnded;

    /** Number of its refutations, as in its last heartbeat. */
    long refutations() {
      return heartbeat == null ? 0 : heartbeat.refutations();
    }
  }

  private final String self;
  private final Map<String, Peer> peers = new TreeMap<>();

  /**
   * Lifeguard's local health multiplier: 0 is healthy; each step lengthens the time before a peer
   * is suspected.
   */
  private int localHealth;

  private long healthChangedAt;
  private long isolatedAt = Long.MIN_VALUE / 2;
  private boolean isolated;

  public FailureDetector(String self, Collection<String> others, long nowMs) {
    this.self = self;
    for (String other : others) {
      Peer peer = new Peer();
      peer.heartbeatAt = nowMs;
      peer.aliveAt = nowMs;
      peers.put(other, peer);
    }
    healthChangedAt = nowMs;
  }

  // ---- evidence ----

  /** Takes in a peer's heartbeat. */
  public void heartbeatReceived(PeerHeartbeat heartbeat, long nowMs) {
    Peer peer = peers.get(heartbeat.node());
    if (peer == null) {
      return;
    }
    if (peer.heartbeat != null
        && heartbeat.incarnation() != 0
        && heartbeat.incarnation() < peer.incarnation) {
      return; // A delayed heartbeat of an earlier incarnation.
    }
    boolean isSameIncarnation =
        peer.heartbeat != null && peer.heartbeat.incarnation() == heartbeat.incarnation();
    peer.incarnation = Math.max(peer.incarnation, heartbeat.incarnation());
    if (isSameIncarnation) {
      peer.intervals.add(nowMs - peer.heartbeatAt);
    }
    peer.heartbeat = heartbeat;
    peer.heartbeatAt = nowMs;
    peer.refused = false;
    markAlive(
        heartbeat.node(),
        peer,
        isSameIncarnation ? "it is heard again" : "it is back in a new life",
        nowMs);
    for (PeerObservation observation : heartbeat.observations()) {
      relayReceived(heartbeat.node(), observation, nowMs);
    }
  }

  /**
   * A peer reports on another one: a number of refutations higher than known here proves that it is
   * alive.
   */
  private void relayReceived(String from, PeerObservation observation, long nowMs) {
    Peer peer = peers.get(observation.node());
    if (peer != null
        && observation.refutations() > peer.refutations()
        && nowMs - observation.silentMs() > peer.aliveAt) {
      markAlive(
          observation.node(), peer, "it refuted by way of " + from, nowMs - observation.silentMs());
    }
  }

  /**
   * A record that only this peer writes has changed. Records are read with a delay: a change that
   * is seen soon after the last heartbeat may have been written before the peer ended.
   */
  public void recordWritten(String node, long nowMs) {
    Peer peer = peers.get(node);
    if (peer != null && nowMs - peer.heartbeatAt > Constants.MAX_RECORD_LAG_MS) {
      markAlive(node, peer, "it writes records", nowMs);
    }
  }

  /** The peer refuses connections, or no longer does. */
  public void connectionRefused(String node, boolean refused) {
    Peer peer = peers.get(node);
    if (peer != null) {
      peer.refused = refused;
    }
  }

  private void markAlive(String node, Peer peer, String reason, long atMs) {
    peer.aliveAt = Math.max(peer.aliveAt, atMs);
    if (peer.state != PeerState.TRUSTED) {
      LOG.info("node {} is trusted again: {}", node, reason);
      peer.state = PeerState.TRUSTED;
    }
  }

  /**
   * This process was paused for {@code ms}: its peers could not be heard, so that time does not
   * count as their silence.
   */
  public void pauseDetected(long ms, long nowMs) {
    for (Peer peer : peers.values()) {
      peer.heartbeatAt = Math.min(nowMs, peer.heartbeatAt + ms);
      peer.aliveAt = Math.min(nowMs, peer.aliveAt + ms);
    }
    ticksDelayed(nowMs);
  }

  /** Ticks of this process ran late: suspicions of others are less reliable for a while. */
  public void ticksDelayed(long nowMs) {
    localHealth = Math.min(Constants.MAX_LOCAL_HEALTH, localHealth + 1);
    healthChangedAt = nowMs;
  }

  // ---- evaluation ----

  /** Evaluates all peers; called a few times a second. */
  public void tick(long nowMs) {
    if (localHealth > 0 && nowMs - healthChangedAt >= Constants.LOCAL_HEALTH_RECOVERY_MS) {
      localHealth--;
      healthChangedAt = nowMs;
    }
    peers.forEach((node, peer) -> evaluate(node, peer, nowMs));
    long trusted = peers.values().stream().filter(peer -> peer.state == PeerState.TRUSTED).count();
    if (2 * trusted < peers.size()) {
      isolatedAt = nowMs;
    }
    isolated = nowMs - isolatedAt < Constants.LOST_PEER_SILENCE_MS;
  }

  private void evaluate(String node, Peer peer, long nowMs) {
    long silent = nowMs - peer.aliveAt;
    if (peer.state == PeerState.TRUSTED && silent > suspectAfterMs(peer)) {
      peer.state = PeerState.SUSPECTED;
      LOG.info(
          "node {} is suspected: silent for {} ms, phi {}, {}, our health {}",
          node,
          silent,
          String.format("%.1f", peer.intervals.phi(silent)),
          peer.refused ? "refuses connections" : "its connections stand",
          localHealth);
    }
    if (peer.state == PeerState.SUSPECTED) {
      int suspecting = 1;
      int refusing = peer.refused ? 1 : 0;
      int missing = silent >= condemnAfterMs(peer) ? 1 : 0;
      for (Map.Entry<String, Peer> other : peers.entrySet()) {
        PeerObservation observation = observation(other.getValue(), node);
        if (observation != null
            && other.getValue().state == PeerState.TRUSTED
            && observation.suspected()) {
          suspecting++;
          refusing += observation.refusesConnections() ? 1 : 0;
          missing += observation.silentMs() >= Constants.LOST_PEER_SILENCE_MS ? 1 : 0;
        }
      }
      boolean ended = isMajority(refusing) && silent >= Constants.ENDED_PEER_SILENCE_MS;
      if (ended || (isMajority(missing) && silent >= condemnAfterMs(peer))) {
        peer.state = PeerState.CONDEMNED;
        peer.processEnded = ended;
        LOG.info(
            "node {} is condemned: silent for {} ms, suspected by {} and refusing {} of {}",
            node,
            silent,
            suspecting,
            refusing,
            peers.size() + 1);
      }
    }
  }

  private boolean isMajority(int votes) {
    return 2 * votes > peers.size() + 1;
  }

  /** Milliseconds of silence that no pause explains, given the intervals learnt. */
  private double condemnAfterMs(Peer peer) {
    return Math.max(Constants.LOST_PEER_SILENCE_MS, suspectAfterMs(peer));
  }

  private double suspectAfterMs(Peer peer) {
    // Refused connections are no symptom of trouble on this node.
    return (peer.refused ? 1 : 1 + localHealth) * peer.intervals.suspectAfterMs(peer.refused);
  }

  private static PeerObservation observation(Peer from, String subject) {
    if (from.heartbeat == null) {
      return null;
    }
    for (PeerObservation observation : from.heartbeat.observations()) {
      if (observation.node().equals(subject)) {
        return observation;
      }
    }
    return null;
  }

  // ---- queries ----

  /** State of a peer; this node counts itself as trusted. */
  public PeerState state(String node) {
    Peer peer = peers.get(node);
    return peer == null ? PeerState.TRUSTED : peer.state;
  }

  /** Milliseconds since the last sign of life of a peer. */
  long silentMs(String node, long nowMs) {
    return nowMs - peers.get(node).aliveAt;
  }

  /**
   * Whether a peer is condemned because the majority of controllers are refused by it. Neither a
   * pause nor a network partition looks like that, and a process that has ended cannot refute it.
   */
  boolean hasEnded(String node) {
    return state(node) == PeerState.CONDEMNED && peers.get(node).processEnded;
  }

  /** The last heartbeat of a peer, or null. */
  PeerHeartbeat heartbeat(String node) {
    Peer peer = peers.get(node);
    return peer == null ? null : peer.heartbeat;
  }

  /**
   * Whether less than half of the peers are trusted, or were a moment ago: then the fault is
   * probably on this node. After a partition of this node peers are heard again one by one, and the
   * last of them has not failed.
   */
  boolean isIsolated() {
    return isolated;
  }

  /** Observations of all peers, to be sent with heartbeats. */
  public List<PeerObservation> observations(long nowMs) {
    List<PeerObservation> observations = new ArrayList<>(peers.size());
    peers.forEach(
        (node, peer) -> {
          boolean suspected = peer.state != PeerState.TRUSTED;
          observations.add(
              new PeerObservation(
                  node,
                  Math.max(0, nowMs - peer.heartbeatAt),
                  peer.refutations(),
                  suspected,
                  suspected || isSuspectedByPeer(node, peer.refutations()),
                  peer.refused));
        });
    return observations;
  }

  /**
   * Whether a trusted peer suspects another at a number of refutations no lower than known here.
   */
  private boolean isSuspectedByPeer(String node, long count) {
    for (Peer other : peers.values()) {
      PeerObservation observation = observation(other, node);
      if (other.state == PeerState.TRUSTED
          && observation != null
          && observation.suspected()
          && observation.refutations() >= count) {
        return true;
      }
    }
    return false;
  }

  /** The highest number of this node's refutations at which a peer suspects it; -1 if none does. */
  long highestSuspicionOfSelf() {
    long highest = -1;
    for (Peer other : peers.values()) {
      PeerObservation observation = observation(other, self);
      if (other.state == PeerState.TRUSTED && observation != null && observation.suspectedByAny()) {
        highest = Math.max(highest, observation.refutations());
      }
    }
    return highest;
  }
}
