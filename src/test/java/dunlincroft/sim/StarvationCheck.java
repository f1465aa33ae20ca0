package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Resources;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks that, once all faults have ended, no job waits for 90 s while a suitable machine has free
 * capacity and the job's team is under its limit. It inspects the machines themselves, whatever
 * state the controllers assume them to be in.
 */
final class StarvationCheck {
  /** Maximum time for which a job may wait while there is free capacity for it. */
  static final long MAX_WAIT_MS = 90_000;

  /** A machine that has just booted or recovered is not counted for this time. */
  private static final long SETTLE_MS = 10_000;

  private final SimCluster cluster;
  private final InvariantChecks checks;

  /** Since when each machine has been continuously available. */
  private final Map<SimWorker, Long> readySince = new HashMap<>();

  /** Since when each job has waited although there was free capacity for it. */
  private final Map<String, Long> waitingSince = new HashMap<>();

  private final Set<String> reportedJobs = new HashSet<>();
  private final MachineType machineType =
      new MachineType(
          SimCluster.MACHINE_TYPE,
          Resources.roundedDown(SimCluster.CPUS_PER_MACHINE, 0, 64),
          1.5,
          0.5,
          2,
          SimCluster.ZONES);

  /** An available machine and its free capacity. */
  private record Machine(SimWorker worker, Resources free) {}

  StarvationCheck(SimCluster cluster, InvariantChecks checks) {
    this.cluster = cluster;
    this.checks = checks;
  }

  /** A task of a job was placed on a machine. */
  void onTaskPlaced(String ref) {
    waitingSince.remove(ref);
  }

  /** Checks all jobs; called once a second after the faults have ended. */
  void check() {
    long now = cluster.clock.now();
    List<Machine> machines = readyMachines(now);
    Map<String, Resources> used = new HashMap<>();
    for (String ref : checks.accepted) {
      JobSpec spec = cluster.specOf(ref);
      Resources resources = spec.resources().times(checks.placedOn(ref).size());
      used.merge(spec.team(), resources, Resources::plus);
    }
    for (String ref : checks.accepted) {
      if (!isWaiting(ref) || !hasCapacity(cluster.specOf(ref), machines, used)) {
        waitingSince.remove(ref);
        continue;
      }
      long since = waitingSince.computeIfAbsent(ref, r -> now);
      if (now - since > MAX_WAIT_MS && reportedJobs.add(ref)) {
        report(ref, since, machines);
      }
    }
  }

  private void report(String ref, long since, List<Machine> machines) {
    String detail =
        ref
            + " since "
            + since
            + " although there is free capacity for it; "
            + diagnosis(ref, machines);
    checks.starvedJobs.add(detail);
    checks.recordViolation("left_waiting", detail);
  }

  /**
   * Describes what the job's shard lacks: a share of the team's limit, a suitable machine of its
   * own with free capacity, or neither.
   */
  private String diagnosis(String ref, List<Machine> machines) {
    JobSpec spec = cluster.specOf(ref);
    JsonNode record = cluster.state.dataUnder("d/jobs/").get(ref);
    String shard = record == null ? "" : record.path("shard").asText();
    Map<String, Long> free = new TreeMap<>(unusedShares(spec.team()));
    Map<String, String> shardOf = shardsOfMachines();
    Map<String, Integer> fitting = new TreeMap<>();
    for (Machine machine : machines) {
      if (isSuitable(spec, machine, perZone(ref))) {
        fitting.merge(shardOf.getOrDefault(machine.worker.host, "none"), 1, Integer::sum);
      }
    }
    return "of shard "
        + shard
        + ", a task takes "
        + spec.resources().cpu()
        + ", unused parts of its team's limit "
        + free
        + ", machines that fit "
        + fitting;
  }

