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

/** The leader's leases: which shards have machines, and so which jobs. */
final class Leases {
  private static final Logger LOG = LoggerFactory.getLogger(Leases.class);
  private static final String ONE = "one";

  private final Local local;

  Leases(Local local) {
    this.local = local;
  }

  private Item item() {
    return local.replica().get(Replica.LEASES, ONE);
  }

  /** Stamp of the record: it changes with every renewal. */
  long stamp() {
    return local.replica().stamp(Replica.LEASES, ONE);
  }

  /** Shards that blocks are leased to at present; jobs are shared out among them. */
  List<String> holders() {
    List<String> holders = new ArrayList<>();
    if (item() != null) {
      item().data().path("holders").forEach(node -> holders.add(node.asText()));
    }
    return holders;
  }

  /** The owner of a new job: the lease holder that the hash of its id and name favours. */
  String ownerOf(String job) {
    String best = null;
    long bestHash = 0;
    for (String holder : holders()) {
      long hash = Hashing.of(holder + "|" + job);
      if (best == null || hash > bestHash) {
        best = holder;
        bestHash = hash;
      }
    }
    return best;
  }

  /**
   * The leader renews the leases, and leases to more holders as the machines grow in number.
   *
   * @param asLeader carries the guard under which a leader writes
   */
  void renew(Txn asLeader, List<String> names, int machines, int machinesEach) {
    List<String> holders = holders();
    Item item = item();
    long wall = local.env().wallMillis();
    int want = Math.max(1, Math.min(names.size(), (machines - 1) / machinesEach + 1));
    boolean grow = holders.size() < want;
    boolean shrink =
        holders.size() > want
            && machines < (holders.size() - 1) * machinesEach * Constants.FEWER_HOLDERS;
    if (item != null
        && !grow
        && !shrink
        && item.data().path("until").asLong() - wall > Constants.LEASE_TERM_MS / 2
        && item.data().path("until").asLong() - wall <= Constants.LEASE_TERM_MS) {
      return;
    }
    if (holders.isEmpty()) {
      holders.add(local.name());
    } else if (grow) {
      names.stream().filter(name -> !holders.contains(name)).findFirst().ifPresent(holders::add);
    } else if (shrink) {
      holders.remove(holders.size() - 1);
    }
    ObjectNode lease = Cbor.map().put("until", wall + Constants.LEASE_TERM_MS);
    holders.forEach(lease.putArray("holders")::add);
    local
        .store()
        .commit(
            Urgency.HANDS,
            asLeader
                .guard(Wire.key(Replica.LEASES, ONE), item == null ? 0 : item.stamp())
                .put(Wire.key(Replica.LEASES, ONE), lease),
            result -> LOG.debug("leases to {}: {}", holders, result.outcome()));
  }
}
