package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.membership.Succession.Candidate;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.PeerHeartbeat;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which shards this node should own. Suspicions only decide when it tries to acquire one;
 * whether it succeeds is decided by a guarded write of the shard's record.
 */
final class ShardOwnership {
  private static final Logger LOG = LoggerFactory.getLogger(ShardOwnership.class);

  private final NodeContext context;
  private final List<String> names;
  private final Map<String, String> zones = new HashMap<>();
  private final SessionLease sessionLease;
  private final FailureDetector detector;
  private final BlockLeases blockLeases;
  private final SuspicionReports suspicions;
  private final ShardListener listener;
  private boolean isAcquiring;
  private long nextAttemptAt;
  private final Map<String, Long> attemptDueAt = new HashMap<>();
  private final Map<String, String> previousOwners = new HashMap<>();
  private final Map<String, Long> healthySince = new HashMap<>();
  private final Map<String, Long> cooldownUntil = new HashMap<>();
  private final Map<String, Long> cooldowns = new HashMap<>();

  ShardOwnership(
      NodeContext context,
      List<String> names,
      SessionLease sessionLease,
      FailureDetector detector,
      BlockLeases blockLeases,
      SuspicionReports suspicions,
      ShardListener listener) {
    this.context = context;
    this.names = names;
    this.sessionLease = sessionLease;
    this.detector = detector;
    this.blockLeases = blockLeases;
    this.suspicions = suspicions;
    this.listener = listener;
    zones.put(context.name(), context.settings().zone());
    for (Settings.Peer peer : context.settings().peers()) {
      zones.put(peer.nodeName(), peer.zone());
    }
  }

  String zoneOf(String node) {
    return zones.getOrDefault(node, "");
  }

  /** The controller from which this node last acquired a shard, or null. */
  String previousOwner(String shard) {
    return previousOwners.get(shard);
  }

  /** The controller that a shard's record names as its owner, or null. */
  String ownerOf(String shard) {
    Item item = context.replica().get(Replica.SHARDS, shard);
    return item == null ? null : item.data().path("holder").asText(null);
  }

  /**
   * Whether a shard is about to change its owner, or belongs to this node but is not acquired yet.
   * If this node is isolated, one peer's silence says nothing about that peer.
   */
  boolean isOwnerChanging(String shard) {
    String owner = ownerOf(shard);
    if (owner == null || listener.owns(shard)) {
      return false;
    }
    return owner.equals(context.name())
        || (detector.state(owner) != PeerState.TRUSTED && !detector.isIsolated());
  }

  /**
   * Called after this process was paused: takeovers and handbacks that fell due meanwhile start
   * their waits again.
   */
  void pauseDetected() {
    attemptDueAt.clear();
    healthySince.clear();
  }

  // ---- takeover and handback ----

  void tick() {
    // Shards are acquired one at a time, those with machines and jobs first.
    List<String> leased = blockLeases.currentShards();
    List<String> shards = new ArrayList<>(names);
    shards.sort(Comparator.comparing(shard -> !leased.contains(shard)));
    for (String shard : shards) {
      considerTakeover(shard, shards, leased);
      considerHandback(shard, leased);
    }
  }

  private void considerTakeover(String shard, List<String> shards, List<String> leased) {
    Item item = context.replica().get(Replica.SHARDS, shard);
    String owner = ownerOf(shard);
    boolean isOwn = context.name().equals(owner);
    if (isOwn && item.data().path("incarnation").asLong() == sessionLease.incarnation()) {
      attemptDueAt.remove(shard);
      return;
    }
    boolean isImmediate = isOwn || item == null;
    int rank = isImmediate ? 0 : successionRank(shard, owner, shards, leased);
    if (!isImmediate && rank == 0 && leased.contains(shard)) {
      listener.prepareTakeover(detector.state(owner) != PeerState.TRUSTED);
    }
    String reason = takeoverReason(shard, item, owner, isOwn);
    if (reason == null) {
      attemptDueAt.remove(shard);
      return;
    }
    long now = context.now();
    long due = attemptDueAt.computeIfAbsent(shard, s -> now + rank * Constants.TAKEOVER_STAGGER_MS);
    if (now >= due && !isAcquiring && (isImmediate || now >= nextAttemptAt)) {
      acquire(shard, item == null ? 0 : item.stamp(), reason);
    }
  }

  /** Why a shard should be acquired now; null if it should not. */
  private String takeoverReason(String shard, Item item, String owner, boolean isOwn) {
    if (item == null) {
      return shard.equals(context.name()) ? "it is new and this is its home controller" : null;
    }
    if (isOwn) {
      return "this node owned it before its restart";
    }
    if (context.replica().get(Replica.CONTROLLERS, owner) == null) {
      return "the session lease of " + owner + " has ended";
    }
    if (detector.hasEnded(owner)) {
      return owner + " is condemned, its process has ended";
    }
    if (context.now() < cooldownUntil.getOrDefault(shard, 0L)) {
      return null;
    }
    if (detector.state(owner) == PeerState.CONDEMNED) {
      return owner + " is condemned";
    }
    int reports = suspicions.count(shard, context.now());
    if (reports >= 1 && detector.state(owner) == PeerState.SUSPECTED && !detector.isIsolated()) {
      return owner + " is suspected and its workers report to this node";
    }
    return reports >= Constants.MIN_SUSPICION_REPORTS ? "workers do not reach " + owner : null;
  }

