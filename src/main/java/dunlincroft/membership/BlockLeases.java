package dunlincroft.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Hashing;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's leases of machine blocks to shards: they determine which shards have machines, and
 * so which own jobs.
 */
final class BlockLeases {
  private static final Logger LOG = LoggerFactory.getLogger(BlockLeases.class);
  private static final String RECORD_NAME = "one";

  private final NodeContext context;

  BlockLeases(NodeContext context) {
    this.context = context;
  }

  private Item leasesRecord() {
    return context.replica().get(Replica.LEASES, RECORD_NAME);
  }

  /** Stamp of the record; it changes with every renewal. */
  long stamp() {
    return context.replica().stamp(Replica.LEASES, RECORD_NAME);
  }

  /** Shards that blocks are leased to at present; new jobs are distributed among them. */
  List<String> currentShards() {
    List<String> shards = new ArrayList<>();
    if (leasesRecord() != null) {
      leasesRecord().data().path("holders").forEach(node -> shards.add(node.asText()));
    }
    return shards;
  }

  /**
   * The shard that owns a new job, chosen among the leased shards by rendezvous hashing of the
   * job's id; null without leases.
   */
  String shardForJob(String job) {
    String best = null;
    long bestHash = 0;
    for (String shard : currentShards()) {
      long hash = Hashing.of(shard + "|" + job);
      if (best == null || hash > bestHash) {
        best = shard;
        bestHash = hash;
      }
    }
    return best;
  }

  /**
   * Renews the leases as the leader, and adjusts the number of leased shards to the number of
   * machines.
   *
   * @param leaderTxn carries the guard that fails unless this node leads
   */
  void renew(Txn leaderTxn, List<String> names, int machines, int machinesPerShard) {
    List<String> shards = currentShards();
    Item item = leasesRecord();
    long wallMs = context.env().wallMillis();
    int target = Math.max(1, Math.min(names.size(), (machines - 1) / machinesPerShard + 1));
    boolean isGrowing = shards.size() < target;
    boolean isShrinking =
        shards.size() > target
            && machines < (shards.size() - 1) * machinesPerShard * Constants.OWNER_REMOVAL_FRACTION;
    if (item != null
        && !isGrowing
        && !isShrinking
        && item.data().path("until").asLong() - wallMs > Constants.BLOCK_LEASE_MS / 2
        && item.data().path("until").asLong() - wallMs <= Constants.BLOCK_LEASE_MS) {
      return;
    }
    if (shards.isEmpty()) {
      shards.add(context.name());
    } else if (isGrowing) {
      names.stream().filter(name -> !shards.contains(name)).findFirst().ifPresent(shards::add);
    } else if (isShrinking) {
      shards.remove(shards.size() - 1);
    }
    ObjectNode lease = Cbor.map().put("until", wallMs + Constants.BLOCK_LEASE_MS);
    shards.forEach(lease.putArray("holders")::add);
    context
        .store()
        .commit(
            Urgency.HANDS,
            leaderTxn
                .guard(Wire.key(Replica.LEASES, RECORD_NAME), item == null ? 0 : item.stamp())
                .put(Wire.key(Replica.LEASES, RECORD_NAME), lease),
            result -> LOG.debug("leases to {}: {}", shards, result.outcome()));
  }
}
