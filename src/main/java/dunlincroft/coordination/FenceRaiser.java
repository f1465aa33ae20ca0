package dunlincroft.coordination;

import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Wire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises the fence of a machine, so that commands under the older fence become void: those in
 * flight, and late copies of those that were carried out.
 */
final class FenceRaiser {
  private static final Logger LOG = LoggerFactory.getLogger(FenceRaiser.class);

  private final ClusterState cluster;

  FenceRaiser(ClusterState cluster) {
    this.cluster = cluster;
  }

  /**
   * Raises the fence to the revision that this node has read, without a write. At that revision the
   * records still name this node as the owner. A later owner begins with a write, whose revision is
   * higher, so its fence is above this one. Returns false if nothing newer has been read.
   */
  boolean raiseToReadRevision(Machine machine) {
    long revision = cluster.replica.revision();
    if (revision <= cluster.fenceToken(machine) || !isOwnerByRecords(machine)) {
      return false;
    }
    machine.readFence = revision;
    cluster.metrics.count(Metrics.Event.FENCE_READ);
    return true;
  }

  /**
   * Whether the records as they were read name this node as the owner, whatever follows from them
   * has been done already.
   */
  private boolean isOwnerByRecords(Machine machine) {
    BlockIndex.Block block = cluster.blocks.blockOf(machine.host);
    return cluster.owns(machine.shard)
        && cluster.replica.stamp(Replica.SHARDS, machine.shard)
            == cluster.ownedShards.getLong(machine.shard)
        && block != null
        && block.record().shard().equals(machine.shard)
        && cluster.replica.stamp(Replica.BLOCKS, block.name()) == block.stamp();
  }

  /**
   * Rewrites the block record: its new stamp is the new fence, and commands still in flight under
   * the older one become void.
   */
  void raise(Machine machine) {
    BlockIndex.Block block = cluster.blocks.blockOf(machine.host);
    if (machine.isRaisingFence || block == null) {
      return;
    }
    machine.isRaisingFence = true;
    Txn txn =
        new Txn()
            .guard(
                Wire.key(Replica.SHARDS, machine.shard), cluster.ownedShards.getLong(machine.shard))
            .guard(Wire.key(Replica.BLOCKS, block.name()), block.stamp())
            .put(Wire.key(Replica.BLOCKS, block.name()), block.record().toNode());
    cluster.store.commit(
        Urgency.CANCEL,
        txn,
        result -> {
          machine.isRaisingFence = false;
          cluster.metrics.count(Metrics.Event.FENCE_RAISED);
          LOG.info("fence of host {} raised: {}", machine.host, result.outcome());
        });
  }

  /**
   * Raises the fence of an owned machine whose worker has seen a higher one: a proxy owner answered
   * the worker while the state service was unavailable, and only a newer stamp is above the fence
   * that it used.
   */
  void raiseAbove(String host, long fence) {
    Machine machine = cluster.machines.get(host);
    if (machine != null && cluster.owns(machine.shard) && cluster.fenceToken(machine) < fence) {
      raise(machine);
    }
  }
}
