package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.transport.Beat;
import dunlincroft.transport.Beat.Hearing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who of the other controllers is there, as far as beats, what others hear, refused connections and
 * records can tell. It decides when somebody acts, never whether that is safe. Suspicion is graded
 * and learnt (φ accrual), shared and refuted (SWIM: Das, Gupta, Motivala, 2002), and weighed by our
 * own health (Lifeguard: Dadgar, Phillips, Currey, 2018); docs/membership.md says what of each.
 *
 * <p>All times are of one steady clock, in milliseconds. It does no I/O and asks nobody.
 */
public final class FailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

  /** What is known of one peer. */
  private static final class Peer {
    final HeartbeatIntervals intervals = new HeartbeatIntervals();
    Beat heartbeat;
    long heartbeatAt;

    /** The highest it has named: a later life has a higher one, and none before its first hold. */
    long incarnation;

    /** The last sign of life of any kind: a beat, a refutation by way of another, a record. */
    long aliveAt;

    boolean refused;
    PeerState state = PeerState.TRUSTED;

    /** Condemned because its process has ended, not only for its silence. */
    boolean processEnded;

    /** How often it has refuted, as it last told us itself. */
    long refutations() {
      return heartbeat == null ? 0 : heartbeat.count();
    }
  }

  private final String self;
  private final Map<String, Peer> peers = new TreeMap<>();

  /** Lifeguard's local health: 0 is well; each step makes us wait for longer before we suspect. */
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

  /** A beat came. */
  public void heartbeatReceived(Beat heartbeat, long nowMs) {
    Peer peer = peers.get(heartbeat.node());
    if (peer == null) {
      return;
    }
    if (peer.heartbeat != null
        && heartbeat.incarnation() != 0
        && heartbeat.incarnation() < peer.incarnation) {
      return; // A former life's, held back on its way: it says nothing about this one.
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
    for (Hearing observation : heartbeat.hearings()) {
      relayReceived(heartbeat.node(), observation, nowMs);
    }
  }

  /** Another one hears a peer that has said more often than we knew that it is there. */
  private void relayReceived(String from, Hearing observation, long nowMs) {
    Peer peer = peers.get(observation.node());
    if (peer != null
        && observation.count() > peer.refutations()
        && nowMs - observation.silentMs() > peer.aliveAt) {
      markAlive(
          observation.node(), peer, "it refuted by way of " + from, nowMs - observation.silentMs());
    }
  }

  /**
   * A record that only this peer writes has changed. News of the records lag: what is seen soon
   * after its last beat may have been written before it ended.
   */
  public void recordWritten(String node, long nowMs) {
    Peer peer = peers.get(node);
    if (peer != null && nowMs - peer.heartbeatAt > Constants.RECORD_LAG_MS) {
      markAlive(node, peer, "it writes records", nowMs);
    }
  }

  /** Its connections are refused, or no longer are. */
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

  /** We heard nobody for so long because we stood still: that is nobody else's silence. */
  public void pauseDetected(long ms, long nowMs) {
    for (Peer peer : peers.values()) {
      peer.heartbeatAt = Math.min(nowMs, peer.heartbeatAt + ms);
      peer.aliveAt = Math.min(nowMs, peer.aliveAt + ms);
    }
    ticksDelayed(nowMs);
  }

  /** Our own clockwork ran late: what we believe of others is worth less for a while. */
  public void ticksDelayed(long nowMs) {
    localHealth = Math.min(Constants.UNWELL_MOST, localHealth + 1);
    healthChangedAt = nowMs;
  }

  // ---- verdicts ----

  /** Looks at everybody; called a few times a second. */
  public void tick(long nowMs) {
    if (localHealth > 0 && nowMs - healthChangedAt >= Constants.HEAL_MS) {
      localHealth--;
      healthChangedAt = nowMs;
    }
    peers.forEach((node, peer) -> evaluate(node, peer, nowMs));
    long trusted = peers.values().stream().filter(peer -> peer.state == PeerState.TRUSTED).count();
    if (2 * trusted < peers.size()) {
      isolatedAt = nowMs;
    }
    isolated = nowMs - isolatedAt < Constants.PEER_LOST_MS;
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
        Hearing observation = observation(other.getValue(), node);
        if (observation != null
            && other.getValue().state == PeerState.TRUSTED
            && observation.suspected()) {
          suspecting++;
          refusing += observation.refused() ? 1 : 0;
          missing += observation.silentMs() >= Constants.PEER_LOST_MS ? 1 : 0;
        }
      }
      boolean ended = isMajority(refusing) && silent >= Constants.PEER_GONE_MS;
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

  /** From so many milliseconds of silence on no pause explains it, by all that is learnt. */
  private double condemnAfterMs(Peer peer) {
    return Math.max(Constants.PEER_LOST_MS, suspectAfterMs(peer));
  }

  private double suspectAfterMs(Peer peer) {
    // Whatever ails us, it is not we who refuse its connections.
    return (peer.refused ? 1 : 1 + localHealth) * peer.intervals.suspectAfterMs(peer.refused);
  }

  private static Hearing observation(Peer from, String subject) {
    if (from.heartbeat == null) {
      return null;
    }
    for (Hearing observation : from.heartbeat.hearings()) {
      if (observation.node().equals(subject)) {
        return observation;
      }
    }
    return null;
  }

  // ---- what is asked ----

  /** What is believed of a peer; ourselves we trust. */
  public PeerState state(String node) {
    Peer peer = peers.get(node);
    return peer == null ? PeerState.TRUSTED : peer.state;
  }

  /** Milliseconds since the last sign of life of a peer. */
  long silentMs(String node, long nowMs) {
    return nowMs - peers.get(node).aliveAt;
  }

  /**
   * Whether a peer is condemned because most of us are refused by it: no pause and no cut looks
   * like that, and nobody who is gone can take anything back.
   */
  boolean hasEnded(String node) {
    return state(node) == PeerState.CONDEMNED && peers.get(node).processEnded;
  }

  /** The last beat of a peer, or null. */
  Beat heartbeat(String node) {
    Peer peer = peers.get(node);
    return peer == null ? null : peer.heartbeat;
  }

  /**
   * Whether we hear less than half of the others, or did a moment ago: then it is probably we who
   * are in trouble. After a cut of ours the others are heard again one by one, and the last of them
   * has not failed.
   */
  boolean isIsolated() {
    return isolated;
  }

  /** What we tell others of everybody. */
  public List<Hearing> observations(long nowMs) {
    List<Hearing> observations = new ArrayList<>(peers.size());
    peers.forEach(
        (node, peer) -> {
          boolean suspected = peer.state != PeerState.TRUSTED;
          observations.add(
              new Hearing(
                  node,
                  Math.max(0, nowMs - peer.heartbeatAt),
                  peer.refutations(),
                  suspected,
                  suspected || isSuspectedByPeer(node, peer.refutations()),
                  peer.refused));
        });
    return observations;
  }

  /** Whether one that we trust suspects a peer, at a count no lower than we know. */
  private boolean isSuspectedByPeer(String node, long count) {
    for (Peer other : peers.values()) {
      Hearing observation = observation(other, node);
      if (other.state == PeerState.TRUSTED
          && observation != null
          && observation.suspected()
          && observation.count() >= count) {
        return true;
      }
    }
    return false;
  }

  /** The highest count of ours at which somebody suspects us; -1: nobody does. */
  long highestSuspicionOfSelf() {
    long highest = -1;
    for (Peer other : peers.values()) {
      Hearing observation = observation(other, self);
      if (other.state == PeerState.TRUSTED && observation != null && observation.rumoured()) {
        highest = Math.max(highest, observation.count());
      }
    }
    return highest;
  }
}
