package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.BlockRecord;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leases machines that have no block yet, as the leader: machines just rented and machines found by
 * a report or in the cloud's list. Machines of one class that arrive together form one block; all
 * new blocks are written in one transaction of the state service.
 */
final class MachineDiscovery {
  private static final Logger LOG = LoggerFactory.getLogger(MachineDiscovery.class);

  /** A machine without a block. If the shard is null, the shard with the greatest need gets it. */
  private record UnleasedMachine(BlockClass blockClass, long rentedAtMs, String shard) {}

  /** Name of the record that every leasing transaction replaces. */
  private static final String LAST_CHANGE = "last";

  /** Field of that record: the names of the blocks that the transaction created. */
  private static final String CREATED = "blocks";

  private final ClusterState cluster;
  private final Membership membership;
  private final Demand demand;
  private final Map<String, UnleasedMachine> unleased = new LinkedHashMap<>();

  /**
   * Blocks proposed to the state service, by name. A proposed block never changes: a write without
   * a response may be applied late, and a second block with different content would put one machine
   * into two blocks.
   */
  private final Map<String, BlockRecord> proposed = new LinkedHashMap<>();

  /** Proposed blocks that the record of the last leasing transaction names as created. */
  private final Set<String> created = new HashSet<>();

  /** Released machines, with the time until which they are not adopted again. */
  private final Map<String, Long> releasedUntil = new HashMap<>();

  /** Machines to which a status query is in flight. */
  private final Set<String> queried = new HashSet<>();

  private boolean isCommitting;

  /**
   * Leadership stamp for which this node, as the leader, has read all writes of former leaders; 0
   * if none.
   */
  private long syncedLeaderStamp;

  MachineDiscovery(ClusterState cluster, Membership membership, Demand demand) {
    this.cluster = cluster;
    this.membership = membership;
    this.demand = demand;
  }

  /**
   * Handles a report of a worker whose machine has no block. The machine may be new, or the report
   * may be a delayed duplicate from a machine that was released long ago: a status query decides.
   */
  void onReport(WorkerReport report) {
    String host = report.host();
    if (!isNew(host) || !queried.add(host)) {
      return;
    }
    StatusQuery.query(
        cluster.env,
        host,
        report.endpoint(),
        answer -> {
          queried.remove(host);
          if (membership.isLeader() && answer.isFromHost()) {
            adopt(
                List.of(host),
                new BlockClass(report.machineType(), report.zone(), report.preemptible()),
                cluster.env.wallMillis(),
                null);
          }
        });
  }

  private boolean isNew(String host) {
    return cluster.blocks.blockOf(host) == null
        && !isProposed(host)
        && !unleased.containsKey(host)
        && !isRecentlyReleased(host);
  }

  /**
   * Adopts machines into blocks of a shard, or, if the shard is null, of the shard with the
   * greatest need.
   */
  void adopt(Collection<String> hosts, BlockClass blockClass, long rentedAtMs, String shard) {
    for (String host : hosts) {
      if (isNew(host)) {
        unleased.put(host, new UnleasedMachine(blockClass, rentedAtMs, shard));
      }
    }
  }

  private boolean isProposed(String host) {
    return proposed.values().stream().anyMatch(block -> block.hosts().containsKey(host));
  }

  /**
   * Keeps a released machine from being adopted again: it may appear for a while in lists that lag
   * behind.
   */
  void markReleased(String host) {
    releasedUntil.put(host, cluster.now() + Constants.RELEASED_MACHINE_MEMORY_MS);
  }

  boolean isRecentlyReleased(String host) {
    return releasedUntil.containsKey(host);
  }

  /** Machines of a type that are about to be leased. */
  int pendingCount(String type, boolean preemptible) {
    long n =
        unleased.values().stream()
            .filter(unleasedMachine -> matches(unleasedMachine.blockClass, type, preemptible))
            .count();
    for (BlockRecord block : proposed.values()) {
      n += matches(block.blockClass(), type, preemptible) ? block.hosts().size() : 0;
    }
    return (int) n;
  }

  /** Adds the numbers of machines that are about to be leased, by class. */
  void addPendingCounts(Map<BlockClass, Integer> counts) {
    unleased.values().forEach(machine -> counts.merge(machine.blockClass, 1, Integer::sum));
    proposed
        .values()
        .forEach(block -> counts.merge(block.blockClass(), block.hosts().size(), Integer::sum));
  }

  private static boolean matches(BlockClass blockClass, String type, boolean preemptible) {
    return blockClass.machineType().equals(type) && blockClass.preemptible() == preemptible;
  }

  /** Leases new machines while this node leads; discards all proposals otherwise. */
  void tick() {
    releasedUntil.values().removeIf(until -> cluster.now() > until);
    if (!membership.isLeader()) {
      // The new leader finds the machines rented by this one in the cloud's list.
      proposed.clear();
      unleased.clear();
      syncedLeaderStamp = 0;
      return;
    }
    long leadStamp = membership.leaderStamp();
    if (leadStamp != syncedLeaderStamp) {
      // Another controller may have led in between and adopted the same machines: earlier proposals
      // are discarded, and nothing is proposed before all its writes have been read.
      proposed.clear();
      unleased.clear();
      cluster.feed.barrier(ok -> syncedLeaderStamp = ok ? leadStamp : syncedLeaderStamp);
      return;
    }
    proposed.keySet().removeIf(name -> cluster.blocks.get(name) != null);
    unleased.keySet().removeIf(host -> cluster.blocks.blockOf(host) != null);
    findCreated();
    proposeBlocks();
    record();
  }

