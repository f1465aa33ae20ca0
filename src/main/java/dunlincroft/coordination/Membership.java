package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.StateStore.Wish;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.Beat;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who is there, who leads, and who holds which shard. Clocks, links and accusations only decide
 * when a node acts; whether it may is decided by guarded writes alone, so that a takeover at any
 * moment is safe, also from a node that is alive.
 */
final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  static final String ONE = "one";

  private final World world;
  private final Settings settings;
  private final List<String> names;
  private final Map<String, Long> lastBeat = new HashMap<>();
  private final Map<String, Beat> beats = new HashMap<>();
  private final Map<String, Long> sentAway = new HashMap<>();
  private final Map<String, Map<String, Long>> returned = new HashMap<>();
  private final Runnable onTaken;
  private Wish wish = new Wish(0, 0);
  private long wishedAt;
  private long tenancy;
  private long incarnation;
  private long named;
  private boolean announcing;
  private boolean electing;
  private long leaderSeen;
  private boolean taking;
  private long nextTake;
  private final Map<String, Long> takeDueAt = new HashMap<>();
  private final Map<String, Long> wellSince = new HashMap<>();
  private final Map<String, Long> patienceUntil = new HashMap<>();
  private final Map<String, Long> patience = new HashMap<>();

  Membership(World world, Runnable onTaken) {
    this.world = world;
    this.settings = world.settings;
    this.onTaken = onTaken;
    TreeSet<String> all = new TreeSet<>();
    all.add(settings.node());
    settings.others().forEach(peer -> all.add(peer.node()));
    this.names = List.copyOf(all);
  }

  List<String> names() {
    return names;
  }

  /** A name for a rental or a block that no controller ever gave before or will give again. */
  String nextName() {
    named++;
    return settings.node() + "-" + incarnation + "-" + named;
  }

  // ---- hold ----

  void start() {
    world.store.hold(
        answer -> {
          try {
            if (answer.status() == 200) {
              tenancy = Fields.count(answer.body(), "tenancy");
              if (incarnation == 0) {
                incarnation = tenancy;
                LOG.info("node {} is incarnation {}", settings.node(), incarnation);
              }
              world.env.after(Constants.HOLD_TOUCH_MS, this::touch);
              return;
            }
          } catch (Malformed e) {
            LOG.info("hold: {}", e.getMessage());
          }
          world.env.after(300, this::start);
        });
  }

  private void touch() {
    world.store.touch(
        tenancy,
        answer -> {
          if (answer.status() == 404) {
            LOG.info("our hold {} has ended; taking a new one", tenancy);
            tenancy = 0;
            start();
          } else {
            world.env.after(answer.status() == 200 ? Constants.HOLD_TOUCH_MS : 500, this::touch);
          }
        });
  }

  // ---- the link: advice only ----

  Beat beat() {
    List<String> unheard = names.stream().filter(this::unheard).toList();
    return new Beat(
        settings.node(),
        incarnation,
        world.feed.silentMs(),
        wish.requests(),
        wish.writes(),
        unheard);
  }

  private boolean unheard(String node) {
    return !node.equals(settings.node()) && linkSilentMs(node) > Constants.PEER_LOST_MS;
  }

  /**
   * Most controllers, we among them, say right now that they hear nothing from a node. Where links
   * between controllers are refused nobody says so, and its hold or its workers decide.
   */
  private boolean lost(String node) {
    long say =
        settings.others().stream()
            .filter(peer -> !linkSilent(peer.node()))
            .filter(peer -> beats.get(peer.node()).unheard().contains(node))
            .count();
    return unheard(node) && 2 * (say + 1) > names.size();
  }

  void heard(Beat beat) {
    lastBeat.put(beat.node(), world.now());
    beats.put(beat.node(), beat);
  }

  /**
   * Shares the state service's rates out by what everyone wants. A controller that says nothing is
   * taken to want what it last did; one whose hold has ended wants nothing.
   */
  void shareRates() {
    double seconds = (world.now() - wishedAt) / 1000.0;
    wishedAt = world.now();
    wish = world.store.wish(Math.max(seconds, 0.001));
    List<Wish> others = new ArrayList<>();
    for (Settings.Peer peer : settings.others()) {
      Beat beat = beats.get(peer.node());
      boolean there = beat != null && world.replica.get(Replica.CONTROLLERS, peer.node()) != null;
      others.add(there ? new Wish(beat.requests(), beat.writes()) : new Wish(0, 0));
    }
    world.store.share(wish, others);
  }

  /** Peers could not be heard, and workers went elsewhere for our own silence's sake. */
  void stoodStill(long ms) {
    lastBeat.replaceAll((node, at) -> Math.min(world.now(), at + ms));
    leaderSeen = Math.min(world.now(), leaderSeen + ms);
    returned.clear();
    sentAway.clear();
    takeDueAt.clear();
    wellSince.clear();
  }

  private long linkSilentMs(String node) {
    return world.now() - lastBeat.getOrDefault(node, 0L);
  }

  private boolean linkSilent(String node) {
    return linkSilentMs(node) > Constants.PEER_DOWN_MS;
  }

  /**
   * Whether a shard is about to change hands, or has come to us and we do not act for it yet. When
   * we hear hardly anybody, one node's silence says nothing about it.
   */
  boolean unsettled(String shard) {
    String holder = world.holderOf(shard);
    if (holder == null || world.holds(shard)) {
      return false;
    }
    long heard = settings.others().stream().filter(peer -> !linkSilent(peer.node())).count();
    return holder.equals(settings.node())
        || (linkSilent(holder) && 2 * heard >= settings.others().size());
  }

  /** Every other controller says, right now, that it too hears nothing from the state service. */
  boolean allOutOfTouch() {
    return settings.others().stream()
        .allMatch(
            peer ->
                !linkSilent(peer.node())
                    && beats.get(peer.node()).stateSilentMs() > Constants.STALE_MS / 2);
  }

  // ---- leadership ----

  boolean leads() {
    Item item = world.replica.get(Replica.LEADER, ONE);
    return item != null
        && incarnation != 0
        && item.data().path("name").asText().equals(settings.node())
        && item.data().path("incarnation").asLong() == incarnation;
  }

  String leader() {
    Item item = world.replica.get(Replica.LEADER, ONE);
    return item == null ? null : item.data().path("name").asText(null);
  }

  /** Adds the guard under which a leader writes. */
  Txn asLeader(Txn txn) {
    return txn.guard(Wire.key(Replica.LEADER, ONE), world.replica.stamp(Replica.LEADER, ONE));
  }

  private ObjectNode me() {
    return Cbor.map().put("name", settings.node()).put("incarnation", incarnation);
  }

  /** Decides what this node should hold; called a few times a second. */
  void tick() {
    if (tenancy == 0 || !world.feed.synced() || world.feed.silentMs() > Constants.STALE_MS) {
      return;
    }
    announce();
    Item leader = world.replica.get(Replica.LEADER, ONE);
    if (leader != null) {
      leaderSeen = world.now();
    }
    if (leader == null && !electing && world.now() - leaderSeen >= electionDelay()) {
      electing = true;
      world.store.commit(
          Urgency.HANDS,
          new Txn()
              .guard(Wire.key(Replica.LEADER, ONE), 0)
              .put(Wire.key(Replica.LEADER, ONE), me(), tenancy),
          result -> {
            electing = false;
            if (result.ok()) {
              LOG.info("node {} leads", settings.node());
            }
          });
    }
    // Shards are taken one after the other: those that have machines and jobs first.
    List<String> holders = leaseHolders();
    List<String> shards = new ArrayList<>(names);
    shards.sort(Comparator.comparing(shard -> !holders.contains(shard)));
    for (String shard : shards) {
      considerShard(shard);
      considerHandback(shard);
    }
  }

  /**
   * Who holds machines had better lead: it alone knows which of them are silent, sick or leaving,
   * and whoever rents without that knowledge rents too few.
   */
  private long electionDelay() {
    boolean holder = leaseHolders().isEmpty() || leaseHolders().stream().anyMatch(world::holds);
    return holder ? 0 : Constants.ELECTION_DELAY_MS;
  }

  private void announce() {
    Item item = world.replica.get(Replica.CONTROLLERS, settings.node());
    boolean current = item != null && item.data().path("tenancy").asLong() == tenancy;
    if (current || announcing) {
      return;
    }
    announcing = true;
    world.store.commit(
        Urgency.HOLD,
        new Txn()
            .put(
                Wire.key(Replica.CONTROLLERS, settings.node()),
                me().put("tenancy", tenancy),
                tenancy),
        result -> announcing = false);
  }

  // ---- shards ----

  private void considerShard(String shard) {
    Item item = world.replica.get(Replica.SHARDS, shard);
    String holder = item == null ? null : item.data().path("holder").asText();
    boolean mine = settings.node().equals(holder);
    if (mine && item.data().path("incarnation").asLong() == incarnation) {
      takeDueAt.remove(shard);
      return;
    }
    String why = null;
    if (item == null) {
      why = shard.equals(settings.node()) ? "it is new and ours" : null;
    } else if (mine) {
      why = "we held it before our restart";
    } else if (world.replica.get(Replica.CONTROLLERS, holder) == null) {
      why = "the hold of " + holder + " has ended";
    } else if (world.now() < patienceUntil.getOrDefault(shard, 0L)) {
      why = null;
    } else if (lost(holder)) {
      why = "most controllers hear nothing from " + holder;
    } else if (accused(shard) >= 1 && linkSilent(holder)) {
      why = holder + " is silent and its workers come to us";
    } else if (accused(shard) >= Constants.ACCUSE_COUNT) {
      why = "workers do not reach " + holder;
    }
    if (why == null) {
      takeDueAt.remove(shard);
      return;
    }
    long now = world.now();
    long rank = mine || item == null ? 0 : names.indexOf(settings.node());
    long due = takeDueAt.computeIfAbsent(shard, s -> now + rank * Constants.TAKEOVER_STAGGER_MS);
    if (now >= due && !taking && (mine || now >= nextTake || item == null)) {
      take(shard, item == null ? 0 : item.stamp(), why);
    }
  }

  private void take(String shard, long stamp, String why) {
    taking = true;
    LOG.info("node {} takes shard {}: {}", settings.node(), shard, why);
    give(
        shard,
        stamp,
        settings.node(),
        incarnation,
        result -> {
          taking = false;
          takeDueAt.remove(shard);
          returned.remove(shard);
          if (result.ok()) {
            world.figures.count(Figures.Event.TAKEOVER);
          } else {
            LOG.info("shard {} not taken: {}", shard, result.outcome());
            nextTake = world.now() + Constants.TAKEOVER_PAUSE_MS / 2;
            world.feed.barrier(ok -> {});
          }
        });
  }

  /**
   * A shard that we took goes back to its own controller once that one has been well for a while,
   * if we run another one beside it: with a single shard at work there is nothing to share.
   */
  private void considerHandback(String shard) {
    Item own = world.replica.get(Replica.CONTROLLERS, shard);
    Beat beat = beats.get(shard);
    boolean well =
        own != null
            && beat != null
            && !linkSilent(shard)
            && beat.stateSilentMs() < Constants.STALE_MS
            && beat.incarnation() == own.data().path("incarnation").asLong();
    if (!well || !world.holds(shard) || shard.equals(settings.node())) {
      wellSince.remove(shard);
      return;
    }
    long since = wellSince.computeIfAbsent(shard, s -> world.now());
    boolean atWork =
        leaseHolders().contains(shard)
            && leaseHolders().stream()
                .anyMatch(other -> !other.equals(shard) && world.holds(other));
    if (!atWork || world.now() - since < Constants.HANDBACK_MS) {
      return;
    }
    wellSince.remove(shard);
    LOG.info("node {} hands shard {} back to its own controller", settings.node(), shard);
    give(shard, world.held.getLong(shard), shard, beat.incarnation(), result -> {});
  }

  /** Writes a shard's holder; whoever held it before writes nothing more. */
  private void give(
      String shard, long stamp, String holder, long holderIncarnation, Consumer<Txn.Result> then) {
    world.store.commit(
        Urgency.HANDS,
        new Txn()
            .guard(Wire.key(Replica.SHARDS, shard), stamp)
            .put(
                Wire.key(Replica.SHARDS, shard),
                Cbor.map().put("holder", holder).put("incarnation", holderIncarnation)),
        then);
  }

  /**
   * Workers need a while to find a new holder, and some may reach neither. Accusations from before
   * a change of hands are void, and each change that follows soon makes the next one wait longer:
   * two nodes that each miss some workers must not take a shard from each other for ever.
   */
  private void calm(String shard) {
    long now = world.now();
    boolean soon = now - patienceUntil.getOrDefault(shard, 0L) < Constants.TAKEOVER_CALM_MS;
    long wait =
        soon
            ? Math.min(
                Constants.TAKEOVER_CALM_MS,
                2 * patience.getOrDefault(shard, Constants.TAKEOVER_PAUSE_MS))
            : Constants.TAKEOVER_PAUSE_MS;
    patience.put(shard, wait);
    patienceUntil.put(shard, now + wait);
    returned.remove(shard);
    sentAway.clear();
  }

  /** Follows a shard's record: begins, goes on, or stops acting for it. */
  void shardChanged(String shard) {
    Item item = world.replica.get(Replica.SHARDS, shard);
    calm(shard);
    boolean mine =
        item != null
            && incarnation != 0
            && item.data().path("holder").asText().equals(settings.node())
            && item.data().path("incarnation").asLong() == incarnation;
    if (!mine) {
      if (world.holds(shard)) {
        LOG.info("shard {} is held by {} now", shard, item == null ? null : world.holderOf(shard));
        world.drop(shard);
      }
    } else if (world.held.getLong(shard) != item.stamp()) {
      // New to us, or another held it in between, unseen: its writes are read before we act.
      world.drop(shard);
      // The old holder's last writes may still be on their way to our replica: read them first.
      enter(shard, item.stamp());
    }
  }

  private void enter(String shard, long stamp) {
    world.feed.barrier(
        ok -> {
          if (world.holds(shard) || world.replica.stamp(Replica.SHARDS, shard) != stamp) {
            return;
          }
          if (!ok) {
            enter(shard, stamp);
            return;
          }
          world.take(shard, stamp);
          onTaken.run();
        });
  }

  // ---- accusations ----

  /** A worker whose machine another node holds came to us and is being sent there. */
  void strayed(String host, String shard) {
    long now = world.now();
    Long before = sentAway.put(host, now);
    boolean back = before != null && now - before < Constants.ACCUSE_WINDOW_MS;
    String holder = world.holderOf(shard);
    if (back || (holder != null && linkSilent(holder))) {
      returned.computeIfAbsent(shard, s -> new HashMap<>()).put(host, now);
    }
  }

  private int accused(String shard) {
    Map<String, Long> hosts = returned.get(shard);
    if (hosts == null) {
      return 0;
    }
    hosts.values().removeIf(at -> world.now() - at > Constants.ACCUSE_WINDOW_MS);
    return hosts.size();
  }

  // ---- leases ----

  /** Stamp of the leases' record: it changes with every renewal. */
  long leaseStamp() {
    return world.replica.stamp(Replica.LEASES, ONE);
  }

  /** Shards that blocks are leased to at present; jobs are shared out among them. */
  List<String> leaseHolders() {
    Item item = world.replica.get(Replica.LEASES, ONE);
    List<String> holders = new ArrayList<>();
    if (item != null) {
      item.data().path("holders").forEach(node -> holders.add(node.asText()));
    }
    return holders;
  }

  /** The owner of a new job: the lease holder that the hash of its id and name favours. */
  String ownerOf(String job) {
    String best = null;
    long bestHash = 0;
    for (String holder : leaseHolders()) {
      long hash = Ring.hash(holder + "|" + job);
      if (best == null || hash > bestHash) {
        best = holder;
        bestHash = hash;
      }
    }
    return best;
  }

  /** The leader renews the leases, and leases to more holders as the machines grow in number. */
  void renewLeases() {
    List<String> holders = leaseHolders();
    Item item = world.replica.get(Replica.LEASES, ONE);
    long wall = world.env.wallMillis();
    int machines = world.blocks.hosts().size();
    int each = world.policy.holderMachines();
    int want = Math.max(1, Math.min(names.size(), (machines - 1) / each + 1));
    boolean grow = holders.size() < want;
    boolean shrink =
        holders.size() > want && machines < (holders.size() - 1) * each * Constants.FEWER_HOLDERS;
    if (item != null
        && !grow
        && !shrink
        && item.data().path("until").asLong() - wall > Constants.LEASE_TERM_MS / 2
        && item.data().path("until").asLong() - wall <= Constants.LEASE_TERM_MS) {
      return;
    }
    if (holders.isEmpty()) {
      holders.add(settings.node());
    } else if (grow) {
      names.stream().filter(name -> !holders.contains(name)).findFirst().ifPresent(holders::add);
    } else if (shrink) {
      holders.remove(holders.size() - 1);
    }
    ObjectNode lease = Cbor.map().put("until", wall + Constants.LEASE_TERM_MS);
    holders.forEach(lease.putArray("holders")::add);
    world.store.commit(
        Urgency.HANDS,
        asLeader(new Txn())
            .guard(Wire.key(Replica.LEASES, ONE), item == null ? 0 : item.stamp())
            .put(Wire.key(Replica.LEASES, ONE), lease),
        result -> LOG.debug("leases to {}: {}", holders, result.outcome()));
  }
}
