package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.Wire;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader rents machines for what all work wants, evenly in all zones that have some. */
final class Renting {
  private static final Logger LOG = LoggerFactory.getLogger(Renting.class);

  /** Machines there, with those that boot or are asked for. */
  record Have(int ordinary, int cheap, int blocks) {}

  private final ClusterState world;
  private final Membership members;
  private final Cloud cloud;
  private final Demand demand;
  private final MachineDiscovery discovery;
  private final ZoneOutageDetector zones;
  private final Map<BlockClass, Long> refusedUntil = new HashMap<>();
  private final Map<String, Progress> progress = new HashMap<>();
  private final Map<BlockClass, Integer> hiring = new HashMap<>();
  private final ReplicaHeadroom replicaRoom;

  /** Machines that other nodes own and do not hear. */
  private Set<String> silentElsewhere = Set.of();

  /** Services whose replicas found no room at the last look. */
  private Set<String> withoutRoom = Set.of();

  /** Zones that replicas on their way filled to the last machine at the last look. */
  private Set<String> tightZones = Set.of();

  Renting(
      ClusterState world,
      Membership members,
      Cloud cloud,
      Demand demand,
      MachineDiscovery discovery,
      ZoneOutageDetector zones) {
    this.world = world;
    this.members = members;
    this.cloud = cloud;
    this.demand = demand;
    this.discovery = discovery;
    this.zones = zones;
    this.replicaRoom = new ReplicaHeadroom(world, demand);
  }

  /** What there is of a type, with what boots or is asked for. */
  Have have(String type) {
    int ordinary = asked(type, false) + discovery.coming(type, false);
    int cheap = asked(type, true) + discovery.coming(type, true);
    int blocks = 0;
    for (BlockIndex.Block block : world.blocks.all()) {
      BlockClass blockClass = block.record().blockClass();
      if (!blockClass.flavour().equals(type)) {
        continue;
      }
      for (String host : block.record().hosts().keySet()) {
        blocks++;
        Machine machine = world.machines.get(host);
        if (machine == null ? !silentElsewhere.contains(host) : counts(machine)) {
          cheap += blockClass.lendable() ? 1 : 0;
          ordinary += blockClass.lendable() ? 0 : 1;
        }
      }
    }
    return new Have(ordinary, cheap, blocks);
  }

  /** Takes in what other owners tell of their machines; once a second. */
  void hearOthers() {
    silentElsewhere = members.silentMachinesOfPeers();
  }

  /**
   * Machines of our shards that do not serve, for the leader: it may own none of them, and would
   * rent others only once their blocks are gone.
   */
  List<String> silentMachines() {
    return world.machines.values().stream()
        .filter(machine -> machine.blockStamp > 0 && machine.session.hasReported())
        .filter(machine -> !counts(machine))
        .map(machine -> machine.host)
        .limit(Constants.SILENT_MACHINES_TOLD)
        .toList();
  }

  /** Whether a machine serves, or will soon: one that is late to boot may never come. */
  private boolean counts(Machine machine) {
    if (machine.draining != null && !machine.draining.equals(Consolidation.SURPLUS)) {
      return false;
    }
    if (machine.session.hasReported()) {
      return world.now() - machine.session.lastHeardMs()
          < world.reportIntervalsMs(Constants.SUSPECT_REPORTS);
    }
    double startupS = machine.type == null ? 0 : machine.type.startupS();
    long age = world.env.wallMillis() - machine.hiredAtWall;
    return age < startupS * 1000 * Constants.BOOT_USUAL + Constants.BOOT_EXTRA_MS;
  }

  // ---- hiring ----

