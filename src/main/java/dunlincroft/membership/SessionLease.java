package dunlincroft.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** This node's session lease at the state service, and the controller record that is tied to it. */
final class SessionLease {
  private static final Logger LOG = LoggerFactory.getLogger(SessionLease.class);

  private final NodeContext context;
  private long id;
  private long incarnation;

  /** Number of refuted suspicions; it orders the messages of this node by age. */
  private long refutations;

  private boolean isWriting;

  SessionLease(NodeContext context) {
    this.context = context;
  }

  /** Id of the present lease, to which the records of this node are tied; 0 while there is none. */
  long id() {
    return id;
  }

  /** A number that no other process of any node has; 0 before the first lease. */
  long incarnation() {
    return incarnation;
  }

  long refutations() {
    return refutations;
  }

  /** Refutes a suspicion by a peer that knows of {@code knownRefutations}, by a higher number. */
  void refute(long knownRefutations) {
    if (knownRefutations >= refutations) {
      refutations = knownRefutations + 1;
      LOG.info("node {} is suspected by others: it refutes, count {}", context.name(), refutations);
    }
  }

  void start() {
    context
        .store()
        .openSession(
            answer -> {
              try {
                if (answer.status() == 200) {
                  id = Fields.count(answer.body(), "tenancy");
                  if (incarnation == 0) {
                    incarnation = id;
                    LOG.info("node {} is incarnation {}", context.name(), incarnation);
                  }
                  context.env().after(Constants.SESSION_RENEWAL_MS, this::renew);
                  return;
                }
              } catch (MalformedException e) {
                LOG.info("malformed answer to the request for a session lease: {}", e.getMessage());
              }
              context.env().after(Constants.SESSION_RETRY_MS, this::start);
            });
  }

  private void renew() {
    context
        .store()
        .renewSession(
            id,
            answer -> {
              if (answer.status() == 404) {
                LOG.info("our hold {} has ended; requesting a new one", id);
                id = 0;
                start();
              } else {
                boolean isRenewed = answer.status() == 200;
                context
                    .env()
                    .after(
                        isRenewed ? Constants.SESSION_RENEWAL_MS : Constants.SESSION_RETRY_MS,
                        this::renew);
              }
            });
  }

  /** Name and incarnation of this node, for records that say who wrote them. */
  ObjectNode identity() {
    return Cbor.map().put("name", context.name()).put("incarnation", incarnation);
  }

  /**
   * Keeps the controller record up to date: it names the present lease and the number of
   * refutations.
   */
  void writeRecord() {
    Item item = context.replica().get(Replica.CONTROLLERS, context.name());
    boolean isCurrent =
        item != null
            && item.data().path("tenancy").asLong() == id
            && item.data().path("count").asLong() == refutations;
    if (isCurrent || isWriting) {
      return;
    }
    isWriting = true;
    context
        .store()
        .commit(
            Urgency.HOLD,
            // Guarded, so that a write carried out late does not tie the record to an earlier
            // lease.
            new Txn()
                .guard(
                    Wire.key(Replica.CONTROLLERS, context.name()), item == null ? 0 : item.stamp())
                .put(
                    Wire.key(Replica.CONTROLLERS, context.name()),
                    identity().put("tenancy", id).put("count", refutations),
                    id),
            result -> isWriting = false);
  }
}
