package dunlincroft.bookkeeping;

import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.protocol.BlockRecord;
import dunlincroft.protocol.MalformedException;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Index of all recorded blocks, by block name and by machine, built from the replica. */
public final class BlockIndex {
  private static final Logger LOG = LoggerFactory.getLogger(BlockIndex.class);

  /**
   * A recorded block.
   *
   * @param stamp revision of the state service at which the record was last written
   */
  public record Block(String name, long stamp, BlockRecord record) {
    /** Number of machines in the block. */
    public int size() {
      return record.hosts().size();
    }
  }

  private final Replica replica;
  private final Map<String, Block> byName = new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Block> byHost = new Object2ObjectLinkedOpenHashMap<>();

  public BlockIndex(Replica replica) {
    this.replica = replica;
  }

  public Block get(String name) {
    return byName.get(name);
  }

  /** The block that contains a machine, or null. */
  public Block blockOf(String host) {
    return byHost.get(host);
  }

  public Collection<Block> all() {
    return byName.values();
  }

  /** Names of the machines in all blocks. */
  public Set<String> hosts() {
    return byHost.keySet();
  }

  /**
   * Re-reads a block after its record changed in the replica; returns the machines that it
   * contained before or contains now.
   */
  public Set<String> onChange(String name) {
    Set<String> affected = new LinkedHashSet<>();
    Block previous = byName.remove(name);
    if (previous != null) {
      for (String host : previous.record.hosts().keySet()) {
        // A machine that was moved to another block may already be indexed under that block.
        if (byHost.remove(host, previous)) {
          affected.add(host);
        }
      }
    }
    Item item = replica.get(Replica.BLOCKS, name);
    if (item != null) {
      try {
        Block block = new Block(name, item.stamp(), BlockRecord.parse(name, item.data()));
        byName.put(name, block);
        for (String host : block.record.hosts().keySet()) {
          byHost.put(host, block);
          affected.add(host);
        }
      } catch (MalformedException e) {
        LOG.error("record {}/{} cannot be read: {}", Replica.BLOCKS, name, e.getMessage());
      }
    }
    return affected;
  }
}