  /** This node's position in the succession to an owner; 0 is the first. */
  private int successionRank(String shard, String owner, List<String> shards, List<String> leased) {
    Map<String, Integer> leasedByOwner = new HashMap<>();
    leased.forEach(each -> leasedByOwner.merge(String.valueOf(ownerOf(each)), 1, Integer::sum));
    List<Candidate> candidates = new ArrayList<>();
    for (String name : names) {
      boolean isAvailable =
          name.equals(context.name())
              || (context.replica().get(Replica.CONTROLLERS, name) != null
                  && detector.state(name) == PeerState.TRUSTED);
      if (isAvailable && !name.equals(owner)) {
        candidates.add(new Candidate(name, zoneOf(name), leasedByOwner.getOrDefault(name, 0)));
      }
    }
    List<String> failedShards =
        shards.stream().filter(each -> owner.equals(ownerOf(each))).toList();
    return Succession.plan(failedShards, zoneOf(owner), candidates)
        .get(shard)
        .indexOf(context.name());
  }

  private void acquire(String shard, long stamp, String reason) {
    isAcquiring = true;
    String from = ownerOf(shard);
    LOG.info("node {} takes shard {}: {}", context.name(), shard, reason);
    writeOwner(
        shard,
        stamp,
        context.name(),
        sessionLease.incarnation(),
        result -> {
          isAcquiring = false;
          attemptDueAt.remove(shard);
          suspicions.forget(shard);
          if (result.ok() || result.outcome() == Txn.Outcome.UNKNOWN) {
            // Without an answer the write may still have succeeded; the record will tell.
            previousOwners.put(shard, from);
          }
          if (!result.ok()) {
            LOG.info("shard {} not acquired: {}", shard, result.outcome());
            nextAttemptAt = context.now() + Constants.TAKEOVER_COOLDOWN_MS / 2;
            context.feed().barrier(ok -> {});
          }
        });
  }

  /**
   * Returns an acquired shard to its home controller once that one has been healthy for a while, if
   * this node also owns another leased shard. With only one leased shard there is no load to
   * divide.
   */
  private void considerHandback(String shard, List<String> leased) {
    Item sessionRecord = context.replica().get(Replica.CONTROLLERS, shard);
    PeerHeartbeat heartbeat = detector.heartbeat(shard);
    boolean isHealthy =
        sessionRecord != null
            && heartbeat != null
            && detector.state(shard) == PeerState.TRUSTED
            && heartbeat.stateSilentMs() < Constants.MAX_STALENESS_MS
            && heartbeat.incarnation() == sessionRecord.data().path("incarnation").asLong();
    if (!isHealthy || !listener.owns(shard) || shard.equals(context.name())) {
      healthySince.remove(shard);
      return;
    }
    long since = healthySince.computeIfAbsent(shard, s -> context.now());
    boolean ownsOtherLeased =
        leased.contains(shard)
            && leased.stream().anyMatch(other -> !other.equals(shard) && listener.owns(other));
    if (!ownsOtherLeased || context.now() - since < Constants.SHARD_RETURN_DELAY_MS) {
      return;
    }
    healthySince.remove(shard);
    LOG.info("node {} returns shard {} to its home controller", context.name(), shard);
    writeOwner(shard, listener.stamp(shard), shard, heartbeat.incarnation(), result -> {});
  }

  /** Writes a shard's owner; from then on writes of the former owner fail. */
  private void writeOwner(
      String shard, long stamp, String owner, long incarnation, Consumer<Txn.Result> then) {
    context
        .store()
        .commit(
            Urgency.HANDS,
            new Txn()
                .guard(Wire.key(Replica.SHARDS, shard), stamp)
                .put(
                    Wire.key(Replica.SHARDS, shard),
                    Cbor.map().put("holder", owner).put("incarnation", incarnation)),
            then);
  }

  // ---- record changes ----

  /** Follows a shard's record: acquires, keeps or releases the shard. */
  void recordChanged(String shard) {
    Item item = context.replica().get(Replica.SHARDS, shard);
    startCooldown(shard);
    boolean isOwn =
        item != null
            && sessionLease.incarnation() != 0
            && item.data().path("holder").asText().equals(context.name())
            && item.data().path("incarnation").asLong() == sessionLease.incarnation();
    if (!isOwn) {
      if (listener.owns(shard)) {
        LOG.info("shard {} is held by {} now", shard, ownerOf(shard));
        listener.release(shard);
      }
    } else if (listener.stamp(shard) != item.stamp()) {
      // New to this node, or owned by another in between without this node noticing: the other's
      // writes have to be read first.
      listener.release(shard);
      // The former owner's last writes may not have reached this replica yet: read them first.
      acquireAfterBarrier(shard, item.stamp());
    }
  }

  private void acquireAfterBarrier(String shard, long stamp) {
    context
        .feed()
        .barrier(
            ok -> {
              if (listener.owns(shard) || context.replica().stamp(Replica.SHARDS, shard) != stamp) {
                return;
              }
              if (!ok) {
                acquireAfterBarrier(shard, stamp);
                return;
              }
              listener.acquire(shard, stamp);
            });
  }

  /**
   * Starts the wait before the next takeover of a shard. Workers need time to find a new owner, and
   * some may reach neither. Suspicion reports from before a change of owner are void, and each
   * change soon after another doubles the wait, up to a limit: two nodes that each fail to reach
   * some workers must not take a shard from each other forever.
   */
  private void startCooldown(String shard) {
    long now = context.now();
    boolean isRecent =
        now - cooldownUntil.getOrDefault(shard, 0L) < Constants.MAX_TAKEOVER_COOLDOWN_MS;
    long cooldown =
        isRecent
            ? Math.min(
                Constants.MAX_TAKEOVER_COOLDOWN_MS,
                2 * cooldowns.getOrDefault(shard, Constants.TAKEOVER_COOLDOWN_MS))
            : Constants.TAKEOVER_COOLDOWN_MS;
    cooldowns.put(shard, cooldown);
    cooldownUntil.put(shard, now + cooldown);
    suspicions.forget(shard);
  }
}
