package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.Resources;
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
 * Moves empty machines from this node's shards to others, in proportion to their waiting and
 * running work. Only the owner moves a machine, with one write guarded by the shard record and the
 * machine's block; the machine must have no tasks and no record may name it. Neither owner uses the
 * machine before it knows the outcome of the write.
 */
final class MachineHandover {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHandover.class);

  private final ClusterState cluster;
  private final Membership membership;
  private final Demand demand;
  private final HandoverWriter writer;
  private long plannedLeaseStamp;

  /** Since when waiting jobs have found no free capacity in their shards, by job. */
  private final Map<String, Long> blockedSince = new HashMap<>();

  MachineHandover(
      ClusterState cluster, Membership membership, Demand demand, HandoverWriter writer) {
    this.cluster = cluster;
    this.membership = membership;
    this.demand = demand;
    this.writer = writer;
  }

  /** Plans at each renewal of the block leases, and moves the machines that are empty by now. */
  void tick(RecordedCapacity capacity) {
    if (membership.leaseStamp() != plannedLeaseStamp) {
      plannedLeaseStamp = membership.leaseStamp();
      plan();
    }
    assignToBlockedJobs(capacity);
    Map<BlockIndex.Block, Map<String, List<Machine>>> ready = new LinkedHashMap<>();
    for (Machine machine : cluster.machines.values()) {
      BlockIndex.Block block = cluster.blocks.blockOf(machine.host);
      if (machine.targetShard != null && !machine.isMoving && block != null && isMovable(machine)) {
        ready
            .computeIfAbsent(block, b -> new HashMap<>())
            .computeIfAbsent(machine.targetShard, to -> new ArrayList<>())
            .add(machine);
      }
    }
    // One move at a time from each block: a second write would conflict with the stamp of the
    // first.
    ready.forEach((block, moves) -> move(block, moves.entrySet().iterator().next()));
  }

  /** Chooses the machines to hand over until the next renewal, class by class. */
  private void plan() {
    cluster.machines.values().stream().filter(m -> !m.isMoving).forEach(m -> m.targetShard = null);
    Set<String> needed = neededByOwnJobs(new RecordedCapacity(cluster));
    demand
        .machinesByClass()
        .forEach(
            (blockClass, machineCounts) -> {
              Map<String, Double> workByShard = demand.machinesByShard(blockClass);
              double totalWork = workByShard.values().stream().mapToDouble(d -> d).sum();
              int totalMachines = machineCounts.values().stream().mapToInt(n -> n).sum();
              if (totalWork > 0) {
                workByShard.replaceAll((shard, machines) -> machines / totalWork * totalMachines);
                List.copyOf(cluster.ownedShards.keySet())
                    .forEach(shard -> plan(blockClass, shard, machineCounts, workByShard, needed));
              }
            });
  }

  private void plan(
      BlockClass blockClass,
      String from,
      Map<String, Integer> machineCounts,
      Map<String, Double> targets,
      Set<String> needed) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (machine.shard.equals(from)
          && machine.blockClass().equals(blockClass)
          && cluster.isUsable(machine)
          && !needed.contains(machine.host)
          && !machine.hasService()) {
        candidates.add(machine);
      }
    }
    candidates.sort(Comparator.comparingLong(machine -> machine.used().cpu()));
    for (Machine machine : candidates) {
      String to =
          targets.keySet().stream()
              .filter(shard -> cluster.replica.get(Replica.SHARDS, shard) != null)
              .max(Comparator.comparingDouble(shard -> shortfall(shard, machineCounts, targets)))
              .orElse(from);
      // Smaller differences do not justify a move: two owners would hand the machine back and
      // forth.
      if (shortfall(to, machineCounts, targets) < 0.5
          || -shortfall(from, machineCounts, targets) < 0.5) {
        return;
      }
      LOG.info(
          "host {} will move from shard {} to shard {} once it is empty", machine.host, from, to);
      machine.targetShard = to;
      machineCounts.merge(from, -1, Integer::sum);
      machineCounts.merge(to, 1, Integer::sum);
    }
  }

  /**
   * Machines that waiting jobs of this node's shards are about to use. A machine may be the only
   * one in its job's zone while the counts by class say that another shard needs it more.
   */
  private Set<String> neededByOwnJobs(RecordedCapacity capacity) {
    Set<String> needed = new HashSet<>();
    for (JobIndex.Job job : waitingJobs()) {
      if (cluster.owns(job.shard) && hasShareForOneTask(job)) {
        capacity.hostsOf(job.shard).stream()
            .filter(host -> capacity.fits(job, host))
            .forEach(host -> needed.add(host.name));
      }
    }
    return needed;
  }

  /** Jobs with waiting tasks, the first {@link Constants#MAX_PLANNED_JOBS} in scheduling order. */
  private List<JobIndex.Job> waitingJobs() {
    return cluster.jobIndex.all().values().stream()
        .filter(job -> job.runnableTasks() > job.placedCount())
        .filter(job -> !demand.isCancelled(job.spec) && cluster.needsMachines(job.spec))
        .sorted(ShareHandover.ORDER)
        .limit(Constants.MAX_PLANNED_JOBS)
        .toList();
  }

  /**
   * Whether the share of the team's limit that the job's shard has is sufficient for one more task.
   */
  private boolean hasShareForOneTask(JobIndex.Job job) {
    String team = job.spec.team();
    Resources unused =
        cluster.usableShare(team, job.shard).minus(cluster.teamUsage(team, job.shard));
    return job.spec.resources().fitsInto(unused);
  }

  // ---- waiting jobs without free capacity in their shard ----

  /**
   * Assigns machines of this node to jobs that fit on no machine of their own shard. All owners
   * derive the same machine from the records, and its owner hands it over once it is empty.
   */
  private void assignToBlockedJobs(RecordedCapacity capacity) {
    Set<String> blocked = new HashSet<>();
    for (JobIndex.Job job : waitingJobs()) {
      if (capacity.countFitting(job, job.shard, 1) == 0) {
        blocked.add(job.spec.ref());
        if (isBlockedLongEnough(job)) {
          assignMachine(job, capacity);
        }
      }
    }
    blockedSince.keySet().retainAll(blocked);
  }

  /**
   * Whether a job has been without free capacity long enough to act; records lag behind starts and
   * ends of tasks.
   */
  private boolean isBlockedLongEnough(JobIndex.Job job) {
    long since = blockedSince.computeIfAbsent(job.spec.ref(), ref -> cluster.now());
    return cluster.now() - since >= Constants.STALLED_JOB_MS;
  }

  private void assignMachine(JobIndex.Job job, RecordedCapacity capacity) {
    boolean alreadyAssigned =
        cluster.machines.values().stream()
            .anyMatch(machine -> job.shard.equals(machine.targetShard));
    if (alreadyAssigned) {
      return;
    }
    capacity.shards().stream()
        .filter(shard -> !shard.equals(job.shard))
        .flatMap(shard -> capacity.hostsOf(shard).stream())
        .filter(host -> !host.hasServices && capacity.fits(job, host))
        .min(
            Comparator.comparingLong((RecordedCapacity.Host host) -> -host.free.cpu())
                .thenComparing(host -> host.name))
        .map(host -> cluster.machines.get(host.name))
        .filter(machine -> machine.targetShard == null && !machine.isMoving)
        .ifPresent(
            machine -> {
              LOG.info(
                  "host {} will move from shard {} to shard {} once it is empty, for job {}",
                  machine.host,
                  machine.shard,
                  job.shard,
                  job.spec.ref());
              machine.targetShard = job.shard;
            });
  }

  private static double shortfall(
      String shard, Map<String, Integer> machineCounts, Map<String, Double> targets) {
    return targets.getOrDefault(shard, 0.0) - machineCounts.getOrDefault(shard, 0);
  }

  /**
   * Whether the machine has no tasks, no order for it is in flight and no record names it. If a
   * record named it, a later owner would look for a task there and release the machine although it
   * belongs to another shard.
   */
  private boolean isMovable(Machine machine) {
    return machine.placements.isEmpty()
        && machine.reportedTasks.isEmpty()
        && machine.recordedJobs.isEmpty()
        && !machine.drainReason.isDraining()
        && machine.lifecycle == MachineLifecycle.IN_USE
        && !machine.isRaisingFence
        && machine.session.hasReported()
        && machine.session.isAbsenceProven();
  }

  /**
   * Removes the machines from their block and leases them to the other shard as a block of their
   * own.
   */
  private void move(BlockIndex.Block block, Map.Entry<String, List<Machine>> moves) {
    String from = block.record().shard();
    String to = moves.getKey();
    List<Machine> machines = moves.getValue();
    if (!cluster.owns(from)
        || (cluster.settings.maxTxnOps() < 2 && machines.size() < block.size())) {
      return;
    }
    List<String> hosts = machines.stream().map(machine -> machine.host).toList();
    String key = Wire.key(Replica.BLOCKS, block.name());
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, from), cluster.ownedShards.getLong(from))
            .guard(key, block.stamp());
    if (hosts.size() == block.size()) {
      txn.put(key, block.record().subset(hosts, to).toNode());
    } else {
      String newKey = Wire.key(Replica.BLOCKS, membership.nextName());
      txn.put(key, block.record().without(hosts).toNode());
      txn.guard(newKey, 0).put(newKey, block.record().subset(hosts, to).toNode());
    }
    machines.forEach(machine -> machine.isMoving = true);
    writer.commit(
        txn,
        hosts.size() + " machines of block " + block.name() + " to shard " + to,
        () -> {
          for (Machine machine : machines) {
            machine.isMoving = false;
            machine.targetShard = null;
          }
          cluster.placementDue = true;
        });
  }
}
