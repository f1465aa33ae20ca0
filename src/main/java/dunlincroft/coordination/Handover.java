package dunlincroft.coordination;

import dunlincroft.bookkeeping.Replica;
import dunlincroft.membership.Membership;
import java.util.HashSet;
import java.util.Set;

/**
 * Transfers machines and shares of team limits between the owners of shards, as long as more than
 * one shard has block leases, machines or shares.
 */
final class Handover {
  private final ClusterState cluster;
  private final Membership membership;
  private final MachineHandover machines;
  private final ShareHandover shares;

  Handover(ClusterState cluster, Membership membership, Demand demand) {
    this.cluster = cluster;
    this.membership = membership;
    HandoverWriter writer = new HandoverWriter(cluster);
    machines = new MachineHandover(cluster, membership, demand, writer);
    shares = new ShareHandover(cluster, demand, writer);
  }

  /** Plans and starts the transfers that are due; called by every owner of a shard. */
  void tick() {
    Set<String> shards = new HashSet<>(membership.leasedShards());
    cluster.blocks.all().forEach(block -> shards.add(block.record().shard()));
    cluster
        .replica
        .items(Replica.SHARES)
        .values()
        .forEach(item -> item.data().fieldNames().forEachRemaining(shards::add));
    if (shards.size() < 2) {
      return;
    }
    RecordedCapacity capacity = new RecordedCapacity(cluster);
    machines.tick(capacity);
    shares.tick(shards.size(), capacity);
  }
}
