package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.BlockRecord;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.Listing;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machines: the leader rents them and leases them as blocks; a shard's holder returns those that
 * are dead, sick, noticed or not needed. A release answered 200 is the proof that lets tasks move.
 */
final class Supply {
  private static final Logger LOG = LoggerFactory.getLogger(Supply.class);

  /** Machines there, with those that boot or are asked for. */
  private record Have(int ordinary, int cheap, int blocks) {}

  private final World world;
  private final Membership members;
  private final WorkerDesk desk;
  private final Ledger ledger;
  private final Cloud cloud;
  private final Demand demand;
  private final Adoption adoption;
  private final Map<String, Long> seenUnknown = new HashMap<>();
  private final Map<BlockClass, Long> refusedUntil = new HashMap<>();
  private final Map<String, Progress> progress = new HashMap<>();
  private final Map<BlockClass, Integer> hiring = new HashMap<>();
  private long nextList;
  private long nextTypes;
  private long nextConsolidation;
  private final Set<String> recording = new HashSet<>();
  private boolean listing;
  private boolean releasing;
  private final long suspectMs;

  Supply(
      World world,
      Membership members,
      WorkerDesk desk,
      Ledger ledger,
      Cloud cloud,
      Demand demand,
      Adoption adoption) {
    this.world = world;
    this.members = members;
    this.desk = desk;
    this.ledger = ledger;
    this.cloud = cloud;
    this.demand = demand;
    this.adoption = adoption;
    this.suspectMs = world.reports(Constants.SUSPECT_REPORTS);
  }

  // ---- types ----

  /** Every node learns the types from the record; who knows none asks the cloud. */
  void typesTick() {
    if (world.now() < nextTypes || (!members.leads() && !world.types.isEmpty())) {
      return;
    }
    nextTypes = world.now() + (world.types.isEmpty() ? 2000 : Constants.TYPES_MS);
    cloud.call(
        false,
        "GET",
        Wire.MACHINE_TYPES,
        null,
        (status, body) -> {
          List<MachineType> types =
              status == 200 && body != null ? World.parseTypes(body) : List.of();
          if (types.isEmpty()) {
            LOG.info("machine types not to be had: {}", status);
            nextTypes = world.now() + 2000;
            return;
          }
          boolean first = world.types.isEmpty();
          world.types(types);
          if (members.leads() && (first || world.replica.get(Replica.TYPES, "all") == null)) {
            world.store.commit(
                Urgency.LAZY,
                members
                    .asLeader(new Txn())
                    .put(Wire.key(Replica.TYPES, "all"), MachineType.toNode(types)),
                result -> LOG.debug("types recorded: {}", result.outcome()));
          }
        });
  }

  // ---- the leader ----

  void leaderTick() {
    adoption.tick();
    recordShares();
    listTick();
    if (!world.types.isEmpty() && world.feed.silentMs() < Constants.STALE_MS) {
      hireTick();
      helpStarved();
    }
    ledger.sweep();
  }

  /** The first lease holder gets each team's whole limit; shares move by their holders alone. */
  private void recordShares() {
    List<String> holders = members.leaseHolders();
    if (holders.isEmpty()) {
      return;
    }
    Txn txn = members.asLeader(new Txn());
    for (Settings.Team team : world.settings.teams().values()) {
      String key = Wire.key(Replica.SHARES, team.name());
      if (world.replica.get(Replica.SHARES, team.name()) == null
          && txn.size() < world.settings.txnOps()) {
        ObjectNode share = Cbor.map();
        share
            .putObject(holders.get(0))
            .put("cpu", team.limit().cpu())
            .put("gpu", team.limit().gpu());
        txn.guard(key, 0).put(key, share);
      }
    }
    if (txn.size() > 0) {
      world.store.commit(
          Urgency.HANDS, txn, result -> LOG.debug("shares recorded: {}", result.outcome()));
    }
  }

  private long lags(double number) {
    return (long) (world.settings.listLagS() * number * 1000);
  }

  /**
   * A new holder looks up where its machines are. Workers of one that is alive but cut off stay
   * with it for a while: unless we ask them ourselves, they seem silent, and are released.
   */
  void findMachines() {
    nextList = 0;
    listTick();
  }

  private void listTick() {
    if (listing || world.now() < nextList) {
      return;
    }
    nextList = world.now() + Constants.LIST_MS;
    listing = true;
    listFrom("", new HashSet<>());
  }

