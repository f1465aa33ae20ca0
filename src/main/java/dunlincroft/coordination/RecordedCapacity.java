package dunlincroft.coordination;

import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Resources;
import dunlincroft.protocol.TaskState.TaskPlacement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Free capacity of the machines of all shards according to the records, so that every owner of a
 * shard computes the same. Machines of this node count only while they can take work.
 */
final class RecordedCapacity {
  /** A machine and the resources that recorded tasks leave free on it. */
  static final class Host {
    final String name;
    final String shard;
    final BlockClass blockClass;
    Resources free;
    boolean hasServices;

    private Host(String name, String shard, BlockClass blockClass, Resources free) {
      this.name = name;
      this.shard = shard;
      this.blockClass = blockClass;
      this.free = free;
    }
  }

  private final ClusterState cluster;
  private final Map<String, List<Host>> hostsByShard = new HashMap<>();

  RecordedCapacity(ClusterState cluster) {
    this.cluster = cluster;
    Map<String, Host> hosts = loadHosts();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      for (TaskPlacement place : job.places()) {
        Host host = hosts.get(place.host());
        if (host != null) {
          host.free = host.free.minus(job.spec.resources());
          host.hasServices |= job.spec.isService();
        }
      }
    }
  }

  private Map<String, Host> loadHosts() {
    Map<String, Host> hosts = new HashMap<>();
    for (BlockIndex.Block block : cluster.blocks.all()) {
      BlockClass blockClass = block.record().blockClass();
      MachineType type = cluster.machineTypes.get(blockClass.machineType());
      if (type == null) {
        continue;
      }
      double bound = cluster.policy.loadBound(type, blockClass.zone(), blockClass.preemptible());
      Resources capacity =
          type.resources()
              .minus(new Resources((long) (type.resources().cpu() * (1 - bound)), 0, 0));
      for (String name : block.record().hosts().keySet()) {
        Machine known = cluster.machines.get(name);
        if (known == null || cluster.isUsable(known)) {
          Host host = new Host(name, block.record().shard(), blockClass, capacity);
          hosts.put(name, host);
          hostsByShard.computeIfAbsent(host.shard, shard -> new ArrayList<>()).add(host);
        }
      }
    }
    return hosts;
  }

  /** The machines of a shard. */
  List<Host> hostsOf(String shard) {
    return hostsByShard.getOrDefault(shard, List.of());
  }

  /** Shards that have machines. */
  Set<String> shards() {
    return hostsByShard.keySet();
  }

  /** How many more tasks of a job fit on the machines of a shard, at most {@code maxTasks}. */
  int countFitting(JobIndex.Job job, String shard, int maxTasks) {
    Map<String, Integer> tasksPerZone = tasksPerZone(job);
    int count = 0;
    for (Host host : hostsOf(shard)) {
      if (count >= maxTasks) {
        return maxTasks;
      }
      if (isSuitable(job.spec, host, tasksPerZone)) {
        String zone = host.blockClass.zone();
        int zoneLimit = job.spec.maxTasksPerZone() - tasksPerZone.getOrDefault(zone, 0);
        int fitting =
            job.spec
                .resources()
                .countIn(freeCapacity(job.spec, host), Math.min(maxTasks, zoneLimit));
        tasksPerZone.merge(zone, fitting, Integer::sum);
        count += fitting;
      }
    }
    return Math.min(count, maxTasks);
  }

  /** Whether one more task of a job is allowed on a machine and fits there. */
  boolean fits(JobIndex.Job job, Host host) {
    return isSuitable(job.spec, host, tasksPerZone(job))
        && job.spec.resources().fitsInto(freeCapacity(job.spec, host));
  }

  private Map<String, Integer> tasksPerZone(JobIndex.Job job) {
    Map<String, Integer> tasksPerZone = new HashMap<>();
    for (TaskPlacement place : job.places()) {
      BlockIndex.Block block = cluster.blocks.blockOf(place.host());
      if (block != null) {
        tasksPerZone.merge(block.record().blockClass().zone(), 1, Integer::sum);
      }
    }
    return tasksPerZone;
  }

  private boolean isSuitable(JobSpec spec, Host host, Map<String, Integer> tasksPerZone) {
    String zone = host.blockClass.zone();
    boolean otherZone =
        spec.sameZone() && !tasksPerZone.isEmpty() && !tasksPerZone.containsKey(zone);
    return !otherZone
        && tasksPerZone.getOrDefault(zone, 0) < spec.maxTasksPerZone()
        && spec.allows(host.blockClass.machineType(), zone, host.blockClass.preemptible())
        && (!host.blockClass.preemptible() || cluster.allowsSpot(spec));
  }

  /**
   * Resources free for a job: on machines with services, the operators' reserve is for services
   * only.
   */
  private Resources freeCapacity(JobSpec spec, Host host) {
    if (!host.hasServices || spec.rank() == Rank.PROD) {
      return host.free;
    }
    MachineType type = cluster.machineTypes.get(host.blockClass.machineType());
    double reserve =
        cluster.policy.serviceReserve(type, host.blockClass.zone(), host.blockClass.preemptible());
    return host.free.minus(new Resources((long) (type.resources().cpu() * reserve), 0, 0));
  }
}
