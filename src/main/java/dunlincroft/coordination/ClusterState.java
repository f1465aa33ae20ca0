package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.ChangeFeed;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.conditions.Conditions;
import dunlincroft.conditions.MigrationSides;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.BlockRecord;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Resources;
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

/**
 * State of this controller: the shards it owns with their jobs and machines, and its replica of the
 * state service's records. Shared by all components of the controller, whose events run under one
 * lock.
 */
final class ClusterState {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);

  /** Bits of an attempt number that count attempts within one period of ownership. */
  private static final int ATTEMPT_COUNT_BITS = 24;

  final Settings settings;
  final Policy policy;
  final Env env;
  final StateStore store;
  final Replica replica;
  final JobIndex jobIndex;
  final BlockIndex blocks;
  ChangeFeed feed;
  Metrics metrics;

  /** Start conditions set by other parts of the product, such as the settlement calendar. */
  Conditions conditions = new Conditions(List.of());

  /**
   * Shards whose ownership record names this incarnation of the node, with the stamp of that
   * record.
   */
  final Object2LongOpenHashMap<String> ownedShards = new Object2LongOpenHashMap<>();

  final Map<String, JobRun> jobs = new Object2ObjectLinkedOpenHashMap<>();
  final Map<String, Machine> machines = new Object2ObjectLinkedOpenHashMap<>();
  Map<String, MachineType> machineTypes = Map.of();
  private Ring ring = new Ring(List.of());
  private boolean ringStale;
  private long nextRingBuildMs;
  private final Map<String, List<Machine>> preferenceLists = new Object2ObjectOpenHashMap<>();

  /**
   * Resources of team limits, by team and shard, whose transfer to another shard has been
   * requested. This node must not use them any more.
   */
  final Map<String, Resources> outgoingShares = new HashMap<>();

  private final Map<String, Long> attemptCounts = new HashMap<>();

  /** Endpoints of machines that other controllers own, looked up ahead of a possible takeover. */
  final Map<String, String> endpoints = new HashMap<>();

  /** Whether something has changed that may allow waiting work to start. */
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

  /**
   * The highest of the stamps of a machine's block and shard, which grow with every change of
   * owner, and of the revision to which this owner has raised the fence without a write.
   */
  long fenceToken(Machine machine) {
    long recordedFence = Math.max(machine.blockStamp, ownedShards.getLong(machine.shard));
    return Math.max(recordedFence, machine.readFence);
  }

  /**
   * Returns an attempt number that no other start of any task has had. The upper bits are the
   * shard's stamp, which is new for each period of ownership; the lower bits count attempts within
   * the period.
   */
  long nextAttempt(String shard) {
    long number = attemptCounts.merge(shard, 1L, Long::sum);
    return (ownedShards.getLong(shard) << ATTEMPT_COUNT_BITS) + number;
  }

  /** Whether an attempt on a machine was started in the present period of ownership. */
  boolean isOwnAttempt(Machine machine, long attempt) {
    return attempt >>> ATTEMPT_COUNT_BITS == ownedShards.getLong(machine.shard);
  }

  /**
   * All machines in the order in which consistent hashing prefers them for an image. The ring is
   * rebuilt at most once per {@link Constants#RING_REBUILD_MS}.
   */
  List<Machine> preferenceList(String image) {
    if (ringStale && now() >= nextRingBuildMs) {
      ring = new Ring(machines.values());
      preferenceLists.clear();
      ringStale = false;
      nextRingBuildMs = now() + Constants.RING_REBUILD_MS;
    }
    return preferenceLists.computeIfAbsent(image, ring::preferenceList);
  }

  // ---- shards ----

  /** Starts acting as the owner of a shard and rebuilds its jobs and machines from the records. */
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

  /** Stops acting for a shard that this node no longer owns. */
  void release(String shard) {
    ownedShards.removeLong(shard);
    jobs.values().removeIf(job -> job.shard.equals(shard));
    machines.values().stream()
        .filter(machine -> machine.shard.equals(shard))
        .toList()
        .forEach(this::remove);
  }

  // ---- changes of the replica ----

  /** Handles a changed or removed record of the block that lists a machine. */
  void onBlockChanged(String host) {
    BlockIndex.Block block = blocks.blockOf(host);
    Machine known = machines.get(host);
    if (block == null) {
      endpoints.remove(host);
    }
    if (block == null || !owns(block.record().shard())) {
      if (known != null && known.blockStamp > 0 && known.placements.isEmpty()) {
        remove(known);
      }
      return;
    }
    if (known != null && known.blockStamp == 0) {
      return; // The machine is being released; onMachineReleased() reads the block again.
    }
    BlockRecord record = block.record();
    if (known != null && !known.shard.equals(record.shard())) {
      remove(known); // The machine was empty and has moved between two shards of this node.
      known = null;
    }
    if (known == null) {
      known =
          new Machine(
              host,
              record.shard(),
              record.blockClass().machineType(),
              record.blockClass().zone(),
              record.blockClass().preemptible(),
              record.hosts().get(host),
              now());
      known.type = machineTypes.get(known.typeLabel);
      known.endpoint = endpoints.get(host);
      machines.put(host, known);
      ringStale = true;
      known.session.onOwned(Math.max(block.stamp(), ownedShards.getLong(known.shard)));
    }
    known.blockStamp = Math.max(known.blockStamp, block.stamp());
  }

  /** Handles a changed or removed job record. */
  void onJobChanged(String id) {
    JobIndex.Job recordedJob = jobIndex.get(id);
    JobRun run = jobs.get(id);
    if (recordedJob == null) {
      if (run != null) {
        jobs.remove(id);
        run.detachFromMachines();
        placementDue = true;
      }
      return;
    }
    if (run != null || !owns(recordedJob.shard)) {
      return;
    }
    if (!jobIndex.isReadable(id, recordedJob.shard)) {
      LOG.error("job {} is not run: some of its records cannot be read", id);
      return;
    }
    JobRun created =
        new JobRun(
            id, recordedJob.spec, recordedJob.shard, recordedJob.pageTasks, recordedJob.acceptedAt);
    created.load(recordedJob);
    for (JobPage page : created.record.knownPages()) {
      page.stamp = replica.stamp(Replica.PAGES, page.name());
    }
    for (TaskState.TaskPlacement place : recordedJob.places()) {
      Machine machine = machineOf(place.host(), recordedJob.shard);
      Placement placement = new Placement(created, place.task(), machine, place.attempt(), now());
      // An earlier owner may have sent the start order: only the worker's report or the release of
      // the machine can clear the placement.
      placement.orderSent = true;
      created.placeRecorded(placement);
    }
    if (replica.get(Replica.CANCELS, id) != null) {
      created.cancel();
    }
    jobs.put(id, created);
    placementDue = true;
  }

  /**
   * Returns the machine of a recorded placement. If its block is gone, the machine must be released
   * before its tasks may start elsewhere.
   */
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
      env.closeIdleConnections(machine.endpoint);
    }
  }

  /** Removes a machine whose release is recorded; it is added again if a block still lists it. */
  void onMachineReleased(Machine machine) {
    remove(machine);
    onBlockChanged(machine.host);
  }

  /** Replaces the known machine types. */
  void setMachineTypes(List<MachineType> all) {
    Map<String, MachineType> byLabel = new Object2ObjectLinkedOpenHashMap<>();
    all.forEach(type -> byLabel.put(type.label(), type));
    machineTypes = byLabel;
    machines.values().forEach(machine -> machine.type = machineTypes.get(machine.typeLabel));
    placementDue = true;
  }

  /** Stops a job if the replica shows its cancellation. */
  void onCancellation(String id) {
    JobRun run = jobs.get(id);
    if (run != null && !run.cancelled && replica.get(Replica.CANCELS, id) != null) {
      run.cancel();
      placementDue = true;
    }
  }

  private MigrationSides migrationSides(JobSpec spec) {
    return conditions.active() && spec.isService() ? conditions.decide(spec).sides() : null;
  }

  /** Whether a migration assigns each replica of a service to one of two sides. */
  boolean hasMigrationSides(JobSpec spec) {
    return migrationSides(spec) != null;
  }

  /** Zones in which machines of a type can run tasks of a job. */
  List<String> zonesFor(JobIndex.Job job, MachineType type) {
    if (job.spec.requiredZone() != null) {
      return List.of(job.spec.requiredZone());
    }
    MigrationSides sides = migrationSides(job.spec);
    List<String> zones = new ArrayList<>();
    for (int task = 0; sides != null && task < job.spec.taskCount(); task++) {
      int side = sides.sideOf(task);
      for (String zone : type.zones()) {
        if (!zones.contains(zone) && sides.contains(side, "", type.label(), zone, false)) {
          zones.add(zone);
        }
      }
    }
    return zones.isEmpty() ? type.zones() : zones;
  }

  /** Number of replicas of a service that are recorded on machines of the wrong migration side. */
  int misplacedReplicas(JobIndex.Job job) {
    MigrationSides sides = migrationSides(job.spec);
    int misplaced = 0;
    if (sides != null) {
      for (TaskState.TaskPlacement place : job.places()) {
        BlockIndex.Block block = blocks.blockOf(place.host());
        if (block != null) {
          BlockClass machineClass = block.record().blockClass();
          misplaced +=
              sides.contains(
                      sides.sideOf(place.task()),
                      place.host(),
                      machineClass.machineType(),
                      machineClass.zone(),
                      machineClass.preemptible())
                  ? 0
                  : 1;
        }
      }
    }
    return misplaced;
  }

  /** Whether machines should be available for a job now, according to its start conditions. */
  boolean needsMachines(JobSpec spec) {
    return !conditions.active() || conditions.decide(spec).machinesWanted();
  }

  /**
   * Whether a job's tasks may run on spot machines, according to the job and to the operators'
   * policy.
   */
  boolean allowsSpot(JobSpec spec) {
    return spec.toleratesSpot() && policy.isSpotEnabled(spec);
  }

  /**
   * The same, cached: it is called for every machine, and the policy's expression is evaluated once
   * per job.
   */
  boolean allowsSpot(JobRun job) {
    if (job.spotAllowed == null) {
      job.spotAllowed = allowsSpot(job.spec);
    }
    return job.spotAllowed;
  }

  /**
   * Milliseconds of work that a preempted task of a job may lose in favour of another team's
   * guarantee.
   */
  long preemptLossMs(JobRun job) {
    if (job.preemptLossMs < 0) {
      job.preemptLossMs = policy.maxPreemptionLossMs(job.spec);
    }
    return job.preemptLossMs;
  }

  /** Whether the job and the operators' policy allow its tasks on a machine. */
  boolean allows(JobRun job, Machine machine) {
    return job.spec.allows(machine.typeLabel, machine.zone, machine.preemptible)
        && (!machine.preemptible || allowsSpot(job));
  }

  /**
   * Thousandths of a machine's processors that work must leave free: for the operators' load bound
   * and, unless it may use that, for further services on machines that run some. Computed once per
   * machine, because the operators' rules depend only on its type, its zone and whether it is a
   * spot machine.
   */
  long reservedCpu(Machine machine, boolean usesServiceReserve) {
    if (machine.reservedCpuType != machine.type) {
      machine.reservedCpuType = machine.type;
      double cpu = machine.type.resources().cpu();
      double bound = policy.loadBound(machine.type, machine.zone, machine.preemptible);
      double reserve = policy.serviceReserve(machine.type, machine.zone, machine.preemptible);
      machine.baseReservedCpu = (long) (cpu * (1 - bound));
      machine.reservedCpuWithServices = (long) (cpu * (1 - bound + reserve));
    }
    return usesServiceReserve || !machine.hasService()
        ? machine.baseReservedCpu
        : machine.reservedCpuWithServices;
  }

  /** Milliseconds of silence in which a worker misses the given number of reports. */
  long reportIntervalsMs(double intervals) {
    return (long) (settings.reportIntervalS() * intervals * 1000);
  }

  /**
   * Excludes a pause of this process from the silence of all machines: no report could be received
   * meanwhile.
   */
  void onProcessPause(long pauseMs) {
    machines.values().forEach(machine -> machine.session.onPause(pauseMs, now()));
  }

  /** Whether a machine can take new tasks now. */
  boolean isUsable(Machine machine) {
    return isUsable(machine, now());
  }

  /**
   * The same at a given time: loops read the clock once, because reading it for every machine is
   * costly.
   */
  boolean isUsable(Machine machine, long nowMs) {
    return machine.isUsable(nowMs, reportIntervalsMs(Constants.SUSPECT_REPORT_INTERVALS));
  }

  // ---- teams ----

  /**
   * Resources that a team's tasks take of a shard's share of the limit: tasks that are placed, and
   * tasks that a record still names.
   */
  Resources teamUsage(String team, String shard) {
    Resources sum = Resources.NONE;
    for (JobRun job : jobs.values()) {
      if (job.spec.team().equals(team) && job.shard.equals(shard)) {
        sum = sum.plus(job.spec.resources().times(job.chargedTaskCount()));
      }
    }
    return sum;
  }

  /**
   * The shard's recorded share of a team's limit, less transfers to other shards that have been
   * requested.
   */
  Resources usableShare(String team, String shard) {
    Item item = replica.get(Replica.SHARES, team);
    return item == null
        ? Resources.NONE
        : recordedShare(item.data(), shard).minus(outgoingShare(team, shard));
  }

  /** A shard's share as recorded; nothing without a record. */
  static Resources recordedShare(JsonNode record, String shard) {
    JsonNode part = record.path(shard);
    return new Resources(part.path("cpu").asLong(), part.path("gpu").asLong(), Long.MAX_VALUE / 4);
  }

  private Resources outgoingShare(String team, String shard) {
    return outgoingShares.getOrDefault(team + "/" + shard, Resources.NONE);
  }

  /**
   * Maximum age of this node's knowledge of cancellations while it answers worker heartbeats. An
   * answer renews the worker's lease; with this limit the lease ends within {@code cancel_s} of any
   * cancellation that the node does not know of.
   */
  long maxCancellationLagMs() {
    long slackMs = (long) ((settings.maxCancellationS() - settings.workerLeaseS()) * 1000);
    return slackMs - Math.min(Constants.CANCELLATION_LAG_MARGIN_MS, slackMs / 2);
  }

  /** Machine types that a job allows and on which one of its tasks fits. */
  List<MachineType> allowedTypes(JobSpec spec) {
    List<MachineType> allowed = new ArrayList<>();
    for (MachineType type : machineTypes.values()) {
      boolean zoneAllowed =
          spec.requiredZone() == null
              ? !type.zones().isEmpty()
              : type.zones().contains(spec.requiredZone());
      boolean typeAllowed =
          spec.machineTypes() == null || spec.machineTypes().contains(type.label());
      if (zoneAllowed && typeAllowed && spec.resources().fitsInto(type.resources())) {
        allowed.add(type);
      }
    }
    return allowed;
  }

  /** Parses a list of machine types; returns none if it is malformed. */
  static List<MachineType> parseMachineTypes(JsonNode data) {
    try {
      return MachineType.parseAll(data);
    } catch (MalformedException e) {
      LOG.info("machine types cannot be parsed: {}", e.getMessage());
      return List.of();
    }
  }
}