  private void listFrom(String since, Set<String> seen) {
    cloud.call(
        false,
        "GET",
        Wire.MACHINES + "?since=" + since + "&most=" + Constants.MACHINE_PAGE,
        null,
        (status, body) -> {
          listing = false;
          if (status != 200 || body == null) {
            LOG.info("machine list not to be had: {}", status);
            return;
          }
          try {
            String last = since;
            for (JsonNode item : Fields.list(body, "hosts")) {
              Listing machine = Listing.parse(item);
              last = machine.host();
              seen.add(last);
              listed(machine);
            }
            if (Fields.flag(body, "hasNext")) {
              listing = true;
              listFrom(last, seen);
            } else {
              seenUnknown.keySet().retainAll(seen);
            }
          } catch (Malformed e) {
            LOG.info("machine list: {}", e.getMessage());
          }
        });
  }

  private void listed(Listing machine) {
    if (world.blocks.of(machine.host()) == null) {
      // The list lags: a machine returned a moment ago still shows. One that stays is unexpected.
      if (members.leads()
          && !adoption.isGone(machine.host())
          && world.now() - seenUnknown.computeIfAbsent(machine.host(), host -> world.now())
              >= lags(Constants.UNKNOWN_LAGS)) {
        LOG.info("host {} is listed and has no block: adopted", machine.host());
        adoption.adopt(
            List.of(machine.host()),
            new BlockClass(machine.flavour(), machine.hall(), machine.lendable()),
            world.env.wallMillis() - (long) (machine.heldS() * 1000),
            null);
      }
      return;
    }
    Machine ours = world.machines.get(machine.host());
    if (ours != null && ours.endpoint == null) {
      ours.endpoint = machine.endpoint();
      desk.probe(ours);
    }
    if (ours != null && machine.status().equals(Listing.FAILED) && ours.draining == null) {
      LOG.info("host {} is listed as failed", machine.host());
      ours.draining = "failed";
    }
  }

  private Have have(String type) {
    int ordinary = asked(type, false) + adoption.coming(type, false);
    int cheap = asked(type, true) + adoption.coming(type, true);
    int blocks = 0;
    for (BlockIndex.Block block : world.blocks.all()) {
      BlockClass blockClass = block.record().blockClass();
      if (!blockClass.flavour().equals(type)) {
        continue;
      }
      for (String host : block.record().hosts().keySet()) {
        blocks++;
        Machine machine = world.machines.get(host);
        if (machine == null || counts(machine)) {
          cheap += blockClass.lendable() ? 1 : 0;
          ordinary += blockClass.lendable() ? 0 : 1;
        }
      }
    }
    return new Have(ordinary, cheap, blocks);
  }

  /** Whether a machine serves, or will soon: one that is late to boot may never come. */
  private boolean counts(Machine machine) {
    if (machine.draining != null && !machine.draining.equals(SURPLUS)) {
      return false;
    }
    if (machine.reported) {
      return world.now() - machine.lastHeard < suspectMs;
    }
    double startupS = machine.type == null ? 0 : machine.type.startupS();
    long age = world.env.wallMillis() - machine.hiredAtWall;
    return age < startupS * 1000 * Constants.BOOT_USUAL + Constants.BOOT_EXTRA_MS;
  }

  // ---- hiring ----

  private void hireTick() {
    Map<String, Demand.Need> needs = demand.needs();
    for (MachineType type : world.types.values()) {
      Demand.Need need = needs.get(type.label());
      if (need == null) {
        continue;
      }
      Have have = have(type.label());
      double ordinary = demand.ordinary(type, need);
      int lackOrdinary = (int) Math.ceil(ordinary) - have.ordinary;
      // Ordinary machines beyond what services need serve work that may move as well; counted as
      // in surplus(), so that none is rented to be returned at once.
      double beside = Math.max(0, have.ordinary - ordinary);
      int lackCheap = (int) Math.ceil(need.cheap - have.cheap - beside);
      int room = world.policy.rentalsMost(type) - have.ordinary - have.cheap;
      lackOrdinary = Math.max(0, Math.min(lackOrdinary, room));
      lackCheap = Math.min(lackCheap, room - lackOrdinary);
      if (lackOrdinary > 0) {
        hire(type, false, lackOrdinary);
      }
      if (lackCheap > 0 && !hire(type, true, lackCheap)) {
        hire(type, false, lackCheap);
      }
    }
  }

