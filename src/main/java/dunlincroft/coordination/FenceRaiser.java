package dunlincroft.coordination;

import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Wire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Raises the fence of a machine, so that commands in flight under the older one become void. */
final class FenceRaiser {
  private static final Logger LOG = LoggerFactory.getLogger(FenceRaiser.class);

  private final ClusterState world;

  FenceRaiser(ClusterState world) {
    this.world = world;
  }

  /** Rewrites the block's key: commands still in flight under the older fence become void. */
  void raise(Machine machine) {
    BlockIndex.Block block = world.blocks.blockOf(machine.host);
    if (machine.raising || block == null) {
      return;
    }
    machine.raising = true;
    Txn txn =
        new Txn()
            .guard(
                Wire.key(Replica.SHARDS, machine.shard), world.ownedShards.getLong(machine.shard))
            .guard(Wire.key(Replica.BLOCKS, block.name()), block.stamp())
            .put(Wire.key(Replica.BLOCKS, block.name()), block.record().toNode());
    world.store.commit(
        Urgency.CANCEL,
        txn,
        result -> {
          machine.raising = false;
          LOG.info("fence of host {} raised: {}", machine.host, result.outcome());
        });
  }

  /**
   * A worker whose machine we hold has seen a fence above ours: a stand-in answered it while the
   * state service was down, and only a newer stamp is above that.
   */
  void outbid(String host, long fence) {
    Machine machine = world.machines.get(host);
    if (machine != null && world.owns(machine.shard) && world.fenceToken(machine) < fence) {
      raise(machine);
    }
  }
}
