package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.transport.Beat;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The narrow face of membership: who is there, who leads, and who holds which shard. Clocks, links
 * and accusations only decide when a node acts; whether it may is decided by guarded writes alone,
 * so that a takeover at any moment is safe, also from a node that is alive.
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
    context.settings().others().forEach(peer -> all.add(peer.node()));
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

  /** All configured controllers, in order. */
  public List<String> names() {
    return names;
  }

  /** A name for a rental or a block that no controller ever gave before or will give again. */
  public String nextName() {
    nameCount++;
    return context.name() + "-" + sessionLease.incarnation() + "-" + nameCount;
  }

  // ---- the clockwork ----

  public void start() {
    sessionLease.start();
  }

  /** Decides what this node should be and hold; called a few times a second. */
  public void tick() {
    detector.tick(context.now());
    refute();
    if (context.feed().silentMs() > Constants.STALE_MS) {
      // Cut off ourselves, perhaps with our zone: that its workers do not reach a holder elsewhere
      // says nothing about the holder.
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
   * Who is suspected says that it is there. Who holds machines and hears hardly anybody cannot know
   * whether it is, and says so in its record now and then, where links do not matter.
   */
  private void refute() {
    long suspectedAt = detector.highestSuspicionOfSelf();
    if (suspectedAt >= 0) {
      sessionLease.refute(suspectedAt);
    } else if (detector.isIsolated()
        && blockLeases.currentShards().stream().anyMatch(listener::owns)
        && context.now() - refutedAt > Constants.REFUTE_MS) {
      refutedAt = context.now();
      sessionLease.refute(sessionLease.refutations());
    }
  }

  /** Whether we hold a shard with machines, or nobody could. */
  private boolean ownsMachines() {
    List<String> shards = blockLeases.currentShards();
    return shards.isEmpty() || shards.stream().anyMatch(listener::owns);
  }

  /** Peers could not be heard, and workers went elsewhere for our own silence's sake. */
  public void pauseDetected(long ms) {
    detector.pauseDetected(ms, context.now());
    leadership.pauseDetected(ms);
    suspicions.forgetAll();
    ownership.pauseDetected();
  }

  /** Our own clockwork runs late, though it did not stand still. */
  public void ticksDelayed() {
    detector.ticksDelayed(context.now());
  }

  // ---- the link: advice only ----

  /**
   * What we tell the others, with the load that users put on us and the machines of ours that do
   * not serve.
   */
  public Beat heartbeat(Beat.Load load, List<String> silentMachines) {
    long stateSilentMs = context.feed().silentMs();
    return new Beat(
        context.name(),
        sessionLease.incarnation(),
        stateSilentMs,
        rateSharing.demand().requests(),
        rateSharing.demand().writes(),
        sessionLease.refutations(),
        detector.observations(context.now()),
        load,
        watermark.createReport(context.now(), context.replica().epoch(), stateSilentMs),
        silentMachines);
  }

  /** Machines that other controllers own and do not hear, as they tell. */
  public Set<String> silentMachinesOfPeers() {
    Set<String> hosts = new HashSet<>();
    for (String name : names) {
      Beat heartbeat = name.equals(context.name()) ? null : detector.heartbeat(name);
      if (heartbeat != null && detector.state(name) == PeerState.TRUSTED) {
        hosts.addAll(heartbeat.silentMachines());
      }
    }
    return hosts;
  }

  public void heartbeatReceived(Beat heartbeat) {
    detector.heartbeatReceived(heartbeat, context.now());
    watermark
        .heartbeatReceived(
            heartbeat, context.now(), context.replica().epoch(), context.feed().currentAt())
        .forEach(cancelled -> listener.cancelledByPeer(cancelled.job()));
  }

  // ---- cancellations ----

  /**
   * A user is to be told that a job is cancelled, as a revision says. Returns whether that may be:
   * not while the others go by our promise to tell of nothing more.
   */
  public boolean acknowledgeCancellation(String job, long revision) {
    boolean isAllowed = watermark.canAcknowledge(revision, context.now());
    if (isAllowed) {
      watermark.recordAcknowledgement(job, revision);
    }
    return isAllowed;
  }

  /**
   * Milliseconds since the moment up to which we know every cancellation that any user was told.
   */
  public long cancellationLagMs() {
    return context.now() - watermark.value(context.feed().currentAt(), context.now());
  }

  /** No cancellation that is known to us stands at a higher revision. */
  public long highestCancellationRevision() {
    return watermark.highestKnownRevision(context.replica().epoch());
  }

  /** A controller refuses our connections, or no longer does. */
  public void connectionRefused(String node, boolean refused) {
    detector.connectionRefused(node, refused);
  }

  public void shareRates() {
    rateSharing.tick();
  }

  /** What is believed of a controller. */
  public PeerState peerState(String node) {
    return detector.state(node);
  }

  /**
   * Whether no controller of a zone is heard, though most of those elsewhere are. Never so of our
   * own zone; of one without controllers it only says that we hear others well.
   */
  public boolean isOnlySilentZone(String zone) {
    int heard = 0;
    int silent = 0;
    for (Settings.Peer peer : context.settings().others()) {
      boolean trusted = detector.state(peer.node()) == PeerState.TRUSTED;
      if (peer.site().equals(zone)) {
        if (trusted) {
          return false;
        }
      } else {
        heard += trusted ? 1 : 0;
        silent += trusted ? 0 : 1;
      }
    }
    return !zone.equals(context.settings().site()) && heard >= silent;
  }

  /** Milliseconds for which no controller of a zone was heard; 0 for a zone without others. */
  public long zoneSilentMs(String zone) {
    return context.settings().others().stream()
        .filter(peer -> peer.site().equals(zone))
        .mapToLong(peer -> detector.silentMs(peer.node(), context.now()))
        .min()
        .orElse(0);
  }

  /**
   * Whether we took a shard from a controller of that zone: cut off with it, it goes on answering
   * the workers there for a while.
   */
  public boolean isAcquiredFrom(String shard, String zone) {
    String from = ownership.previousOwner(shard);
    return from != null && ownership.zoneOf(from).equals(zone);
  }

  /**
   * Whether a controller that we hear has had its hold already, so that it may serve users. One
   * that has just begun has not.
   */
  public boolean hasActivePeers() {
    return context.settings().others().stream()
        .map(Settings.Peer::node)
        .anyMatch(
            peer ->
                detector.state(peer) == PeerState.TRUSTED
                    && detector.heartbeat(peer) != null
                    && detector.heartbeat(peer).incarnation() != 0);
  }

  /** Every other controller says, right now, that it too hears nothing from the state service. */
  public boolean areAllPeersDisconnected() {
    return context.settings().others().stream()
        .map(Settings.Peer::node)
        .allMatch(
            peer ->
                detector.state(peer) == PeerState.TRUSTED
                    && detector.heartbeat(peer) != null
                    && detector.heartbeat(peer).stateSilentMs() > Constants.STALE_MS / 2);
  }

  /**
   * Whether the state service seems to be down for all and not for us alone: others are heard, and
   * none of them that has its hold says that it hears it.
   */
  public boolean isCommonOutage() {
    List<String> heard =
        context.settings().others().stream()
            .map(Settings.Peer::node)
            .filter(
                peer ->
                    detector.state(peer) == PeerState.TRUSTED && detector.heartbeat(peer) != null)
            .toList();
    return !heard.isEmpty() && heard.stream().noneMatch(this::isConnected);
  }

  private boolean isConnected(String peer) {
    Beat heartbeat = detector.heartbeat(peer);
    return heartbeat.incarnation() != 0 && heartbeat.stateSilentMs() <= Constants.STALE_MS / 2;
  }

  // ---- records ----

  /** A record changed. */
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

  /** Stamp of the leader's record: it changes with the leader. */
  public long leaderStamp() {
    return leadership.stamp();
  }

  /** Adds the guard under which a leader writes. */
  public Txn guardAsLeader(Txn txn) {
    return leadership.guardAsLeader(txn);
  }

  /** Stamp of the leases' record: it changes with every renewal. */
  public long leaseStamp() {
    return blockLeases.stamp();
  }

  /** Shards that blocks are leased to at present; jobs are shared out among them. */
  public List<String> leasedShards() {
    return blockLeases.currentShards();
  }

  /** The owner of a new job: the lease holder that the hash of its id and name favours. */
  public String shardForJob(String job) {
    return blockLeases.shardForJob(job);
  }

  /** The leader renews the leases, for so many machines, and one holder for each so many. */
  public void renewLeases(int machines, int machinesPerShard) {
    blockLeases.renew(guardAsLeader(new Txn()), names, machines, machinesPerShard);
  }

  // ---- shards and workers ----

  /** The controller that a shard's record names, or null. */
  public String ownerOf(String shard) {
    return ownership.ownerOf(shard);
  }

  /** Whether the life of another controller that a shard's record names is there, as we hear it. */
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

  /** Whether a shard is about to change hands, or has come to us and we do not act for it yet. */
  public boolean isOwnerChanging(String shard) {
    return ownership.isOwnerChanging(shard);
  }

  /**
   * A worker whose machine another node holds came to us and is being sent there. Returns whether
   * it may accuse that one: then it must be asked, as it may be the worker that does not hear.
   */
  public boolean recordRedirect(String host, String shard) {
    String owner = ownership.ownerOf(shard);
    // Who hears hardly anybody has no right to suspect one: then the worker must come again.
    boolean suspected =
        owner != null && detector.state(owner) != PeerState.TRUSTED && !detector.isIsolated();
    return suspicions.recordRedirect(host, suspected, context.now())
        && suspicions.count(shard, context.now()) < Constants.ACCUSE_COUNT;
  }

  /** A worker that answered us does not reach its holder. */
  public void reportUnreachable(String host, String shard) {
    suspicions.reportUnreachable(host, shard, context.now());
  }
}