  /** Whether the cloud has just refused machines of this class. */
  private boolean refused(BlockClass offer) {
    return refusedUntil.getOrDefault(offer, 0L) > world.now();
  }

  /**
   * Rents in all zones that have not just refused, evenly, so that one zone's loss takes few; false
   * when every zone refused.
   */
  private boolean hire(MachineType type, boolean cheap, int number) {
    Map<String, Integer> perZone = new HashMap<>();
    type.halls().forEach(zone -> perZone.put(zone, 0));
    for (BlockIndex.Block block : world.blocks.all()) {
      if (block.record().blockClass().lendable() == cheap) {
        int more = block.record().hosts().size();
        perZone.computeIfPresent(block.record().blockClass().hall(), (zone, n) -> n + more);
      }
    }
    List<String> zones =
        type.halls().stream()
            .filter(zone -> !refused(new BlockClass(type.label(), zone, cheap)))
            .sorted(Comparator.comparingInt(perZone::get))
            .toList();
    int left = number;
    for (int i = 0; i < zones.size() && left > 0; i++) {
      BlockClass offer = new BlockClass(type.label(), zones.get(i), cheap);
      int ask = (left + zones.size() - i - 1) / (zones.size() - i);
      left -= ask;
      if (!hiring.containsKey(offer)) {
        ask(offer, ask, null);
      }
    }
    return !zones.isEmpty();
  }

  /** Rents in one zone; the blocks go to the shard, if one is given. */
  private void ask(BlockClass offer, int number, String shard) {
    hiring.put(offer, number);
    ObjectNode body =
        Cbor.map()
            .put("hire", members.nextName())
            .put("flavour", offer.flavour())
            .put("hall", offer.hall())
            .put("lendable", offer.lendable())
            .put("number", Math.min(Constants.MAX_HIRE, number));
    send(body, offer, shard, 0);
  }

  // ---- starved work ----

  /** How much of a job was done or placed when it last moved on. */
  private record Progress(int started, long since) {}

  /**
   * Machines may be enough by their number and yet useless to a job: in other zones than its own,
   * or all of a class in another shard. What waits so long without progress gets one more.
   */
  private void helpStarved() {
    progress.keySet().retainAll(world.index.all().keySet());
    for (Map.Entry<String, JobIndex.Job> entry : world.index.all().entrySet()) {
      JobIndex.Job job = entry.getValue();
      int started = job.done() + job.placed();
      Progress last = progress.get(entry.getKey());
      if (last == null || last.started != started || job.placed() >= job.wanted() || job.faulty()) {
        progress.put(entry.getKey(), new Progress(started, world.now()));
      } else if (world.now() - last.since > Constants.STARVED_MS) {
        progress.put(entry.getKey(), new Progress(started, world.now()));
        help(job);
      }
    }
  }

  private void help(JobIndex.Job job) {
    JobSpec spec = job.spec;
    MachineType type = demand.cheapest(spec);
    Settings.Team team = world.settings.teams().get(spec.owner());
    if (type == null || team == null || demand.cancelled(spec)) {
      return;
    }
    Room taken = spec.room();
    for (JobIndex.Job other : world.index.all().values()) {
      if (other.spec.owner().equals(spec.owner())) {
        taken = taken.plus(other.spec.room().times(other.placed()));
      }
    }
    Demand.Need need = demand.needs().getOrDefault(type.label(), new Demand.Need());
    Have have = have(type.label());
    int all = have.ordinary + have.cheap;
    boolean enough = all >= demand.ordinary(type, need) + need.cheap;
    if (!enough || !taken.fits(team.limit()) || all >= world.policy.rentalsMost(type)) {
      return;
    }
    String zone = spec.hall();
    if (zone == null) {
      zone = type.halls().get(world.env.random().nextInt(type.halls().size()));
    }
    boolean cheap = world.spot(spec) && !refused(new BlockClass(type.label(), zone, true));
    BlockClass offer = new BlockClass(type.label(), zone, cheap);
    if (!hiring.containsKey(offer) && !refused(offer)) {
      LOG.info(
          "job {} makes no progress: one more {} in {} for it", spec.ref(), type.label(), zone);
      ask(offer, 1, job.shard);
    }
  }

