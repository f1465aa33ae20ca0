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
  private final Local local;
  private final List<String> names;
  private final Hold hold;
  private final FailureDetector detector;
  private final Rates rates;
  private final LowWatermark watermark;
  private final Leadership leadership;
  private final Leases leases;
  private final Accusations accusations = new Accusations();
  private final Custody custody;
  private final Custodian custodian;
  private long named;
  private long refutedAt;

  public Membership(Local local, Custodian custodian) {
    this.local = local;
    this.custodian = custodian;
    TreeSet<String> all = new TreeSet<>();
    local.settings().others().forEach(peer -> all.add(peer.node()));
    detector = new FailureDetector(local.name(), all, local.now());
    all.add(local.name());
    names = List.copyOf(all);
    hold = new Hold(local);
    watermark = new LowWatermark(local.name(), local.env().random().nextLong(), local.now(), names);
    rates = new Rates(local, detector);
    leadership = new Leadership(local, hold, detector);
    leases = new Leases(local);
    custody = new Custody(local, names, hold, detector, leases, accusations, custodian);
  }

  /** All configured controllers, in order. */
  public List<String> names() {
    return names;
  }

  /** A name for a rental or a block that no controller ever gave before or will give again. */
  public String nextName() {
    named++;
    return local.name() + "-" + hold.incarnation() + "-" + named;
  }

  // ---- the clockwork ----

  public void start() {
    hold.start();
  }

  /** Decides what this node should be and hold; called a few times a second. */
  public void tick() {
    detector.tick(local.now());
    refute();
    if (local.feed().silentMs() > Constants.STALE_MS) {
      // Cut off ourselves, perhaps with our zone: that its workers do not reach a holder elsewhere
      // says nothing about the holder.
      accusations.forgetAll();
      return;
    }
    if (hold.tenancy() == 0 || !local.feed().synced()) {
      return;
    }
    hold.announce();
    leadership.tick(holdsMachines());
    custody.tick();
  }

  /**
   * Who is suspected says that it is there. Who holds machines and hears hardly anybody cannot know
   * whether it is, and says so in its record now and then, where links do not matter.
   */
  private void refute() {
    long suspectedAt = detector.suspectedOurselves();
    if (suspectedAt >= 0) {
      hold.refute(suspectedAt);
    } else if (detector.lonely()
        && leases.holders().stream().anyMatch(custodian::holds)
        && local.now() - refutedAt > Constants.REFUTE_MS) {
      refutedAt = local.now();
      hold.refute(hold.count());
    }
  }

  /** Whether we hold a shard with machines, or nobody could. */
  private boolean holdsMachines() {
    List<String> holders = leases.holders();
    return holders.isEmpty() || holders.stream().anyMatch(custodian::holds);
  }

  /** Peers could not be heard, and workers went elsewhere for our own silence's sake. */
  public void stoodStill(long ms) {
    detector.stoodStill(ms, local.now());
    leadership.stoodStill(ms);
    accusations.forgetAll();
    custody.stoodStill();
  }

  /** Our own clockwork runs late, though it did not stand still. */
  public void late() {
    detector.late(local.now());
  }

  // ---- the link: advice only ----

  /**
   * What we tell the others, with the load that users put on us and the machines of ours that do
   * not serve.
   */
  public Beat beat(Beat.Load load, List<String> silentMachines) {
    long stateSilentMs = local.feed().silentMs();
    return new Beat(
        local.name(),
        hold.incarnation(),
        stateSilentMs,
        rates.wish().requests(),
        rates.wish().writes(),
        hold.count(),
        detector.hearings(local.now()),
        load,
        watermark.told(local.now(), local.replica().epoch(), stateSilentMs),
        silentMachines);
  }

  /** Machines that other controllers own and do not hear, as they tell. */
  public Set<String> silentElsewhere() {
    Set<String> silent = new HashSet<>();
    for (String name : names) {
      Beat beat = name.equals(local.name()) ? null : detector.beat(name);
      if (beat != null && detector.trust(name) == Trust.TRUSTED) {
        silent.addAll(beat.silentMachines());
      }
    }
    return silent;
  }

  public void heard(Beat beat) {
    detector.heard(beat, local.now());
    watermark
        .heard(beat, local.now(), local.replica().epoch(), local.feed().currentAt())
        .forEach(cancelled -> custodian.cancelledElsewhere(cancelled.job()));
  }

  // ---- cancellations ----

  /**
   * A user is to be told that a job is cancelled, as a revision says. Returns whether that may be:
   * not while the others go by our promise to tell of nothing more.
   */
  public boolean tellCancelled(String job, long revision) {
    boolean may = watermark.mayTell(revision, local.now());
    if (may) {
      watermark.telling(job, revision);
    }
    return may;
  }

  /**
   * Milliseconds since the moment up to which we know every cancellation that any user was told.
   */
  public long unsureOfCancellationsMs() {
    return local.now() - watermark.at(local.feed().currentAt(), local.now());
  }

  /** No cancellation that is known to us stands at a higher revision. */
  public long cancellationsUpTo() {
    return watermark.cancellationsUpTo(local.replica().epoch());
  }

  /** A controller refuses our connections, or no longer does. */
  public void refused(String node, boolean refused) {
    detector.refused(node, refused);
  }

  public void shareRates() {
    rates.tick();
  }

  /** What is believed of a controller. */
  public Trust trust(String node) {
    return detector.trust(node);
  }

  /**
   * Whether no controller of a zone is heard, though most of those elsewhere are. Never so of our
   * own zone; of one without controllers it only says that we hear others well.
   */
  public boolean onlySilent(String site) {
    int heard = 0;
    int silent = 0;
    for (Settings.Peer peer : local.settings().others()) {
      boolean trusted = detector.trust(peer.node()) == Trust.TRUSTED;
      if (peer.site().equals(site)) {
        if (trusted) {
          return false;
        }
      } else {
        heard += trusted ? 1 : 0;
        silent += trusted ? 0 : 1;
      }
    }
    return !site.equals(local.settings().site()) && heard >= silent;
  }

  /** Milliseconds for which no controller of a zone was heard; 0 for a zone without others. */
  public long silentMs(String site) {
    return local.settings().others().stream()
        .filter(peer -> peer.site().equals(site))
        .mapToLong(peer -> detector.silentMs(peer.node(), local.now()))
        .min()
        .orElse(0);
  }

  /**
   * Whether we took a shard from a controller of that zone: cut off with it, it goes on answering
   * the workers there for a while.
   */
  public boolean takenFrom(String shard, String site) {
    String from = custody.takenFrom(shard);
    return from != null && custody.siteOf(from).equals(site);
  }

  /**
   * Whether a controller that we hear has had its hold already, so that it may serve users. One
   * that has just begun has not.
   */
  public boolean othersAtWork() {
    return local.settings().others().stream()
        .map(Settings.Peer::node)
        .anyMatch(
            peer ->
                detector.trust(peer) == Trust.TRUSTED
                    && detector.beat(peer) != null
                    && detector.beat(peer).incarnation() != 0);
  }

  /** Every other controller says, right now, that it too hears nothing from the state service. */
  public boolean allOutOfTouch() {
    return local.settings().others().stream()
        .map(Settings.Peer::node)
        .allMatch(
            peer ->
                detector.trust(peer) == Trust.TRUSTED
                    && detector.beat(peer) != null
                    && detector.beat(peer).stateSilentMs() > Constants.STALE_MS / 2);
  }

  /**
   * Whether the state service seems to be down for all and not for us alone: others are heard, and
   * none of them that has its hold says that it hears it.
   */
  public boolean outageIsCommon() {
    List<String> heard =
        local.settings().others().stream()
            .map(Settings.Peer::node)
            .filter(peer -> detector.trust(peer) == Trust.TRUSTED && detector.beat(peer) != null)
            .toList();
    return !heard.isEmpty() && heard.stream().noneMatch(this::inTouch);
  }

  private boolean inTouch(String peer) {
    Beat beat = detector.beat(peer);
    return beat.incarnation() != 0 && beat.stateSilentMs() <= Constants.STALE_MS / 2;
  }

  // ---- records ----

  /** A record changed. */
  public void changed(String kind, String name) {
    switch (kind) {
      case Replica.SHARDS -> custody.changed(name);
      case Replica.CONTROLLERS -> {
        if (local.replica().get(kind, name) != null) {
          wrote(name);
        }
      }
      case Replica.LOGS -> wrote(custody.holderOf(name.substring(0, name.indexOf('/'))));
      default -> {}
    }
  }

  private void wrote(String node) {
    if (node != null && local.feed().synced()) {
      detector.wrote(node, local.now());
    }
  }

  // ---- leadership and leases ----

  public boolean leads() {
    return leadership.leads();
  }

  public String leader() {
    return leadership.leader();
  }

  /** Stamp of the leader's record: it changes with the leader. */
  public long leaderStamp() {
    return leadership.stamp();
  }

  /** Adds the guard under which a leader writes. */
  public Txn asLeader(Txn txn) {
    return leadership.asLeader(txn);
  }

  /** Stamp of the leases' record: it changes with every renewal. */
  public long leaseStamp() {
    return leases.stamp();
  }

  /** Shards that blocks are leased to at present; jobs are shared out among them. */
  public List<String> leaseHolders() {
    return leases.holders();
  }

  /** The owner of a new job: the lease holder that the hash of its id and name favours. */
  public String ownerOf(String job) {
    return leases.ownerOf(job);
  }

  /** The leader renews the leases, for so many machines, and one holder for each so many. */
  public void renewLeases(int machines, int machinesEach) {
    leases.renew(asLeader(new Txn()), names, machines, machinesEach);
  }

  // ---- shards and workers ----

  /** The controller that a shard's record names, or null. */
  public String holderOf(String shard) {
    return custody.holderOf(shard);
  }

  /** Whether the life of another controller that a shard's record names is there, as we hear it. */
  public boolean holderActs(String shard) {
    String holder = custody.holderOf(shard);
    if (holder == null || holder.equals(local.name()) || detector.beat(holder) == null) {
      return false;
    }
    long recorded = local.replica().get(Replica.SHARDS, shard).data().path("incarnation").asLong();
    return detector.trust(holder) == Trust.TRUSTED
        && detector.beat(holder).incarnation() == recorded;
  }

  /** Whether a shard is about to change hands, or has come to us and we do not act for it yet. */
  public boolean unsettled(String shard) {
    return custody.unsettled(shard);
  }

  /**
   * A worker whose machine another node holds came to us and is being sent there. Returns whether
   * it may accuse that one: then it must be asked, as it may be the worker that does not hear.
   */
  public boolean strayed(String host, String shard) {
    String holder = custody.holderOf(shard);
    // Who hears hardly anybody has no right to suspect one: then the worker must come again.
    boolean suspected =
        holder != null && detector.trust(holder) != Trust.TRUSTED && !detector.lonely();
    return accusations.strayed(host, suspected, local.now())
        && accusations.against(shard, local.now()) < Constants.ACCUSE_COUNT;
  }

  /** A worker that answered us does not reach its holder. */
  public void accuse(String host, String shard) {
    accusations.accuse(host, shard, local.now());
  }
}
