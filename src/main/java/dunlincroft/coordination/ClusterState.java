package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.Feed;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.conditions.Conditions;
import dunlincroft.conditions.Sides;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.BlockRecord;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.TaskState;
import dunlincroft.transport.Env;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What this node knows and holds; shared by the parts of the scheduler, guarded by one lock. */
final class ClusterState {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

  final Settings settings;
  final Policy policy;
  final Env env;
  final StateStore store;
  final Replica replica;
  final JobIndex jobIndex;
  final BlockIndex blocks;
  Feed feed;
  Figures metrics;

  /** What other parts of the product say of starts. */
  Conditions conditions = new Conditions(List.of());

  /** Shards whose record names this incarnation, by name, with the record's stamp. */
  final Object2LongOpenHashMap<String> ownedShards = new Object2LongOpenHashMap<>();

  final Map<String, JobRun> jobs = new Object2ObjectLinkedOpenHashMap<>();
  final Map<String, Machine> machines = new Object2ObjectLinkedOpenHashMap<>();
  Map<String, MachineType> machineTypes = Map.of();
  private Ring ring = new Ring(List.of());
  private boolean ringStale;
  private long nextRingBuildMs;
  private final Map<String, List<Machine>> preferenceLists = new Object2ObjectOpenHashMap<>();

  /** Parts of shares, by team and shard, whose handing over is asked for: no longer ours to use. */
  final Map<String, Room> outgoingShares = new HashMap<>();

  private final Map<String, Long> attemptCounts = new HashMap<>();

  /** Where machines of others are, as far as that was looked up ahead of a change of hands. */
  final Map<String, String> endpoints = new HashMap<>();

  /** Something changed that may let waiting work start. */
  boolean placementDue = true;

  ClusterState(
      Settings settings,
      Policy policy,
      Env env,
      StateStore store,
      Replica replica,
      JobIndex jobIndex) {
    this.settings = settings;
    this.policy = policy;
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.jobIndex = jobIndex;
    this.blocks = new BlockIndex(replica);
  }

  long now() {
    return env.nowMillis();
  }

  boolean owns(String shard) {
    return ownedShards.containsKey(shard);
  }

  /** The higher stamp of a machine's block and shard: larger after any change of hands. */
  long fenceToken(Machine machine) {
    return Math.max(machine.blockStamp, ownedShards.getLong(machine.shard));
  }

  /**
   * A try that no other start of any task ever had: the shard's stamp is new with every holding,
   * and the count is within it.
   */
  long nextAttempt(String shard) {
    long number = attemptCounts.merge(shard, 1L, Long::sum);
    return (ownedShards.getLong(shard) << 24) + number;
  }

  List<Machine> preferenceList(String image) {
    if (ringStale && now() >= nextRingBuildMs) {
      ring = new Ring(machines.values());
      preferenceLists.clear();
      ringStale = false;
      nextRingBuildMs = now() + Constants.RING_MS;
    }
    return preferenceLists.computeIfAbsent(image, ring::preferenceList);
  }

  // ---- shards ----

  /** Begins to act for a shard: everything is rebuilt from the records. */
  void acquire(String shard, long ownerStamp) {
    ownedShards.put(shard, ownerStamp);
    attemptCounts.put(shard, 0L);
    nextRingBuildMs = 0;
    List.copyOf(blocks.hosts()).forEach(this::onBlockChanged);
    jobIndex.all().keySet().forEach(this::onJobChanged);
    placementDue = true;
    LOG.info(
        "shard {} held with stamp {}: {} jobs and {} machines known",
        shard,
        ownerStamp,
        jobs.values().stream().filter(job -> job.shard.equals(shard)).count(),
        machines.values().stream().filter(machine -> machine.shard.equals(shard)).count());
  }

  /** Stops acting for a shard: somebody else does. */
  void release(String shard) {
    ownedShards.removeLong(shard);
    jobs.values().removeIf(job -> job.shard.equals(shard));
    machines.values().stream()
        .filter(machine -> machine.shard.equals(shard))
        .toList()
        .forEach(this::remove);
  }

  // ---- following the replica ----

  /** The block that a machine is in was written or removed. */
  void onBlockChanged(String host) {
    BlockIndex.Block block = blocks.of(host);
    Machine known = machines.get(host);
    if (block == null) {
      endpoints.remove(host);
    }
    if (block == null || !owns(block.record().shard())) {
      if (known != null && known.blockStamp > 0 && known.placed.isEmpty()) {
        remove(known);
      }
      return;
    }
    if (known != null && known.blockStamp == 0) {
      return; // It is being released; forget() looks at the block again.
    }
    BlockRecord record = block.record();
    if (known != null && !known.shard.equals(record.shard())) {
      remove(known); // It was empty and moved between two shards of ours.
      known = null;
    }
    if (known == null) {
      known =
          new Machine(
              host,
              record.shard(),
              record.blockClass().flavour(),
              record.blockClass().hall(),
              record.blockClass().lendable(),
              record.hosts().get(host),
              now());
      known.type = machineTypes.get(known.flavour);
      known.endpoint = endpoints.get(host);
      machines.put(host, known);
      ringStale = true;
      known.session.onOwned(Math.max(block.stamp(), ownedShards.getLong(known.shard)));
    }
    known.blockStamp = Math.max(known.blockStamp, block.stamp());
  }