  /** Groups the unleased machines into blocks by class and shard. */
  private void proposeBlocks() {
    List<String> candidates = membership.leasedShards();
    if (unleased.isEmpty() || candidates.isEmpty()) {
      return;
    }
    Map<BlockClass, Map<String, Integer>> machineCounts = demand.machinesByClass();
    Map<BlockClass, Map<String, Double>> workByClass = new HashMap<>();
    Map<String, Map<String, Long>> hosts = new LinkedHashMap<>();
    Map<String, UnleasedMachine> templates = new HashMap<>();
    unleased.forEach(
        (host, machine) -> {
          BlockClass blockClass = machine.blockClass;
          Map<String, Integer> countByShard =
              machineCounts.computeIfAbsent(blockClass, c -> new HashMap<>());
          String shard = machine.shard;
          if (shard == null) {
            shard =
                neediestShard(
                    candidates,
                    workByClass.computeIfAbsent(blockClass, demand::machinesByShard),
                    countByShard);
          }
          countByShard.merge(shard, 1, Integer::sum);
          String group = shard + " " + blockClass;
          templates.putIfAbsent(group, new UnleasedMachine(blockClass, 0, shard));
          Map<String, Long> groupHosts = hosts.computeIfAbsent(group, g -> new LinkedHashMap<>());
          groupHosts.put(host, machine.rentedAtMs);
          if (groupHosts.size() == cluster.settings.machinesPerBlock()) {
            propose(templates.get(group), hosts.remove(group));
          }
        });
    hosts.forEach((group, rest) -> propose(templates.get(group), rest));
    unleased.clear();
  }

  private void propose(UnleasedMachine template, Map<String, Long> hosts) {
    proposed.put(
        membership.nextName(), new BlockRecord(template.shard, template.blockClass, hosts));
  }

  /** The shard with the most work per machine that it has. */
  private static String neediestShard(
      List<String> candidates, Map<String, Double> workByShard, Map<String, Integer> countByShard) {
    String best = null;
    double highest = -1;
    for (String candidate : candidates) {
      double need =
          (1.0 + workByShard.getOrDefault(candidate, 0.0))
              / (1.0 + countByShard.getOrDefault(candidate, 0));
      if (need > highest) {
        best = candidate;
        highest = need;
      }
    }
    return best;
  }

  /**
   * Finds proposed blocks that were created although the response was lost. They are never proposed
   * again, even if they are emptied and removed soon after, and they count as pending until the
   * local replica shows their state.
   */
  private void findCreated() {
    Item last = cluster.replica.get(Replica.DISCOVERED_BLOCKS, LAST_CHANGE);
    if (last != null) {
      last.data().path(CREATED).forEach(name -> created.add(name.asText()));
    }
    created.retainAll(proposed.keySet());
    if (!created.isEmpty()) {
      List<String> settled = List.copyOf(created);
      cluster.feed.barrier(ok -> proposed.keySet().removeAll(ok ? settled : List.of()));
    }
  }

  /**
   * Leases the proposed blocks. A guard on the absence of a block does not prevent a repeated write
   * once the block may have been created and removed. Every leasing transaction therefore replaces
   * the record that names the blocks created by the last one, guarded by its stamp. Of a
   * transaction and its repetitions only one is ever applied, and none after a newer transaction.
   */
  private void record() {
    if (isCommitting) {
      return;
    }
    List<String> names = new ArrayList<>();
    Set<String> hosts = new HashSet<>();
    ObjectNode last = Cbor.map();
    String lastKey = Wire.key(Replica.DISCOVERED_BLOCKS, LAST_CHANGE);
    Txn txn =
        membership
            .guardAsLeader(new Txn())
            .guard(lastKey, cluster.replica.stamp(Replica.DISCOVERED_BLOCKS, LAST_CHANGE))
            .put(lastKey, last);
    for (Map.Entry<String, BlockRecord> entry : proposed.entrySet()) {
      if (txn.size() < cluster.settings.maxTxnOps() && !created.contains(entry.getKey())) {
        String key = Wire.key(Replica.BLOCKS, entry.getKey());
        txn.guard(key, 0).put(key, entry.getValue().toNode());
        names.add(entry.getKey());
        hosts.addAll(entry.getValue().hosts().keySet());
      }
    }
    if (names.isEmpty()) {
      return;
    }
    names.forEach(last.putArray(CREATED)::add);
    isCommitting = true;
    cluster.store.commit(
        Urgency.HANDS,
        txn,
        result -> {
          isCommitting = false;
          LOG.info("leased {} machines as blocks {}: {}", hosts.size(), names, result.outcome());
          if (result.ok()) {
            proposed.keySet().removeAll(names);
          } else if (result.outcome() == Txn.Outcome.CONFLICT) {
            cluster.feed.barrier(
                ok -> LOG.debug("replica refreshed after a leasing conflict: {}", ok));
          }
        });
  }
}
