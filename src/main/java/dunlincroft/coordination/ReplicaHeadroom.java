package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Resources;
import dunlincroft.protocol.TaskState.TaskPlacement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Checks whether waiting service replicas fit on the machines, by bin packing over machines and
 * zones. There may be enough machines while their free capacity is fragmented, or lies in a zone
 * that already has its maximum of a service. Computed from the records; work of lower priority
 * yields to services and is ignored.
 */
final class ReplicaHeadroom {
  /** Machines of one class to be rented for one shard. */
  record Shortage(BlockClass blockClass, String shard) {}

  /**
   * Result of a check of all waiting replicas.
   *
   * @param shortages numbers of machines to be rented, by class and shard
   * @param unplacedServices services with a replica that fits on no machine
   * @param fullZones zones that the waiting replicas fill completely, without capacity for one more
   * @param reservedHosts machines whose capacity a waiting replica counts on
   */
  record Assessment(
      Map<Shortage, Integer> shortages,
      Set<String> unplacedServices,
      Set<String> fullZones,
      Set<String> reservedHosts) {
    static final Assessment NONE_WAITING = new Assessment(Map.of(), Set.of(), Set.of(), Set.of());
  }

  /** A machine, present or being provisioned, with the capacity that services leave free on it. */
  private static final class Bin {
    final String host;
    final BlockClass blockClass;

    /** The shard that owns the machine; null if it may be given to any shard. */
    final String shard;

    Resources free;

    Bin(String host, BlockClass blockClass, String shard, Resources free) {
      this.host = host;
      this.blockClass = blockClass;
      this.shard = shard;
      this.free = free;
    }
  }

  private final ClusterState cluster;
  private final Demand demand;

  ReplicaHeadroom(ClusterState cluster, Demand demand) {
    this.cluster = cluster;
    this.demand = demand;
  }

  /**
   * Checks all replicas that wait or whose machine no longer serves.
   *
   * @param isServing whether a machine of this node serves or will soon
   * @param silentElsewhere machines that other nodes own and receive no reports from
   * @param provisioning numbers of machines that are being provisioned and are in no block yet, by
   *     class
   * @param unavailable classes of which no machine can be rented now
   */
  Assessment assess(
      Predicate<Machine> isServing,
      Set<String> silentElsewhere,
      Map<BlockClass, Integer> provisioning,
      Predicate<BlockClass> unavailable) {
    Set<String> lostHosts = lostHosts(isServing);
    lostHosts.addAll(silentElsewhere);
    List<JobIndex.Job> waiting = waitingServices(lostHosts);
    if (waiting.isEmpty()) {
      return Assessment.NONE_WAITING;
    }
    List<Bin> bins = bins(lostHosts, provisioning);
    Assessment assessment =
        new Assessment(new HashMap<>(), new HashSet<>(), new HashSet<>(), new HashSet<>());
    Map<String, Resources> remainingLimits = remainingLimits();
    int checksLeft = Constants.MAX_REPLICAS_PER_CHECK;
    for (JobIndex.Job job : waiting) {
      if (checksLeft > 0) {
        checksLeft -= pack(job, lostHosts, bins, remainingLimits, unavailable, assessment);
      }
    }
    waiting.stream()
        .filter(job -> replicasToMove(job, lostHosts) > 0)
        .findFirst()
        .ifPresent(largest -> keepZoneHeadroom(largest, bins, unavailable, assessment));
    return assessment;
  }

  /**
   * Keeps capacity for one more of the largest replicas in each zone. Replicas that lose their
   * machines are placed one after another as the machines are given up, and not as they were packed
   * here: one that may go to any zone may take the capacity in the only zone that is left to
   * another. If necessary, one more machine is rented for a zone while the lost machines are still
   * waited for.
   */
  private void keepZoneHeadroom(
      JobIndex.Job largest,
      List<Bin> bins,
      Predicate<BlockClass> unavailable,
      Assessment assessment) {
    MachineType type = demand.cheapestType(largest.spec);
    if (type == null) {
      return;
    }
    for (String zone : cluster.zonesFor(largest, type)) {
      BlockClass blockClass = new BlockClass(type.label(), zone, false);
      Bin zoneBin = binOfClass(largest, blockClass, bins);
      if (zoneBin == null && !unavailable.test(blockClass)) {
        assessment.fullZones.add(zone);
        assessment.shortages.merge(new Shortage(blockClass, largest.shard), 1, Integer::sum);
      } else if (zoneBin != null && zoneBin.host != null) {
        assessment.reservedHosts.add(zoneBin.host);
      }
    }
  }