  /** Each shard's share of a team's limit that the tasks of its jobs do not use. */
  private Map<String, Long> unusedShares(String team) {
    Map<String, Long> unused = new HashMap<>();
    JsonNode shares = cluster.state.dataUnder("d/shares/").get(team);
    if (shares != null) {
      shares
          .fields()
          .forEachRemaining(
              shareOfShard ->
                  unused.put(shareOfShard.getKey(), shareOfShard.getValue().path("cpu").asLong()));
    }
    for (String ref : checks.accepted) {
      JsonNode record = cluster.state.dataUnder("d/jobs/").get(ref);
      JobSpec spec = cluster.specOf(ref);
      if (record != null && spec.team().equals(team)) {
        long used = spec.resources().cpu() * checks.placedOn(ref).size();
        unused.merge(record.path("shard").asText(), -used, Long::sum);
      }
    }
    return unused;
  }

  private Map<String, String> shardsOfMachines() {
    Map<String, String> shards = new HashMap<>();
    for (JsonNode block : cluster.state.dataUnder("d/blocks/").values()) {
      block
          .path("hosts")
          .fieldNames()
          .forEachRemaining(host -> shards.put(host, block.path("shard").asText()));
    }
    return shards;
  }

  private List<Machine> readyMachines(long now) {
    readySince.keySet().retainAll(cluster.cloud.machines.values());
    for (SimWorker worker : cluster.cloud.machines.values()) {
      if (worker.isAvailable()) {
        readySince.putIfAbsent(worker, now);
      } else {
        readySince.remove(worker);
      }
    }
    return readySince.entrySet().stream()
        .filter(entry -> now - entry.getValue() >= SETTLE_MS)
        .map(Map.Entry::getKey)
        .map(worker -> new Machine(worker, worker.freeCapacity()))
        .toList();
  }

  /** Whether a job that nobody cancelled has a task that is neither done nor on a machine. */
  private boolean isWaiting(String ref) {
    if (checks.cancelRequested.contains(ref)
        || checks.finalStates.containsKey(ref)
        || cluster.failingJobs.contains(ref)) {
      return false;
    }
    int done = checks.completedTasks.getOrDefault(ref, Set.of()).size();
    return done + checks.placedOn(ref).size() < cluster.specOf(ref).taskCount();
  }

  private boolean hasCapacity(JobSpec spec, List<Machine> machines, Map<String, Resources> used) {
    Resources limit = cluster.settings.teams().get(spec.team()).limit();
    Resources usedAfterStart =
        used.getOrDefault(spec.team(), Resources.NONE).plus(spec.resources());
    if (!usedAfterStart.fitsInto(limit)) {
      return false;
    }
    Map<String, Integer> perZone = perZone(spec.ref());
    return machines.stream().anyMatch(machine -> isSuitable(spec, machine, perZone));
  }

  private Map<String, Integer> perZone(String ref) {
    Map<String, Integer> perZone = new HashMap<>();
    checks.placedOn(ref).forEach(worker -> perZone.merge(worker.zone, 1, Integer::sum));
    return perZone;
  }

  private boolean isSuitable(JobSpec spec, Machine machine, Map<String, Integer> perZone) {
    String zone = machine.worker.zone;
    boolean inOtherZone = spec.sameZone() && !perZone.isEmpty() && !perZone.containsKey(zone);
    boolean spot = machine.worker.spot;
    return !inOtherZone
        && perZone.getOrDefault(zone, 0) < spec.maxTasksPerZone()
        && spec.allows(SimCluster.MACHINE_TYPE, zone, spot)
        && (!spot || cluster.policy.isSpotEnabled(spec))
        && spec.resources().fitsInto(machine.free.minus(reservedCapacity(machine)));
  }

  /** The capacity of a machine above the operators' load bound. */
  private Resources reservedCapacity(Machine machine) {
    double bound = cluster.policy.loadBound(machineType, machine.worker.zone, machine.worker.spot);
    return new Resources((long) (machineType.resources().cpu() * (1 - bound)), 0, 0);
  }
}