  /** Machines asked for and not yet answered. */
  private int asked(String type, boolean cheap) {
    return hiring.entrySet().stream()
        .filter(entry -> entry.getKey().flavour().equals(type))
        .filter(entry -> entry.getKey().lendable() == cheap)
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private void send(ObjectNode body, BlockClass offer, String shard, int tries) {
    cloud.call(
        false,
        "POST",
        Wire.MACHINES,
        body,
        (status, answer) -> {
          if (status == 0 && tries < Constants.HIRE_TRIES) {
            // Without an answer it may have been carried out: only its own name may repeat it.
            world.env.after(Constants.HIRE_RETRY_MS, () -> send(body, offer, shard, tries + 1));
            return;
          }
          hiring.remove(offer);
          if (status != 200 || answer == null) {
            LOG.info("cloud refused {} of {}: {}", body.path("number"), offer, status);
            boolean full = answer != null && answer.path("error").asText().equals("no capacity");
            refusedUntil.put(
                offer, world.now() + (full ? Constants.REFUSED_MS : Constants.SUPPLY_MS));
            return;
          }
          try {
            List<String> hosts = Fields.textsOrNull(answer, "hosts");
            List<String> got = hosts == null ? List.of() : hosts;
            LOG.info("hired {} of {} {}: {}", got.size(), body.path("number"), offer, got);
            adoption.adopt(got, offer, world.env.wallMillis(), shard);
            adoption.tick();
          } catch (Malformed e) {
            LOG.info("rental {}: {}", body.path("hire"), e.getMessage());
          }
        });
  }

  // ---- the holder ----

  private static final String SURPLUS = "surplus";

  void holderTick() {
    cloud.rate(world.settings.cloudRps() * cloudPart());
    if (world.feed.silentMs() > Constants.STALE_MS || world.held.isEmpty()) {
      return;
    }
    long now = world.now();
    int heard = 0;
    int silent = 0;
    for (Machine machine : world.machines.values()) {
      if (machine.reported && now - machine.lastHeard < suspectMs) {
        heard++;
      } else if (machine.reported || !machine.placed.isEmpty()) {
        silent++;
      }
    }
    // Many silent at once: rather a cut zone, or a fault of ours, than so many dead machines.
    boolean many = silent > 2 && silent * 3 > heard + silent;
    List<Machine> release = new ArrayList<>();
    for (Machine machine : List.copyOf(world.machines.values())) {
      String why = whyRelease(machine, now, many, heard);
      if (why != null && !machine.releasing && release.size() < Constants.MAX_RELEASE) {
        LOG.info(
            "host {} is released: {}; {} tasks on it", machine.host, why, machine.placed.size());
        world.figures.count(Figures.Event.RELEASE);
        release.add(machine);
      }
    }
    if (!release.isEmpty() && !releasing) {
      release(release);
    }
    recordReleased();
    surplus();
    world.machines.values().stream().filter(m -> SURPLUS.equals(m.draining)).forEach(this::clear);
  }

  /**
   * Our part of the cloud's rate. Who has just taken machines over and does not lead yet must look
   * up where they are at once; controllers without machines want next to nothing.
   */
  private double cloudPart() {
    List<String> holders = members.leaseHolders();
    long ours = holders.stream().filter(world::holds).count();
    if (members.leads()) {
      return ours == holders.size() ? Constants.CLOUD_ALL_PART : Constants.CLOUD_HALF_PART;
    }
    return ours > 0
        ? Constants.CLOUD_HALF_PART * ours / holders.size()
        : (1 - Constants.CLOUD_ALL_PART) / members.names().size();
  }

  /**
   * The last tasks on a machine that is not needed move if all of them lose next to nothing: they
   * run for minutes, and each keeps a machine that is paid for whole.
   */
  private void clear(Machine machine) {
    if (!machine.placed.isEmpty()
        && paid(machine)
        && machine.placed.values().stream().allMatch(p -> saves(p) && movable(p))) {
      LOG.info(
          "host {} is not needed: its {} tasks save and move", machine.host, machine.placed.size());
      move(machine);
    }
  }

  /** Stops the tasks of a machine that drains: they wait again as soon as they are off it. */
  private void move(Machine machine) {
    for (Placement p : machine.placed.values()) {
      p.job.halt(p);
      world.figures.count(Figures.Event.MOVE);
    }
    desk.push(machine);
  }

  private static boolean saves(Placement p) {
    return p.job.spec.snapshotS() > 0;
  }

  private boolean movable(Placement p) {
    return Wire.RUNNING.equals(p.status)
        && world.now() - p.sinceMs > Constants.MOVE_AFTER_MS
        && !p.stop;
  }

  /**
   * Services end when their users say so and would hold nearly empty machines for hours. The least
   * used machine of theirs is emptied when every one of them has room at once, elsewhere and with
   * its image there, so that it is away for a moment only. One machine at a time.
   */
  private void consolidate(MachineType type) {
    if (world.now() < nextConsolidation) {
      return;
    }
    world.machines.values().stream()
        .filter(machine -> machine.flavour.equals(type.label()) && !machine.lendable)
        .filter(machine -> world.usable(machine) && machine.hasDaemon() && paid(machine))
        .filter(machine -> machine.placed.values().stream().allMatch(this::movable))
        .filter(this::fitsElsewhere)
        .min(Comparator.comparingLong(machine -> machine.used().cpu()))
        .ifPresent(
            machine -> {
              LOG.info(
                  "host {} is not needed: its {} tasks move to machines with room",
                  machine.host,
                  machine.placed.size());
              nextConsolidation = world.now() + Constants.CONSOLIDATE_MS;
              machine.draining = SURPLUS;
              move(machine);
            });
  }

  private boolean fitsElsewhere(Machine machine) {
    Map<Machine, Room> free = new HashMap<>();
    for (Placement p : machine.placed.values()) {
      JobSpec spec = p.job.spec;
      if (!spec.daemon() && !saves(p)) {
        return false;
      }
      Machine to =
          world.machines.values().stream()
              .filter(other -> other != machine && other.shard.equals(machine.shard))
              .filter(other -> world.usable(other) && world.allows(spec, other))
              .filter(other -> !spec.daemon() || other.warmth(spec.bundle()) == Machine.Warmth.WARM)
              .filter(
                  other ->
                      other.hall.equals(machine.hall)
                          || p.job.perZone.getInt(other.hall) < spec.zoneMost())
              .filter(other -> spec.room().fits(free.getOrDefault(other, other.free())))
              .findFirst()
              .orElse(null);
      if (to == null) {
        return false;
      }
      free.put(to, free.getOrDefault(to, to.free()).minus(spec.room()));
    }
    return true;
  }

  /** Whether the time is over that costs as much when the machine is returned. */
  private boolean paid(Machine machine) {
    return world.env.wallMillis() - machine.hiredAtWall >= Constants.PAID_MS;
  }

  private String whyRelease(Machine machine, long now, boolean many, int heard) {
    long silent = now - machine.lastHeard;
    if (machine.blockStamp == 0) {
      return "no block names it";
    }
    if ("failed".equals(machine.draining)) {
      return "failed";
    }
    if (machine.draining != null && machine.empty() && machine.reported) {
      return machine.draining.equals(SURPLUS) && !paid(machine) ? null : machine.draining;
    }
    if (silent > suspectMs) {
      if (machine.reported && !machine.suspected) {
        machine.suspected = true;
        world.figures.count(Figures.Event.SUSPECT);
        LOG.info("host {} is suspected: silent for {} ms, asked directly", machine.host, silent);
      }
      desk.probe(machine);
    }
    if (machine.reported || !machine.placed.isEmpty()) {
      long most = world.reports(many ? Constants.DEAD_MANY_REPORTS : Constants.DEAD_REPORTS);
      return silent > most && heard > 0 ? "silent for " + silent + " ms" : null;
    }
    double startup = machine.type == null ? 60 : machine.type.startupS();
    double boot = startup * 1000 * Constants.BOOT_FACTOR + Constants.BOOT_EXTRA_MS;
    boolean late =
        world.env.wallMillis() - machine.hiredAtWall > boot && silent > Constants.BOOT_EXTRA_MS;
    return late ? "never came up" : null;
  }

  private void release(List<Machine> machines) {
    releasing = true;
    ObjectNode body = Cbor.map();
    for (Machine machine : machines) {
      machine.releasing = true;
      machine.draining = machine.draining == null ? "released" : machine.draining;
      body.withArray("hosts").add(machine.host);
      adoption.gone(machine.host);
    }
    cloud.call(
        true,
        "POST",
        Wire.RELEASE,
        body,
        (status, answer) -> {
          releasing = false;
          for (Machine machine : machines) {
            if (status == 200) {
              released(machine); // It stays unusable until its block shows it no longer.
            } else {
              machine.releasing = false;
            }
          }
          recordReleased();
          if (status != 200) {
            LOG.info("release of {} machines not carried out: {}", machines.size(), status);
          }
        });
  }

  /** The cloud's word: the machine and all that was on it are gone. */
  private void released(Machine machine) {
    if (machine.dropped) {
      return;
    }
    for (Placement p : List.copyOf(machine.placed.values())) {
      desk.clear(p, "released");
    }
    machine.released = machine.blockStamp > 0 && world.blocks.of(machine.host) != null;
    if (!machine.released) {
      world.forget(machine);
    }
  }

  /**
   * Takes released machines out of their blocks: a change for each block, however many they are.
   */
  private void recordReleased() {
    Map<BlockIndex.Block, List<String>> gone = new LinkedHashMap<>();
    for (Machine machine : world.machines.values()) {
      BlockIndex.Block block = machine.released ? world.blocks.of(machine.host) : null;
      if (block != null && !recording.contains(block.name())) {
        gone.computeIfAbsent(block, b -> new ArrayList<>()).add(machine.host);
      }
    }
    gone.forEach(
        (block, hosts) -> {
          String shard = block.record().shard();
          String key = Wire.key(Replica.BLOCKS, block.name());
          BlockRecord left = block.record().without(hosts);
          Txn txn =
              new Txn()
                  .guard(Wire.key(Replica.SHARDS, shard), world.held.getLong(shard))
                  .guard(key, block.stamp());
          if (left.hosts().isEmpty()) {
            txn.remove(key);
          } else {
            txn.put(key, left.toNode());
          }
          recording.add(block.name());
          world.store.commit(
              Urgency.HANDS,
              txn,
              result -> {
                recording.remove(block.name());
                LOG.debug(
                    "{} released machines leave block {}: {}",
                    hosts.size(),
                    block.name(),
                    result.outcome());
              });
        });
  }

  /** Empties and returns what is not needed, the dearest kind first. */
  private void surplus() {
    Map<String, Demand.Need> needs = demand.needs();
    for (MachineType type : world.types.values()) {
      Demand.Need need = needs.getOrDefault(type.label(), new Demand.Need());
      Have have = have(type.label());
      List<Machine> draining = new ArrayList<>();
      List<Machine> spare = new ArrayList<>();
      int ours = 0;
      for (Machine machine : world.machines.values()) {
        if (!type.label().equals(machine.flavour)) {
          continue;
        }
        ours += machine.blockStamp > 0 ? 1 : 0;
        if (SURPLUS.equals(machine.draining)) {
          draining.add(machine);
        } else if (machine.draining == null
            && machine.moveTo == null
            && machine.reported
            && !machine.hasDaemon()) {
          spare.add(machine);
        }
      }
      long dear = draining.stream().filter(machine -> !machine.lendable).count();
      // Several holders see the same surplus: each returns its part of it.
      double part = (double) ours / Math.max(1, have.blocks);
      int overAll =
          (int) ((have.ordinary + have.cheap - demand.ordinary(type, need) - need.cheap) * part)
              - draining.size();
      double dearOver = (have.ordinary - demand.ordinary(type, need)) * part - dear;
      int overDear = (int) dearOver;
      if (overAll < 0) {
        draining.stream()
            .filter(machine -> !machine.releasing)
            .limit(-overAll)
            .forEach(
                machine -> {
                  machine.draining = null;
                  world.placeDue = true;
                });
        continue;
      }
      spare.sort(
          Comparator.comparing((Machine m) -> m.lendable).thenComparingLong(m -> m.used().cpu()));
      for (Machine machine : spare) {
        if (overAll < 1 || (!machine.lendable && overDear < 1)) {
          continue;
        }
        overAll--;
        overDear -= machine.lendable ? 0 : 1;
        LOG.info("host {} is not needed: draining", machine.host);
        machine.draining = SURPLUS;
      }
      boolean dearest = spare.stream().allMatch(machine -> machine.lendable);
      if (dearest && overAll >= 1 && dearOver >= Constants.CONSOLIDATE_OVER) {
        consolidate(type);
      }
    }
  }
}
