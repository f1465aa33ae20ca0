package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.BlockClass;
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
 * Hands empty machines of a shard to others, by their waiting and running work. Only the owner
 * gives, with one write guarded by its shard and the machines' block: a machine that nothing is on
 * and that no record names. Until the outcome is known, nobody uses what was offered.
 */
final class MachineHandover {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHandover.class);

  private final ClusterState world;
  private final Membership members;
  private final Demand demand;
  private final HandoverWriter writer;
  private long plannedFor;

  /** Since when waiting jobs have found no room in their shards. */
  private final Map<String, Long> stuckSince = new HashMap<>();

  MachineHandover(ClusterState world, Membership members, Demand demand, HandoverWriter writer) {
    this.world = world;
    this.members = members;
    this.demand = demand;
    this.writer = writer;
  }

  /** Plans at each renewal of the leases, and moves what is empty by now. */
  void tick(RecordedCapacity room) {
    if (members.leaseStamp() != plannedFor) {
      plannedFor = members.leaseStamp();
      plan();
    }
    helpWaiting(room);
    Map<BlockIndex.Block, Map<String, List<Machine>>> ready = new LinkedHashMap<>();
    for (Machine machine : world.machines.values()) {
      BlockIndex.Block block = world.blocks.blockOf(machine.host);
      if (machine.moveTo != null && !machine.moving && block != null && movable(machine)) {
        ready
            .computeIfAbsent(block, b -> new HashMap<>())
            .computeIfAbsent(machine.moveTo, to -> new ArrayList<>())
            .add(machine);
      }
    }
    // One at a time from each block: a second write would meet the first one's stamp.
    ready.forEach((block, moves) -> move(block, moves.entrySet().iterator().next()));
  }

  /** Chooses the blocks to hand over until the next renewal, class by class. */
  private void plan() {
    world.machines.values().stream().filter(m -> !m.moving).forEach(m -> m.moveTo = null);
    Set<String> needed = neededHere(new RecordedCapacity(world));
    demand
        .machinesByClass()
        .forEach(
            (blockClass, blocks) -> {
              Map<String, Double> work = demand.machinesByShard(blockClass);
              double all = work.values().stream().mapToDouble(d -> d).sum();
              int total = blocks.values().stream().mapToInt(n -> n).sum();
              if (all > 0) {
                work.replaceAll((shard, machines) -> machines / all * total);
                List.copyOf(world.ownedShards.keySet())
                    .forEach(shard -> plan(blockClass, shard, blocks, work, needed));
              }
            });
  }

  private void plan(
      BlockClass blockClass,
      String from,
      Map<String, Integer> blocks,
      Map<String, Double> want,
      Set<String> needed) {
    List<Machine> mine = new ArrayList<>();
    for (Machine machine : world.machines.values()) {
      if (machine.shard.equals(from)
          && machine.blockClass().equals(blockClass)
          && world.isUsable(machine)
          && !needed.contains(machine.host)
          && !machine.hasDaemon()) {
        mine.add(machine);
      }
    }
    mine.sort(Comparator.comparingLong(machine -> machine.used().cpu()));
    for (Machine machine : mine) {
      String to =
          want.keySet().stream()
              .filter(shard -> world.replica.get(Replica.SHARDS, shard) != null)
              .max(Comparator.comparingDouble(shard -> lack(shard, blocks, want)))
              .orElse(from);
      // Half a block is no reason: two holders would hand it to and fro.
      if (lack(to, blocks, want) < 0.5 || -lack(from, blocks, want) < 0.5) {
        return;
      }
      LOG.info("host {} goes from shard {} to shard {} once empty", machine.host, from, to);
      machine.moveTo = to;
      blocks.merge(from, -1, Integer::sum);
      blocks.merge(to, 1, Integer::sum);
    }
  }

  /**
   * Machines that waiting jobs of our own shards are about to use. A machine may be the only one in
   * its job's zone while the numbers by class say that another shard lacks it more.
   */
  private Set<String> neededHere(RecordedCapacity room) {
    Set<String> needed = new HashSet<>();
    for (JobIndex.Job job : waiting()) {
      if (world.owns(job.shard) && hasPart(job)) {
        room.hostsOf(job.shard).stream()
            .filter(host -> room.fits(job, host))
            .forEach(host -> needed.add(host.name));
      }
    }
    return needed;
  }

  /** Jobs with tasks that wait, the first {@code CLAIMS_LOOKED_AT} in the order of service. */
  private List<JobIndex.Job> waiting() {
    return world.jobIndex.all().values().stream()
        .filter(job -> job.runnableTasks() > job.placedCount())
        .filter(job -> !demand.isCancelled(job.spec) && world.needsMachines(job.spec))
        .sorted(ShareHandover.ORDER)
        .limit(Constants.CLAIMS_LOOKED_AT)
        .toList();
  }

  /** Whether the part of its team's limit that a job's shard has leaves room for one task. */
  private boolean hasPart(JobIndex.Job job) {
    String team = job.spec.owner();
    Room unused = world.usableShare(team, job.shard).minus(world.teamUsage(team, job.shard));
    return job.spec.room().fits(unused);
  }

  // ---- waiting work without room in its shard ----

  /**
   * A job that no machine of its shard has room for, while one of another shard has, gets that
   * machine once it is empty. All owners find the same machine by the records, and its owner acts.
   */
  private void helpWaiting(RecordedCapacity room) {
    Set<String> stuck = new HashSet<>();
    for (JobIndex.Job job : waiting()) {
      if (room.countFitting(job, job.shard, 1) == 0) {
        stuck.add(job.spec.ref());
        if (isPatient(job)) {
          help(job, room);
        }
      }
    }
    stuckSince.keySet().retainAll(stuck);
  }

  /** Whether a job has been without room for a while; records lag behind starts and ends. */
  private boolean isPatient(JobIndex.Job job) {
    long since = stuckSince.computeIfAbsent(job.spec.ref(), ref -> world.now());
    return world.now() - since >= Constants.CLAIM_PATIENCE_MS;
  }

  private void help(JobIndex.Job job, RecordedCapacity room) {
    boolean helped =
        world.machines.values().stream().anyMatch(machine -> job.shard.equals(machine.moveTo));
    if (helped) {
      return;
    }
    room.shards().stream()
        .filter(shard -> !shard.equals(job.shard))
        .flatMap(shard -> room.hostsOf(shard).stream())
        .filter(host -> !host.hasServices && room.fits(job, host))
        .min(
            Comparator.comparingLong((RecordedCapacity.Host host) -> -host.free.cpu())
                .thenComparing(host -> host.name))
        .map(host -> world.machines.get(host.name))
        .filter(machine -> machine.moveTo == null && !machine.moving)
        .ifPresent(
            machine -> {
              LOG.info(
                  "host {} goes from shard {} to shard {} once empty, for job {}",
                  machine.host,
                  machine.shard,
                  job.shard,
                  job.spec.ref());
              machine.moveTo = job.shard;
            });
  }

  private static double lack(String shard, Map<String, Integer> blocks, Map<String, Double> want) {
    return want.getOrDefault(shard, 0.0) - blocks.getOrDefault(shard, 0);
  }

  /**
   * Nothing is on the machine, no order for it is under way, and no record names it: a successor of
   * ours would otherwise look for a task there, and release the machine under another shard.
   */
  private boolean movable(Machine machine) {
    return machine.placed.isEmpty()
        && machine.pieces.isEmpty()
        && machine.named.isEmpty()
        && machine.draining == null
        && machine.lifecycle == MachineLifecycle.IN_USE
        && !machine.raising
        && machine.session.hasReported()
        && machine.session.provenAbsent();
  }

  /** Takes the machines out of their block and makes a block of the other shard of them. */
  private void move(BlockIndex.Block block, Map.Entry<String, List<Machine>> moves) {
    String from = block.record().shard();
    String to = moves.getKey();
    List<Machine> machines = moves.getValue();
    if (!world.owns(from) || (world.settings.txnOps() < 2 && machines.size() < block.size())) {
      return;
    }
    List<String> hosts = machines.stream().map(machine -> machine.host).toList();
    String key = Wire.key(Replica.BLOCKS, block.name());
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, from), world.ownedShards.getLong(from))
            .guard(key, block.stamp());
    if (hosts.size() == block.size()) {
      txn.put(key, block.record().part(hosts, to).toNode());
    } else {
      String made = Wire.key(Replica.BLOCKS, members.nextName());
      txn.put(key, block.record().without(hosts).toNode());
      txn.guard(made, 0).put(made, block.record().part(hosts, to).toNode());
    }
    machines.forEach(machine -> machine.moving = true);
    writer.commit(
        txn,
        hosts.size() + " machines of block " + block.name() + " to shard " + to,
        () -> {
          for (Machine machine : machines) {
            machine.moving = false;
            machine.moveTo = null;
          }
          world.placementDue = true;
        });
  }
}