  /** A job was written or removed. */
  void onJobChanged(String id) {
    JobIndex.Job recordedJob = jobIndex.get(id);
    JobRun run = jobs.get(id);
    if (recordedJob == null) {
      if (run != null) {
        jobs.remove(id);
        run.forget();
        placementDue = true;
      }
      return;
    }
    if (run != null || !owns(recordedJob.shard)) {
      return;
    }
    if (!jobIndex.readable(id, recordedJob.shard)) {
      LOG.error("job {} is not run: not all that is recorded of it can be read", id);
      return;
    }
    JobRun created =
        new JobRun(
            id, recordedJob.spec, recordedJob.shard, recordedJob.pageTasks, recordedJob.acceptedAt);
    created.load(recordedJob);
    for (JobPage page : created.record.knownPages()) {
      page.stamp = replica.stamp(Replica.PAGES, page.name());
    }
    for (TaskState.Place place : recordedJob.places()) {
      Machine machine = machineOf(place.host(), recordedJob.shard);
      Placement placement = new Placement(created, place.task(), machine, place.attempt(), now());
      // An earlier holder may have sent it: only the worker or a release can clear it.
      placement.orderSent = true;
      created.placeRecorded(placement);
    }
    if (replica.get(Replica.CANCELS, id) != null) {
      created.cancel();
    }
    jobs.put(id, created);
    placementDue = true;
  }

  /** A record may name a machine whose block is gone: it must be released before tasks move. */
  private Machine machineOf(String host, String shard) {
    Machine known = machines.get(host);
    if (known == null) {
      known = new Machine(host, shard, "", "", true, 0, now());
      known.session.onOwned(ownedShards.getLong(shard));
      machines.put(host, known);
      ringStale = true;
    }
    return known;
  }

  private void remove(Machine machine) {
    machine.lifecycle = MachineLifecycle.DROPPED;
    machines.remove(machine.host);
    ringStale = true;
    if (machine.endpoint != null) {
      env.leave(machine.endpoint);
    }
  }

  void onMachineReleased(Machine machine) {
    remove(machine);
    onBlockChanged(machine.host);
  }

  void setMachineTypes(List<MachineType> all) {
    Map<String, MachineType> byLabel = new Object2ObjectLinkedOpenHashMap<>();
    all.forEach(type -> byLabel.put(type.label(), type));
    machineTypes = byLabel;
    machines.values().forEach(machine -> machine.type = machineTypes.get(machine.flavour));
    placementDue = true;
  }

  void onCancellation(String id) {
    JobRun run = jobs.get(id);
    if (run != null && !run.cancelled && replica.get(Replica.CANCELS, id) != null) {
      run.cancel();
      placementDue = true;
    }
  }

  private Sides migrationSides(JobSpec spec) {
    return conditions.active() && spec.daemon() ? conditions.on(spec).sides() : null;
  }

  /** Whether a service's replicas belong to one side each, as in a migration. */
  boolean hasMigrationSides(JobSpec spec) {
    return migrationSides(spec) != null;
  }

  /** Zones in which machines of a type are of use to a job's tasks. */
  List<String> zonesFor(JobIndex.Job job, MachineType type) {
    if (job.spec.hall() != null) {
      return List.of(job.spec.hall());
    }
    Sides sides = migrationSides(job.spec);
    List<String> zones = new ArrayList<>();
    for (int task = 0; sides != null && task < job.spec.pieces(); task++) {
      int side = sides.of(task);
      for (String zone : type.halls()) {
        if (!zones.contains(zone) && sides.has(side, "", type.label(), zone, false)) {
          zones.add(zone);
        }
      }
    }
    return zones.isEmpty() ? type.halls() : zones;
  }

  /** Replicas of a service that are recorded on machines of the other side than theirs. */
  int misplacedReplicas(JobIndex.Job job) {
    Sides sides = migrationSides(job.spec);
    int misplaced = 0;
    if (sides != null) {
      for (TaskState.Place place : job.places()) {
        BlockIndex.Block block = blocks.of(place.host());
        if (block != null) {
          BlockClass machineClass = block.record().blockClass();
          misplaced +=
              sides.has(
                      sides.of(place.task()),
                      place.host(),
                      machineClass.flavour(),
                      machineClass.hall(),
                      machineClass.lendable())
                  ? 0
                  : 1;
        }
      }
    }
    return misplaced;
  }

