package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Room;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** What all waiting and running work wants of machines, read off the records. */
final class Demand {
  /** Machines wanted of a type: for work that needs ordinary ones, and for the rest. */
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

  /** The needs, slow to rise over a short burst and slower to fall between two. */
  Map<String, MachineDemand> smoothedDemand() {
    double seconds = (cluster.now() - smoothedAtMs) / 1000.0;
    if (seconds * 1000 < Constants.SUPPLY_MS / 2.0) {
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

  private static double approach(double from, double to, double seconds) {
    double timeConstantS =
        to > from * Constants.NEED_JUMP
            ? Constants.NEED_JUMP_S
            : to > from ? Constants.NEED_RISE_S : Constants.NEED_FALL_S;
    return to + (from - to) * Math.exp(-seconds / timeConstantS);
  }

  private Map<String, MachineDemand> currentDemand() {
    Map<String, MachineDemand> demandByType = new HashMap<>();
    Map<String, Room> remainingLimits = new HashMap<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      JobSpec spec = job.spec;
      Settings.Team team = cluster.settings.teams().get(spec.owner());
      MachineType type = cheapestType(spec);
      if (team == null || type == null || isCancelled(spec) || !cluster.needsMachines(spec)) {
        continue;
      }
      Room remaining = remainingLimits.getOrDefault(team.name(), team.limit());
      // Who is to move needs room where it goes before it leaves.
      int demandedTasks =
          spec.room().countIn(remaining, job.wanted() + cluster.misplacedReplicas(job));
      remainingLimits.put(team.name(), remaining.minus(spec.room().times(demandedTasks)));
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

  /** Machines of the type that services and other work without spot machines want. */
  double onDemandTarget(MachineType type, MachineDemand demand) {
    double spare = cluster.policy.spare(type) * type.halls().size();
    return Math.max(type.halls().size(), demand.onDemand + spare);
  }

  /** The type whose machines are the cheapest for a job's tasks, or null when none fits. */
  MachineType cheapestType(JobSpec spec) {
    return cluster.allowedTypes(spec).stream()
        .min(
            Comparator.comparingDouble(
                type ->
                    (cluster.allowsSpot(spec)
                            ? Math.min(type.price(), type.lowPrice())
                            : type.price())
                        * machinesFor(spec, type, 1)))
        .orElse(null);
  }

  private static double machinesFor(JobSpec spec, MachineType type, int tasks) {
    return (double) tasks / Math.max(1, spec.room().countIn(type.room(), Constants.MAX_PIECES));
  }

  boolean isCancelled(JobSpec spec) {
    return cluster.replica.get(Replica.CANCELS, spec.ref()) != null;
  }

  // ---- by shard ----

  /** The numbers of machines in recorded blocks, by class and shard. */
  Map<BlockClass, Map<String, Integer>> machinesByClass() {
    Map<BlockClass, Map<String, Integer>> machines = new HashMap<>();
    for (BlockIndex.Block block : cluster.blocks.all()) {
      machines
          .computeIfAbsent(block.record().blockClass(), c -> new HashMap<>())
          .merge(block.record().shard(), block.record().hosts().size(), Integer::sum);
    }
    return machines;
  }

  /** Machines' worth of open work that blocks of this class may run, by shard. */
  Map<String, Double> machinesByShard(BlockClass machineClass) {
    Map<String, Double> work = new HashMap<>();
    MachineType type = cluster.machineTypes.get(machineClass.flavour());
    if (type == null || !type.halls().contains(machineClass.hall())) {
      return work;
    }
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      JobSpec spec = job.spec;
      if (spec.allows(machineClass.flavour(), machineClass.hall(), machineClass.lendable())
          && spec.room().fits(type.room())
          && (!machineClass.lendable() || cluster.policy.spot(spec))
          && !isCancelled(spec)
          && cluster.needsMachines(spec)) {
        work.merge(job.shard, machinesFor(spec, type, job.wanted()), Double::sum);
      }
    }
    return work;
  }

  /** What the open work of a team takes, by shard. */
  Map<String, Room> resourcesByShard(String team) {
    Map<String, Room> work = new HashMap<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      if (job.spec.owner().equals(team) && !isCancelled(job.spec)) {
        work.merge(job.shard, job.spec.room().times(job.wanted()), Room::plus);
      }
    }
    return work;
  }
}
