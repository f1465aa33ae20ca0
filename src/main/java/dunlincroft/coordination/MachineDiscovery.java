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
  private record Newcomer(BlockClass blockClass, long hiredAt, String shard) {}

  /** Name of the record that each lease of machines replaces, and its field. */
  private static final String LAST = "last";

  private static final String MADE = "blocks";

  private final ClusterState world;
  private final Membership members;
  private final Demand demand;
  private final Map<String, Newcomer> newcomers = new LinkedHashMap<>();

  /**
   * Blocks that are offered to the state service, by name. A block is final once offered: a try
   * without an answer may be applied late, and a second one of another content would put a machine
   * into two blocks.
   */
  private final Map<String, BlockRecord> offered = new LinkedHashMap<>();

  /** Offered blocks of which the record of leases says that they were made. */
  private final Set<String> made = new HashSet<>();

  private final Map<String, Long> gone = new HashMap<>();

  /** Machines that were asked whether they are there. */
  private final Set<String> asking = new HashSet<>();

  private boolean recording;
  private long ledSince;

  MachineDiscovery(ClusterState world, Membership members, Demand demand) {
    this.world = world;
    this.members = members;
    this.demand = demand;
  }

  /**
   * A worker reports whose machine has no block. It may be a new one, or a copy of a report that
   * comes late, of a machine that was released long ago: only an answer tells.
   */
  void reported(WorkerReport report) {
    String host = report.host();
    if (!isNew(host) || !asking.add(host)) {
      return;
    }
    StatusQuery.ask(
        world.env,
        host,
        report.endpoint(),
        answer -> {
          asking.remove(host);
          if (members.isLeader() && answer.isFromHost()) {
            adopt(
                List.of(host),
                new BlockClass(report.flavour(), report.hall(), report.lendable()),
                world.env.wallMillis(),
                null);
          }
        });
  }

  private boolean isNew(String host) {
    return world.blocks.blockOf(host) == null
        && !isOffered(host)
        && !newcomers.containsKey(host)
        && !isGone(host);
  }

  /** Takes machines for blocks of a shard or (null) of the neediest one. */
  void adopt(Collection<String> hosts, BlockClass blockClass, long hiredAt, String shard) {
    for (String host : hosts) {
      if (isNew(host)) {
        newcomers.put(host, new Newcomer(blockClass, hiredAt, shard));
      }
    }
  }

  private boolean isOffered(String host) {
    return offered.values().stream().anyMatch(block -> block.hosts().containsKey(host));
  }

  /** A machine that was released may show for a while in lists that lag. */
  void gone(String host) {
    gone.put(host, world.now() + Constants.GONE_MS);
  }

  boolean isGone(String host) {
    return gone.containsKey(host);
  }

  /** Machines of a type that are on their way into blocks. */
  int coming(String type, boolean lendable) {
    long n = newcomers.values().stream().filter(c -> is(c.blockClass, type, lendable)).count();
    for (BlockRecord block : offered.values()) {
      n += is(block.blockClass(), type, lendable) ? block.hosts().size() : 0;
    }
    return (int) n;
  }

  /** The same by class, added to what is there. */
  void addComing(Map<BlockClass, Integer> into) {
    newcomers.values().forEach(newcomer -> into.merge(newcomer.blockClass, 1, Integer::sum));
    offered
        .values()
        .forEach(block -> into.merge(block.blockClass(), block.hosts().size(), Integer::sum));
  }

  private static boolean is(BlockClass blockClass, String type, boolean lendable) {
    return blockClass.flavour().equals(type) && blockClass.lendable() == lendable;
  }

  void tick() {
    gone.values().removeIf(until -> world.now() > until);
    if (!members.isLeader()) {
      // Whoever does finds in the cloud's list what we rented.
      offered.clear();
      newcomers.clear();
      ledSince = 0;
      return;
    }
    long led = members.leaderStamp();
    if (led != ledSince) {
      // Another led in between and may have adopted the same machines: what we offered is void,
      // and nothing is offered before all that it wrote was read.
      offered.clear();
      newcomers.clear();
      world.feed.barrier(ok -> ledSince = ok ? led : ledSince);
      return;
    }
    offered.keySet().removeIf(name -> world.blocks.get(name) != null);
    newcomers.keySet().removeIf(host -> world.blocks.blockOf(host) != null);
    settle();
    group();
    record();
  }

  /** Makes blocks of the newcomers, by class and shard. */
  private void group() {
    List<String> holders = members.leasedShards();
    if (newcomers.isEmpty() || holders.isEmpty()) {
      return;
    }
    Map<BlockClass, Map<String, Integer>> blocks = demand.machinesByClass();
    Map<BlockClass, Map<String, Double>> work = new HashMap<>();
    Map<String, Map<String, Long>> hosts = new LinkedHashMap<>();
    Map<String, Newcomer> first = new HashMap<>();
    newcomers.forEach(
        (host, newcomer) -> {
          BlockClass blockClass = newcomer.blockClass;
          Map<String, Integer> has = blocks.computeIfAbsent(blockClass, c -> new HashMap<>());
          String shard = newcomer.shard;
          if (shard == null) {
            shard =
                neediest(holders, work.computeIfAbsent(blockClass, demand::machinesByShard), has);
          }
          has.merge(shard, 1, Integer::sum);
          String group = shard + " " + blockClass;
          first.putIfAbsent(group, new Newcomer(blockClass, 0, shard));
          Map<String, Long> members = hosts.computeIfAbsent(group, g -> new LinkedHashMap<>());
          members.put(host, newcomer.hiredAt);
          if (members.size() == world.settings.blockMachines()) {
            offer(first.get(group), hosts.remove(group));
          }
        });
    hosts.forEach((group, rest) -> offer(first.get(group), rest));
    newcomers.clear();
  }

  private void offer(Newcomer like, Map<String, Long> hosts) {
    offered.put(members.nextName(), new BlockRecord(like.shard, like.blockClass, hosts));
  }

  /** The lease holder with the most work for each machine that it has. */
  private static String neediest(
      List<String> holders, Map<String, Double> work, Map<String, Integer> has) {
    String best = null;
    double most = -1;
    for (String holder : holders) {
      double need = (1.0 + work.getOrDefault(holder, 0.0)) / (1.0 + has.getOrDefault(holder, 0));
      if (need > most) {
        best = holder;
        most = need;
      }
    }
    return best;
  }

  /**
   * Finds blocks that were made though the answer was lost. They are never offered again, however
   * soon they are emptied and removed, and count as on their way until our replica shows what
   * became of them.
   */
  private void settle() {
    Item last = world.replica.get(Replica.DISCOVERED_BLOCKS, LAST);
    if (last != null) {
      last.data().path(MADE).forEach(name -> made.add(name.asText()));
    }
    made.retainAll(offered.keySet());
    if (!made.isEmpty()) {
      List<String> shown = List.copyOf(made);
      world.feed.barrier(ok -> offered.keySet().removeAll(ok ? shown : List.of()));
    }
  }

  /**
   * Leases what is offered. That a block isn't there guards nothing once it may have been there and
   * gone: each change of ours therefore replaces the record that names the blocks which the last
   * one made, and is guarded by its stamp. Of a change and its repetitions one alone is ever
   * applied, and none after a newer one.
   */
  private void record() {
    if (recording) {
      return;
    }
    List<String> names = new ArrayList<>();
    Set<String> hosts = new HashSet<>();
    ObjectNode last = Cbor.map();
    String lastKey = Wire.key(Replica.DISCOVERED_BLOCKS, LAST);
    Txn txn =
        members
            .guardAsLeader(new Txn())
            .guard(lastKey, world.replica.stamp(Replica.DISCOVERED_BLOCKS, LAST))
            .put(lastKey, last);
    for (Map.Entry<String, BlockRecord> entry : offered.entrySet()) {
      if (txn.size() < world.settings.txnOps() && !made.contains(entry.getKey())) {
        String key = Wire.key(Replica.BLOCKS, entry.getKey());
        txn.guard(key, 0).put(key, entry.getValue().toNode());
        names.add(entry.getKey());
        hosts.addAll(entry.getValue().hosts().keySet());
      }
    }
    if (names.isEmpty()) {
      return;
    }
    names.forEach(last.putArray(MADE)::add);
    recording = true;
    world.store.commit(
        Urgency.HANDS,
        txn,
        result -> {
          recording = false;
          LOG.info("{} machines leased as blocks {}: {}", hosts.size(), names, result.outcome());
          if (result.ok()) {
            offered.keySet().removeAll(names);
          } else if (result.outcome() == Txn.Outcome.CONFLICT) {
            world.feed.barrier(ok -> LOG.debug("reread after blocks not leased: {}", ok));
          }
        });
  }
}