  /** Whether machines should be there for a job now. */
  boolean needsMachines(JobSpec spec) {
    return !conditions.active() || conditions.on(spec).wanted();
  }

  /** Whether a job's tasks may go to spot machines, by the user's word and the operators'. */
  boolean allowsSpot(JobSpec spec) {
    return spec.lendable() && policy.spot(spec);
  }

  /** The same, asked for every machine: an expression is worked out once for each job. */
  boolean allowsSpot(JobRun job) {
    if (job.spot == null) {
      job.spot = allowsSpot(job.spec);
    }
    return job.spot;
  }

  /** Work that one stopped task of a job may lose for another team's guarantee. */
  long preemptLossMs(JobRun job) {
    if (job.preemptLossMs < 0) {
      job.preemptLossMs = policy.preemptLossMs(job.spec);
    }
    return job.preemptLossMs;
  }

  boolean allows(JobRun job, Machine machine) {
    return job.spec.allows(machine.flavour, machine.hall, machine.lendable)
        && (!machine.lendable || allowsSpot(job));
  }

  /**
   * Thousandths of processors of a machine that work leaves free, for the operators' bound and for
   * services that may come. Worked out once for each machine: the operators' rules rest on its type
   * and place alone.
   */
  long reservedCpu(Machine machine, boolean prod) {
    if (machine.keptFor != machine.type) {
      machine.keptFor = machine.type;
      double cpu = machine.type.room().cpu();
      double bound = policy.bound(machine.type, machine.hall, machine.lendable);
      double reserve = policy.reserve(machine.type, machine.hall, machine.lendable);
      machine.keptAlways = (long) (cpu * (1 - bound));
      machine.keptForServices = (long) (cpu * (1 - bound + reserve));
    }
    return prod || !machine.hasDaemon() ? machine.keptAlways : machine.keptForServices;
  }

  /** Milliseconds of silence in which a worker misses so many reports. */
  long reportIntervalsMs(double intervals) {
    return (long) (settings.reportS() * intervals * 1000);
  }

  /** Time in which we could not hear anybody counts for no machine's silence. */
  void onProcessPause(long pauseMs) {
    machines.values().forEach(machine -> machine.session.onPause(pauseMs, now()));
  }

  boolean isUsable(Machine machine) {
    return isUsable(machine, now());
  }

  /** The same at a moment that was read before: reading the clock has its price. */
  boolean isUsable(Machine machine, long nowMs) {
    return machine.usable(nowMs, reportIntervalsMs(Constants.SUSPECT_REPORTS));
  }

  // ---- teams ----

  /** What the tasks of a team take on machines of the shard, as far as that is possible. */
  Room teamUsage(String team, String shard) {
    Room sum = Room.NONE;
    for (JobRun job : jobs.values()) {
      if (job.spec.owner().equals(team) && job.shard.equals(shard)) {
        sum = sum.plus(job.spec.room().times(job.booked()));
      }
    }
    return sum;
  }

  /** The shard's recorded share of a team's limit, less what is being given away. */
  Room usableShare(String team, String shard) {
    Item item = replica.get(Replica.SHARES, team);
    return item == null
        ? Room.NONE
        : recordedShare(item.data(), shard).minus(outgoingShare(team, shard));
  }

  /** A share as recorded; nothing without a record. */
  static Room recordedShare(JsonNode record, String shard) {
    JsonNode part = record.path(shard);
    return new Room(part.path("cpu").asLong(), part.path("gpu").asLong(), Long.MAX_VALUE / 4);
  }

  private Room outgoingShare(String team, String shard) {
    return outgoingShares.getOrDefault(team + "/" + shard, Room.NONE);
  }

  /**
   * So old may our knowledge of cancellations be while hellos are answered: the lease that an
   * answer renews ends within {@code cancel_s} of any cancellation that we do not know of.
   */
  long maxCancellationLagMs() {
    long slackMs = (long) ((settings.cancelS() - settings.leaseS()) * 1000);
    return slackMs - Math.min(Constants.CUT_MARGIN_MS, slackMs / 2);
  }

  List<MachineType> allowedTypes(JobSpec spec) {
    List<MachineType> allowed = new ArrayList<>();
    for (MachineType type : machineTypes.values()) {
      boolean zoneAllowed =
          spec.hall() == null ? !type.halls().isEmpty() : type.halls().contains(spec.hall());
      boolean typeAllowed = spec.flavours() == null || spec.flavours().contains(type.label());
      if (zoneAllowed && typeAllowed && spec.room().fits(type.room())) {
        allowed.add(type);
      }
    }
    return allowed;
  }

  static List<MachineType> parseMachineTypes(JsonNode data) {
    try {
      return MachineType.parseAll(data);
    } catch (Malformed e) {
      LOG.info("machine types: {}", e.getMessage());
      return List.of();
    }
  }
}
