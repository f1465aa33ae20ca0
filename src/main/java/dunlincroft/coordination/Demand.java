package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Resources;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** Demand of all waiting and running work for machines, computed from the records. */
final class Demand {
  /**
   * Numbers of machines of one type: on-demand ones for work that may not use spot machines, and
   * preemptible (spot) ones for all other work.
   */
  static final class MachineDemand {
    double onDemand;
    double preemptible;
  }

  private final ClusterState cluster;
  private final Map<String, MachineDemand> smoothed = new HashMap<>();
  private long smoothedAtMs;

  Demand(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Demand by machine type, smoothed so that it rises slowly in a short burst and falls even more
   * slowly between two bursts.
   */
  Map<String, MachineDemand> smoothedDemand() {
    double seconds = (cluster.now() - smoothedAtMs) / 1000.0;
    if (seconds * 1000 < Constants.AUTOSCALING_INTERVAL_MS / 2.0) {
      return smoothed;
    }
    smoothedAtMs = cluster.now();
    Map<String, MachineDemand> demandByType = currentDemand();
    for (String type : cluster.machineTypes.keySet()) {
      MachineDemand current = demandByType.getOrDefault(type, new MachineDemand());
      MachineDemand average = smoothed.computeIfAbsent(type, label -> current);
      average.onDemand = approach(average.onDemand, current.onDemand, seconds);
      average.preemptible = approach(average.preemptible, current.preemptible, seconds);
    }
    return smoothed;
  }

  /**
   * Moves a value exponentially towards a new one: fastest after a jump, more slowly for a small
   * rise, slowest for a fall.
   */
  private static double approach(double from, double to, double seconds) {
    double timeConstantS =
        to > from * Constants.DEMAND_JUMP_FACTOR
            ? Constants.DEMAND_JUMP_SMOOTHING_S
            : to > from ? Constants.DEMAND_RISE_SMOOTHING_S : Constants.DEMAND_FALL_SMOOTHING_S;
    return to + (from - to) * Math.exp(-seconds / timeConstantS);
  }

  private Map<String, MachineDemand> currentDemand() {
    Map<String, MachineDemand> demandByType = new HashMap<>();
    Map<String, Resources> remainingLimits = new HashMap<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      JobSpec spec = job.spec;
      Settings.Team team = cluster.settings.teams().get(spec.team());
      MachineType type = cheapestType(spec);
      if (team == null || type == null || isCancelled(spec) || !cluster.needsMachines(spec)) {
        continue;
      }
      Resources remaining = remainingLimits.getOrDefault(team.name(), team.limit());
      // A replica that is to move needs capacity at its destination before it leaves its machine.
      int demandedTasks =
          spec.resources().countIn(remaining, job.runnableTasks() + cluster.misplacedReplicas(job));
      remainingLimits.put(team.name(), remaining.minus(spec.resources().times(demandedTasks)));
      MachineDemand demand =
          demandByType.computeIfAbsent(type.label(), label -> new MachineDemand());
      if (cluster.allowsSpot(spec)) {
        demand.preemptible += machinesFor(spec, type, demandedTasks);
      } else {
        demand.onDemand += machinesFor(spec, type, demandedTasks);
      }
    }
    return demandByType;
  }

  /**
   * Target number of on-demand machines of a type, for services and all other work that may not use
   * spot machines, with the operators' spare and at least one machine per zone.
   */
  double onDemandTarget(MachineType type, MachineDemand demand) {
    double spare = cluster.policy.spareMachinesPerZone(type) * type.zones().size();
    return Math.max(type.zones().size(), demand.onDemand + spare);
  }

  /** The machine type that is cheapest for a job's tasks, or null if none fits. */
  MachineType cheapestType(JobSpec spec) {
    return cluster.allowedTypes(spec).stream()
        .min(
            Comparator.comparingDouble(
                type ->
                    (cluster.allowsSpot(spec)
                            ? Math.min(type.price(), type.spotPrice())
                            : type.price())
                        * machinesFor(spec, type, 1)))
        .orElse(null);
  }

  /** Number of machines that some tasks of a job fill, in fractions of a machine. */
  private static double machinesFor(JobSpec spec, MachineType type, int tasks) {
    return (double) tasks
        / Math.max(1, spec.resources().countIn(type.resources(), Constants.MAX_TASKS_PER_JOB));
  }

  boolean isCancelled(JobSpec spec) {
    return cluster.replica.get(Replica.CANCELS, spec.ref()) != null;
  }

  // ---- by shard ----

  /** Numbers of machines in recorded blocks, by class and shard. */
  Map<BlockClass, Map<String, Integer>> machinesByClass() {
    Map<BlockClass, Map<String, Integer>> machines = new HashMap<>();
    for (BlockIndex.Block block : cluster.blocks.all()) {
      machines
          .computeIfAbsent(block.record().blockClass(), c -> new HashMap<>())
          .merge(block.record().shard(), block.record().hosts().size(), Integer::sum);
    }
    return machines;
  }

  /** Unfinished work that machines of a class may run, in numbers of machines, by shard. */
  Map<String, Double> machinesByShard(BlockClass machineClass) {
    Map<String, Double> work = new HashMap<>();
    MachineType type = cluster.machineTypes.get(machineClass.machineType());
    if (type == null || !type.zones().contains(machineClass.zone())) {
      return work;
    }
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      JobSpec spec = job.spec;
      if (spec.allows(machineClass.machineType(), machineClass.zone(), machineClass.preemptible())
          && spec.resources().fitsInto(type.resources())
          && (!machineClass.preemptible() || cluster.policy.isSpotEnabled(spec))
          && !isCancelled(spec)
          && cluster.needsMachines(spec)) {
        work.merge(job.shard, machinesFor(spec, type, job.runnableTasks()), Double::sum);
      }
    }
    return work;
  }

  /** Resources that the unfinished work of a team takes, by shard. */
  Map<String, Resources> resourcesByShard(String team) {
    Map<String, Resources> work = new HashMap<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      if (job.spec.team().equals(team) && !isCancelled(job.spec)) {
        work.merge(job.shard, job.spec.resources().times(job.runnableTasks()), Resources::plus);
      }
    }
    return work;
  }
}
