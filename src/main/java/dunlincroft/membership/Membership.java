package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.transport.PeerHeartbeat;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Facade of the membership package: which controllers are alive, which one leads, and which owns
 * each shard. Clocks, connections and suspicions only decide when a node acts. Whether it may act
 * is decided by guarded writes alone, so a takeover is safe at any time, even from a node that is
 * alive.
 */
public final class Membership {
  private final NodeContext context;
  private final List<String> names;
  private final SessionLease sessionLease;
  private final FailureDetector detector;
  private final RateSharing rateSharing;
  private final LowWatermark watermark;
  private final Leadership leadership;
  private final BlockLeases blockLeases;
  private final SuspicionReports suspicions = new SuspicionReports();
  private final ShardOwnership ownership;
  private final ShardListener listener;
  private long nameCount;
  private long refutedAt;

  public Membership(NodeContext context, ShardListener listener) {
    this.context = context;
    this.listener = listener;
    TreeSet<String> all = new TreeSet<>();
    context.settings().peers().forEach(peer -> all.add(peer.nodeName()));
    detector = new FailureDetector(context.name(), all, context.now());
    all.add(context.name());
    names = List.copyOf(all);
    sessionLease = new SessionLease(context);
    watermark =
        new LowWatermark(context.name(), context.env().random().nextLong(), context.now(), names);
    rateSharing = new RateSharing(context, detector);
    leadership = new Leadership(context, sessionLease, detector);
    blockLeases = new BlockLeases(context);
    ownership =
        new ShardOwnership(
            context, names, sessionLease, detector, blockLeases, suspicions, listener);
  }

  /** All configured controllers, sorted by name. */
  public List<String> names() {
    return names;
  }

  /** A name for a rental or a block, unique over all controllers and incarnations. */
  public String nextName() {
    nameCount++;
    return context.name() + "-" + sessionLease.incarnation() + "-" + nameCount;
  }

  // ---- periodic work ----

  public void start() {
    sessionLease.start();
  }

  /** Updates leadership and shard ownership; called a few times a second. */
  public void tick() {
    detector.tick(context.now());
    refute();
    if (context.feed().stalenessMs() > Constants.MAX_STALENESS_MS) {
      // This node is itself disconnected, perhaps with its zone: that workers of the zone do not
      // reach an owner elsewhere says nothing about that owner.
      suspicions.forgetAll();
      return;
    }
    if (sessionLease.id() == 0 || !context.feed().synced()) {
      return;
    }
    sessionLease.writeRecord();
    leadership.tick(ownsMachines());
    ownership.tick();
  }

  /**
   * Refutes suspicions of this node. A node that owns machines and is isolated cannot know whether
   * it is suspected, so it refutes periodically through its record, which does not depend on
   * connections between controllers.
   */
  private void refute() {
    long suspectedAt = detector.highestSuspicionOfSelf();
    if (suspectedAt >= 0) {
      sessionLease.refute(suspectedAt);
    } else if (detector.isIsolated()
        && blockLeases.currentShards().stream().anyMatch(listener::owns)
        && context.now() - refutedAt > Constants.REFUTATION_INTERVAL_MS) {
      refutedAt = context.now();
      sessionLease.refute(sessionLease.refutations());
    }
  }

  /** Whether this node owns a shard with machines, or no shard has machines yet. */
  private boolean ownsMachines() {
    List<String> shards = blockLeases.currentShards();
    return shards.isEmpty() || shards.stream().anyMatch(listener::owns);
  }

  /**
   * Called after this process was paused: peers could not be heard, and workers turned to other
   * controllers only because of the pause.
   */
  public void pauseDetected(long ms) {
    detector.pauseDetected(ms, context.now());
    leadership.pauseDetected(ms);
    suspicions.forgetAll();
    ownership.pauseDetected();
  }

  /** Called when ticks of this process run late, though it was not paused. */
  public void ticksDelayed() {
    detector.ticksDelayed(context.now());
  }

  // ---- heartbeats between controllers ----

  /**
   * The next heartbeat of this node, with its admission load and its machines that do not respond.
   */
  public PeerHeartbeat heartbeat(PeerHeartbeat.Load load, List<String> silentMachines) {
    long stateSilentMs = context.feed().stalenessMs();
    return new PeerHeartbeat(
        context.name(),
        sessionLease.incarnation(),
        stateSilentMs,
        rateSharing.demand().requests(),
        rateSharing.demand().writes(),
        sessionLease.refutations(),
        detector.observations(context.now()),
        load,
        watermark.createReport(context.now(), context.replica().revision(), stateSilentMs),
        silentMachines);
  }