  /** Rents what all work lacks. */
  void tick() {
    Map<String, Demand.MachineDemand> needs = demand.smoothedDemand();
    for (MachineType type : world.machineTypes.values()) {
      Demand.MachineDemand need = needs.get(type.label());
      if (need == null) {
        continue;
      }
      Have have = have(type.label());
      double ordinary = demand.onDemandTarget(type, need);
      int lackOrdinary = (int) Math.ceil(ordinary) - have.ordinary;
      // Ordinary machines beyond what services need serve work that may move as well; counted as
      // in surplus(), so that none is rented to be returned at once.
      double beside = Math.max(0, have.ordinary - ordinary);
      int lackCheap = (int) Math.ceil(need.preemptible - have.cheap - beside);
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

  // ---- replicas without room ----

  /** What the waiting replicas count on and what they lack, beside all that is asked for. */
  ReplicaHeadroom.Assessment replicas() {
    Map<BlockClass, Integer> coming = new HashMap<>(hiring);
    discovery.addComing(coming);
    return replicaRoom.assess(this::keepsReplicas, silentElsewhere, coming, this::refused);
  }

  /**
   * Whether replicas stay on a machine, as far as is known: at the first sign that its worker does
   * not hear us room is looked for, long before the machine is given up.
   */
  private boolean keepsReplicas(Machine machine) {
    boolean unsure = machine.session.hasReported() && !machine.session.hears();
    return counts(machine) && !unsure;
  }

  /**
   * Rents for replicas that find room on no machine, however many there are by their number. Only
   * what a second look finds as well: at the first one, starts may not be recorded yet.
   */
  void helpReplicas() {
    ReplicaHeadroom.Assessment look = replicas();
    boolean again =
        look.unplacedServices().stream().anyMatch(withoutRoom::contains)
            || look.fullZones().stream().anyMatch(tightZones::contains);
    withoutRoom = look.unplacedServices();
    tightZones = look.fullZones();
    if (!again) {
      return;
    }
    look.shortages()
        .forEach(
            (lack, number) -> {
              BlockClass offer = lack.blockClass();
              MachineType type = world.machineTypes.get(offer.flavour());
              Have have = have(type.label());
              int room = world.policy.rentalsMost(type) - have.ordinary - have.cheap;
              int ask = Math.min(number, room);
              if (ask > 0 && !hiring.containsKey(offer)) {
                LOG.info(
                    "replicas of {} services find no room, zones {} have no more: {} more {}",
                    look.unplacedServices().size(),
                    look.fullZones(),
                    ask,
                    offer);
                ask(offer, ask, lack.shard());
              }
            });
  }

  /** Whether the cloud has just refused machines of this class, or they could not be heard. */
  private boolean refused(BlockClass offer) {
    return refusedUntil.getOrDefault(offer, 0L) > world.now() || zones.isCutOff(offer.hall());
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
  void helpStarved() {
    progress.keySet().retainAll(world.jobIndex.all().keySet());
    for (Map.Entry<String, JobIndex.Job> entry : world.jobIndex.all().entrySet()) {
      JobIndex.Job job = entry.getValue();
      int started = job.doneCount() + job.placedCount();
      Progress last = progress.get(entry.getKey());
      if (last == null
          || last.started != started
          || (job.placedCount() >= job.runnableTasks() && world.misplacedReplicas(job) == 0)
          || job.faulty()) {
        progress.put(entry.getKey(), new Progress(started, world.now()));
      } else if (world.now() - last.since > Constants.STARVED_MS) {
        progress.put(entry.getKey(), new Progress(started, world.now()));
        help(job);
      }
    }
  }

  private void help(JobIndex.Job job) {
    JobSpec spec = job.spec;
    MachineType type = demand.cheapestType(spec);
    Settings.Team team = world.settings.teams().get(spec.owner());
    if (type == null || team == null || demand.isCancelled(spec) || !world.needsMachines(spec)) {
      return;
    }
    Room taken = spec.room();
    for (JobIndex.Job other : world.jobIndex.all().values()) {
      if (other.spec.owner().equals(spec.owner())) {
        taken = taken.plus(other.spec.room().times(other.placedCount()));
      }
    }
    Demand.MachineDemand need =
        demand.smoothedDemand().getOrDefault(type.label(), new Demand.MachineDemand());
    Have have = have(type.label());
    int all = have.ordinary + have.cheap;
    boolean enough = all >= demand.onDemandTarget(type, need) + need.preemptible;
    if (!enough || !taken.fits(team.limit()) || all >= world.policy.rentalsMost(type)) {
      return;
    }
    List<String> zones = world.zonesFor(job, type);
    String zone = zones.get(world.env.random().nextInt(zones.size()));
    boolean cheap = world.allowsSpot(spec) && !refused(new BlockClass(type.label(), zone, true));
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
            discovery.adopt(got, offer, world.env.wallMillis(), shard);
            discovery.tick();
          } catch (Malformed e) {
            LOG.info("rental {}: {}", body.path("hire"), e.getMessage());
          }
        });
  }
}
