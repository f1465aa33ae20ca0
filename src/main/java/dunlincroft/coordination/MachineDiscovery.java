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
 * The leader leases machines that have no block yet: those just rented, and those that turn up. As
 * many of one class as came together are one block, and one change of the state service.
 */
final class MachineDiscovery {
  private static final Logger LOG = LoggerFactory.getLogger(MachineDiscovery.class);

  /** A machine without a block; shard null: the neediest gets it. */
  private record UnleasedMachine(BlockClass blockClass, long rentedAtMs, String shard) {}

  /** Name of the record that each lease of machines replaces, and its field. */
  private static final String LAST_CHANGE = "last";

  private static final String CREATED = "blocks";

  private final ClusterState cluster;
  private final Membership membership;
  private final Demand demand;
  private final Map<String, UnleasedMachine> unleased = new LinkedHashMap<>();

  /**
   * Blocks that are offered to the state service, by name. A block is final once offered: a try
   * without an answer may be applied late, and a second one of another content would put a machine
   * into two blocks.
   */
  private final Map<String, BlockRecord> proposed = new LinkedHashMap<>();

  /** Offered blocks of which the record of leases says that they were made. */
  private final Set<String> created = new HashSet<>();

  private final Map<String, Long> releasedUntil = new HashMap<>();

  /** Machines that were asked whether they are there. */
  private final Set<String> queried = new HashSet<>();

  private boolean isCommitting;
  private long syncedLeaderStamp;

  MachineDiscovery(ClusterState cluster, Membership membership, Demand demand) {
    this.cluster = cluster;
    this.membership = membership;
    this.demand = demand;
  }

  /**
   * A worker reports whose machine has no block. It may be a new one, or a copy of a report that
   * comes late, of a machine that was released long ago: only an answer tells.
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
                new BlockClass(report.flavour(), report.hall(), report.lendable()),
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

  /** Takes machines for blocks of a shard or (null) of the neediest one. */
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

  /** A machine that was released may show for a while in lists that lag. */
  void markReleased(String host) {
    releasedUntil.put(host, cluster.now() + Constants.GONE_MS);
  }

  boolean isRecentlyReleased(String host) {
    return releasedUntil.containsKey(host);
  }

  /** Machines of a type that are on their way into blocks. */
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

  /** The same by class, added to what is there. */
  void addPendingCounts(Map<BlockClass, Integer> counts) {
    unleased.values().forEach(machine -> counts.merge(machine.blockClass, 1, Integer::sum));
    proposed
        .values()
        .forEach(block -> counts.merge(block.blockClass(), block.hosts().size(), Integer::sum));
  }

  private static boolean matches(BlockClass blockClass, String type, boolean preemptible) {
    return blockClass.flavour().equals(type) && blockClass.lendable() == preemptible;
  }

  void tick() {
    releasedUntil.values().removeIf(until -> cluster.now() > until);
    if (!membership.isLeader()) {
      // Whoever does finds in the cloud's list what we rented.
      proposed.clear();
      unleased.clear();
      syncedLeaderStamp = 0;
      return;
    }
    long leadStamp = membership.leaderStamp();
    if (leadStamp != syncedLeaderStamp) {
      // Another led in between and may have adopted the same machines: what we offered is void,
      // and nothing is offered before all that it wrote was read.
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

  /** Makes blocks of the newcomers, by class and shard. */
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
          if (groupHosts.size() == cluster.settings.blockMachines()) {
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

  /** The lease holder with the most work for each machine that it has. */
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
   * Finds blocks that were made though the answer was lost. They are never offered again, however
   * soon they are emptied and removed, and count as on their way until our replica shows what
   * became of them.
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
   * Leases what is offered. That a block isn't there guards nothing once it may have been there and
   * gone: each change of ours therefore replaces the record that names the blocks which the last
   * one made, and is guarded by its stamp. Of a change and its repetitions one alone is ever
   * applied, and none after a newer one.
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
      if (txn.size() < cluster.settings.txnOps() && !created.contains(entry.getKey())) {
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
          LOG.info("{} machines leased as blocks {}: {}", hosts.size(), names, result.outcome());
          if (result.ok()) {
            proposed.keySet().removeAll(names);
          } else if (result.outcome() == Txn.Outcome.CONFLICT) {
            cluster.feed.barrier(ok -> LOG.debug("reread after blocks not leased: {}", ok));
          }
        });
  }
}