  /** Machines owned by other controllers that those report as silent. */
  public Set<String> silentMachinesOfPeers() {
    Set<String> hosts = new HashSet<>();
    for (String name : names) {
      PeerHeartbeat heartbeat = name.equals(context.name()) ? null : detector.heartbeat(name);
      if (heartbeat != null && detector.state(name) == PeerState.TRUSTED) {
        hosts.addAll(heartbeat.silentMachines());
      }
    }
    return hosts;
  }

  public void heartbeatReceived(PeerHeartbeat heartbeat) {
    detector.heartbeatReceived(heartbeat, context.now());
    watermark
        .heartbeatReceived(
            heartbeat, context.now(), context.replica().revision(), context.feed().currentAsOf())
        .forEach(cancelled -> listener.cancelledByPeer(cancelled.job()));
  }

  // ---- cancellations ----

  /**
   * Called before a user is told that a job is cancelled, as written at {@code revision}. Returns
   * whether that may be acknowledged: not while the other controllers rely on this node's
   * suspension of acknowledgements.
   */
  public boolean acknowledgeCancellation(String job, long revision) {
    boolean isAllowed = watermark.canAcknowledge(revision, context.now());
    if (isAllowed) {
      watermark.recordAcknowledgement(job, revision);
    }
    return isAllowed;
  }

  /** Milliseconds since the time up to which every cancellation that any user was told is known. */
  public long cancellationLagMs() {
    return context.now() - watermark.value(context.feed().currentAsOf(), context.now());
  }

  /** The highest revision of any cancellation known to this node. */
  public long highestCancellationRevision() {
    return watermark.highestKnownRevision(context.replica().revision());
  }

  /** A controller refuses connections of this node, or no longer does. */
  public void connectionRefused(String node, boolean refused) {
    detector.connectionRefused(node, refused);
  }

  public void shareRates() {
    rateSharing.tick();
  }

  public PeerState peerState(String node) {
    return detector.state(node);
  }

  /**
   * Whether no controller of a zone is heard, while at least half of those elsewhere are. False for
   * this node's own zone; for a zone without controllers it only says that enough others are heard.
   */
  public boolean isOnlySilentZone(String zone) {
    int heard = 0;
    int silent = 0;
    for (Settings.Peer peer : context.settings().peers()) {
      boolean trusted = detector.state(peer.nodeName()) == PeerState.TRUSTED;
      if (peer.zone().equals(zone)) {
        if (trusted) {
          return false;
        }
      } else {
        heard += trusted ? 1 : 0;
        silent += trusted ? 0 : 1;
      }
    }
    return !zone.equals(context.settings().zone()) && heard >= silent;
  }

  /**
   * Milliseconds since any controller of a zone was heard; 0 for a zone without other controllers.
   */
  public long zoneSilentMs(String zone) {
    return context.settings().peers().stream()
        .filter(peer -> peer.zone().equals(zone))
        .mapToLong(peer -> detector.silentMs(peer.nodeName(), context.now()))
        .min()
        .orElse(0);
  }

  /**
   * Whether a shard was acquired from a controller of that zone: if the zone is partitioned, that
   * controller goes on answering the workers there for a while.
   */
  public boolean isAcquiredFrom(String shard, String zone) {
    String from = ownership.previousOwner(shard);
    return from != null && ownership.zoneOf(from).equals(zone);
  }

  /**
   * Whether a trusted controller has had a session lease already, so that it may serve users. One
   * that has just started has not.
   */
  public boolean hasActivePeers() {
    return context.settings().peers().stream()
        .map(Settings.Peer::nodeName)
        .anyMatch(
            peer ->
                detector.state(peer) == PeerState.TRUSTED
                    && detector.heartbeat(peer) != null
                    && detector.heartbeat(peer).incarnation() != 0);
  }

  /**
   * Whether every other controller reports at present that it is disconnected from the state
   * service, too.
   */
  public boolean areAllPeersDisconnected() {
    return context.settings().peers().stream()
        .map(Settings.Peer::nodeName)
        .allMatch(
            peer ->
                detector.state(peer) == PeerState.TRUSTED
                    && detector.heartbeat(peer) != null
                    && detector.heartbeat(peer).stateSilentMs() > Constants.MAX_STALENESS_MS / 2);
  }