  /** A machine of a class that has capacity for one more replica of a job, or null. */
  private static Bin binOfClass(JobIndex.Job job, BlockClass blockClass, List<Bin> bins) {
    return bins.stream()
        .filter(bin -> bin.shard == null || bin.shard.equals(job.shard))
        .filter(bin -> bin.blockClass.equals(blockClass))
        .filter(bin -> job.spec.resources().fitsInto(bin.free))
        .findFirst()
        .orElse(null);
  }

  private static int replicasToMove(JobIndex.Job job, Set<String> lostHosts) {
    return missingReplicas(job, lostHosts) - (job.runnableTasks() - job.placedCount());
  }

  /** Machines in blocks that do not serve; replicas recorded there move elsewhere. */
  private Set<String> lostHosts(Predicate<Machine> isServing) {
    Set<String> lostHosts = new HashSet<>();
    for (Machine machine : cluster.machines.values()) {
      if (!isServing.test(machine)) {
        lostHosts.add(machine.host);
      }
    }
    return lostHosts;
  }

  /** Services with replicas that wait or have to move, the largest replicas first. */
  private List<JobIndex.Job> waitingServices(Set<String> lostHosts) {
    List<JobIndex.Job> waiting = new ArrayList<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      JobSpec spec = job.spec;
      if (spec.isService()
          && spec.rank() == Rank.PROD
          && missingReplicas(job, lostHosts) > 0
          && !job.faulty()
          && !demand.isCancelled(spec)
          && cluster.needsMachines(spec)
          && !cluster.hasMigrationSides(spec)) {
        waiting.add(job);
      }
    }
    waiting.sort(
        Comparator.comparingLong((JobIndex.Job job) -> -job.spec.resources().cpu())
            .thenComparing(job -> job.spec.ref()));
    return waiting;
  }

  private static int missingReplicas(JobIndex.Job job, Set<String> lostHosts) {
    int count = job.runnableTasks() - job.placedCount();
    for (TaskPlacement place : job.places()) {
      count += lostHosts.contains(place.host()) ? 1 : 0;
    }
    return count;
  }

  /** What each team's limit leaves for replicas that are not placed. */
  private Map<String, Resources> remainingLimits() {
    Map<String, Resources> remainingLimits = new HashMap<>();
    cluster
        .settings
        .teams()
        .values()
        .forEach(team -> remainingLimits.put(team.name(), team.limit()));
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      Resources used = job.spec.resources().times(job.placedCount());
      remainingLimits.computeIfPresent(job.spec.team(), (team, remaining) -> remaining.minus(used));
    }
    return remainingLimits;
  }

  // ---- machines ----

  private List<Bin> bins(Set<String> lostHosts, Map<BlockClass, Integer> provisioning) {
    Map<String, Resources> usedByHost = usedByServices();
    Map<BlockClass, Resources> capacities = new HashMap<>();
    List<Bin> bins = new ArrayList<>();
    for (BlockIndex.Block block : cluster.blocks.all()) {
      BlockClass blockClass = block.record().blockClass();
      Resources capacity = capacities.computeIfAbsent(blockClass, this::serviceCapacity);
      for (String host : block.record().hosts().keySet()) {
        if (!lostHosts.contains(host)) {
          Resources free = capacity.minus(usedByHost.getOrDefault(host, Resources.NONE));
          bins.add(new Bin(host, blockClass, block.record().shard(), free));
        }
      }
    }
    provisioning.forEach(
        (blockClass, number) -> {
          for (int i = 0; i < number; i++) {
            bins.add(new Bin(null, blockClass, null, serviceCapacity(blockClass)));
          }
        });
    return bins;
  }

  /** Resources taken by work that does not yield to services, by machine. */
  private Map<String, Resources> usedByServices() {
    Map<String, Resources> usedByHost = new HashMap<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      if (job.spec.rank() == Rank.PROD || job.spec.isService()) {
        for (TaskPlacement place : job.places()) {
          usedByHost.merge(place.host(), job.spec.resources(), Resources::plus);
        }
      }
    }
    return usedByHost;
  }

  /** Capacity of a machine for services, less what the operators' load bound keeps free. */
  private Resources serviceCapacity(BlockClass blockClass) {
    MachineType type = cluster.machineTypes.get(blockClass.machineType());
    if (type == null) {
      return Resources.NONE;
    }
    double bound = cluster.policy.loadBound(type, blockClass.zone(), blockClass.preemptible());
    return type.resources()
        .minus(new Resources((long) (type.resources().cpu() * (1 - bound)), 0, 0));
  }

  // ---- bin packing ----

  /** Finds capacity for the replicas of a service, one by one. Returns how many it checked. */
  private int pack(
      JobIndex.Job job,
      Set<String> lostHosts,
      List<Bin> bins,
      Map<String, Resources> remainingLimits,
      Predicate<BlockClass> unavailable,
      Assessment assessment) {
    JobSpec spec = job.spec;
    Settings.Team team = cluster.settings.teams().get(spec.team());
    if (team == null) {
      return 0;
    }
    Map<String, Integer> replicasPerZone = replicasPerZone(job, lostHosts);
    int replicasToMove = replicasToMove(job, lostHosts);
    int newReplicas =
        spec.resources()
            .countIn(remainingLimits.get(team.name()), job.runnableTasks() - job.placedCount());
    remainingLimits.merge(team.name(), spec.resources().times(newReplicas), Resources::minus);
    int number = Math.min(replicasToMove + newReplicas, Constants.MAX_REPLICAS_PER_CHECK);
    for (int i = 0; i < number; i++) {
      Bin bin = bestBin(job, bins, replicasPerZone);
      if (bin == null) {
        assessment.unplacedServices.add(spec.ref());
        bin = rentableBin(job, replicasPerZone, unavailable);
        if (bin == null) {
          return i + 1;
        }
        bins.add(bin);
        assessment.shortages.merge(new Shortage(bin.blockClass, job.shard), 1, Integer::sum);
      } else if (bin.host != null) {
        assessment.reservedHosts.add(bin.host);
      }
      bin.free = bin.free.minus(spec.resources());
      replicasPerZone.merge(bin.blockClass.zone(), 1, Integer::sum);
    }
    return number;
  }

  /** Replicas of a service that stay where they are, by zone. */
  private Map<String, Integer> replicasPerZone(JobIndex.Job job, Set<String> lostHosts) {
    Map<String, Integer> replicasPerZone = new HashMap<>();
    for (TaskPlacement place : job.places()) {
      BlockIndex.Block block =
          lostHosts.contains(place.host()) ? null : cluster.blocks.blockOf(place.host());
      if (block != null) {
        replicasPerZone.merge(block.record().blockClass().zone(), 1, Integer::sum);
      }
    }
    return replicasPerZone;
  }

  /** A machine with capacity for one more replica, in the zone with the fewest of them, or null. */
  private Bin bestBin(JobIndex.Job job, List<Bin> bins, Map<String, Integer> replicasPerZone) {
    Bin best = null;
    for (Bin bin : bins) {
      if (job.spec.resources().fitsInto(bin.free)
          && (bin.shard == null || bin.shard.equals(job.shard))
          && isSuitable(job.spec, bin.blockClass, replicasPerZone)
          && (best == null
              || replicasIn(replicasPerZone, bin) < replicasIn(replicasPerZone, best))) {
        best = bin;
      }
    }
    return best;
  }

  private static int replicasIn(Map<String, Integer> replicasPerZone, Bin bin) {
    return replicasPerZone.getOrDefault(bin.blockClass.zone(), 0);
  }

  private boolean isSuitable(
      JobSpec spec, BlockClass blockClass, Map<String, Integer> replicasPerZone) {
    String zone = blockClass.zone();
    boolean otherZone =
        spec.sameZone() && !replicasPerZone.isEmpty() && !replicasPerZone.containsKey(zone);
    return !otherZone
        && replicasPerZone.getOrDefault(zone, 0) < spec.maxTasksPerZone()
        && spec.allows(blockClass.machineType(), zone, blockClass.preemptible())
        && (!blockClass.preemptible() || cluster.allowsSpot(spec));
  }

  /**
   * A machine that could be rented for one more replica, in the zone with the fewest of them, or
   * null.
   */
  private Bin rentableBin(
      JobIndex.Job job, Map<String, Integer> replicasPerZone, Predicate<BlockClass> excluded) {
    MachineType type = demand.cheapestType(job.spec);
    if (type == null) {
      return null;
    }
    Bin best = null;
    for (String zone : type.zones()) {
      BlockClass blockClass = new BlockClass(type.label(), zone, false);
      Bin bin = new Bin(null, blockClass, job.shard, serviceCapacity(blockClass));
      if (!excluded.test(blockClass)
          && isSuitable(job.spec, blockClass, replicasPerZone)
          && job.spec.resources().fitsInto(bin.free)
          && (best == null
              || replicasIn(replicasPerZone, bin) < replicasIn(replicasPerZone, best))) {
        best = bin;
      }
    }
    return best;
  }
}