  /**
   * Whether the state service seems to be down for all controllers and not only for this node:
   * others are heard, and none of them that has a session lease reports to be connected.
   */
  public boolean isCommonOutage() {
    List<String> heard =
        context.settings().peers().stream()
            .map(Settings.Peer::nodeName)
            .filter(
                peer ->
                    detector.state(peer) == PeerState.TRUSTED && detector.heartbeat(peer) != null)
            .toList();
    return !heard.isEmpty() && heard.stream().noneMatch(this::isConnected);
  }

  private boolean isConnected(String peer) {
    PeerHeartbeat heartbeat = detector.heartbeat(peer);
    return heartbeat.incarnation() != 0
        && heartbeat.stateSilentMs() <= Constants.MAX_STALENESS_MS / 2;
  }

  // ---- records ----

  /** Called when a record has changed in the replica. */
  public void recordChanged(String kind, String name) {
    switch (kind) {
      case Replica.SHARDS -> ownership.recordChanged(name);
      case Replica.CONTROLLERS -> {
        if (context.replica().get(kind, name) != null) {
          recordWritten(name);
        }
      }
      case Replica.LOGS -> recordWritten(ownership.ownerOf(name.substring(0, name.indexOf('/'))));
      default -> {}
    }
  }

  private void recordWritten(String node) {
    if (node != null && context.feed().synced()) {
      detector.recordWritten(node, context.now());
    }
  }

  // ---- leadership and leases ----

  public boolean isLeader() {
    return leadership.isLeader();
  }

  public String leader() {
    return leadership.leader();
  }

  /** Stamp of the leader's record; it changes with the leader. */
  public long leaderStamp() {
    return leadership.stamp();
  }

  /** Adds the guard under which a leader writes. */
  public Txn guardAsLeader(Txn txn) {
    return leadership.guardAsLeader(txn);
  }

  /** Stamp of the block leases' record; it changes with every renewal. */
  public long leaseStamp() {
    return blockLeases.stamp();
  }

  /** Shards that blocks are leased to at present; new jobs are distributed among them. */
  public List<String> leasedShards() {
    return blockLeases.currentShards();
  }

  /** The shard that owns a new job, chosen among the leased shards by rendezvous hashing. */
  public String shardForJob(String job) {
    return blockLeases.shardForJob(job);
  }

  /**
   * Renews the block leases as the leader: one leased shard for every {@code machinesPerShard}
   * machines.
   */
  public void renewLeases(int machines, int machinesPerShard) {
    blockLeases.renew(guardAsLeader(new Txn()), names, machines, machinesPerShard);
  }

  // ---- shards and workers ----

  /** The controller that a shard's record names as its owner, or null. */
  public String ownerOf(String shard) {
    return ownership.ownerOf(shard);
  }

  /**
   * Whether the owner of a shard is another controller that is trusted and still the incarnation
   * that the record names.
   */
  public boolean isOwnerAlive(String shard) {
    String owner = ownership.ownerOf(shard);
    if (owner == null || owner.equals(context.name()) || detector.heartbeat(owner) == null) {
      return false;
    }
    long recorded =
        context.replica().get(Replica.SHARDS, shard).data().path("incarnation").asLong();
    return detector.state(owner) == PeerState.TRUSTED
        && detector.heartbeat(owner).incarnation() == recorded;
  }

  /**
   * Whether a shard is about to change its owner, or belongs to this node but is not acquired yet.
   */
  public boolean isOwnerChanging(String shard) {
    return ownership.isOwnerChanging(shard);
  }

  /**
   * A worker whose machine another controller owns reported here and is being redirected. Returns
   * whether it may be counted against that owner. The caller must then check that the worker
   * receives answers, as the fault may be on the worker's side.
   */
  public boolean recordRedirect(String host, String shard) {
    String owner = ownership.ownerOf(shard);
    // An isolated node must not suspect others; the worker then has to return to be counted.
    boolean suspected =
        owner != null && detector.state(owner) != PeerState.TRUSTED && !detector.isIsolated();
    return suspicions.recordRedirect(host, suspected, context.now())
        && suspicions.count(shard, context.now()) < Constants.MIN_SUSPICION_REPORTS;
  }

  /** A worker that answers this node does not reach the owner of its shard. */
  public void reportUnreachable(String host, String shard) {
    suspicions.reportUnreachable(host, shard, context.now());
  }
}
