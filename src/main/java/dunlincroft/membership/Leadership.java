package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Wire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election: the leader is the node named by the leader's record, which exists as long as
 * that node's session lease.
 */
final class Leadership {
  private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
  private static final String RECORD_NAME = "one";

  /** A stamp that no key has. */
  private static final long UNMATCHABLE_STAMP = Long.MAX_VALUE;

  private final NodeContext context;
  private final SessionLease sessionLease;
  private final FailureDetector detector;
  private boolean isElecting;
  private long leaderSeenAt;

  Leadership(NodeContext context, SessionLease sessionLease, FailureDetector detector) {
    this.context = context;
    this.sessionLease = sessionLease;
    this.detector = detector;
  }

  private Item leaderRecord() {
    return context.replica().get(Replica.LEADER, RECORD_NAME);
  }

  boolean isLeader() {
    return leaderRecord() != null
        && sessionLease.incarnation() != 0
        && leaderRecord().data().path("name").asText().equals(context.name())
        && leaderRecord().data().path("incarnation").asLong() == sessionLease.incarnation();
  }

  String leader() {
    return leaderRecord() == null ? null : leaderRecord().data().path("name").asText(null);
  }

  /** Stamp of the leader's record; 0 if there is none. */
  long stamp() {
    return context.replica().stamp(Replica.LEADER, RECORD_NAME);
  }

  /**
   * Adds the guard under which a leader writes. A node that does not lead adds a guard that always
   * fails. With the record's stamp it would write under the guard of the present leader: a deposed
   * leader that received late answers from the cloud could then add blocks for machines that its
   * successor has already put into others.
   */
  Txn guardAsLeader(Txn txn) {
    return txn.guard(
        Wire.key(Replica.LEADER, RECORD_NAME), isLeader() ? stamp() : UNMATCHABLE_STAMP);
  }

  void pauseDetected(long ms) {
    leaderSeenAt = Math.min(context.now(), leaderSeenAt + ms);
  }

  /**
   * Stands for election when there is no leader. It does not wait for the session lease of a
   * condemned leader to expire: this is safe, as a leader's writes are guarded by the record's
   * stamp. Nodes that own machines are preferred: only they know which of them are silent, faulty
   * or leaving, and a leader without that knowledge rents too few.
   */
  void tick(boolean ownsMachines) {
    long now = context.now();
    String why = null;
    if (leaderRecord() != null) {
      leaderSeenAt = now;
      String leader = leader();
      if (context.name().equals(leader) && !isLeader()) {
        why = "it led before its restart";
      } else if (ownsMachines && leader != null && detector.state(leader) == PeerState.CONDEMNED) {
        why = leader + " is condemned and this node owns its machines";
      }
    } else if (ownsMachines || now - leaderSeenAt >= Constants.ELECTION_DELAY_MS) {
      why = "there is no leader";
    }
    if (isElecting || why == null) {
      return;
    }
    String reason = why;
    isElecting = true;
    context
        .store()
        .commit(
            Urgency.HANDS,
            new Txn()
                .guard(Wire.key(Replica.LEADER, RECORD_NAME), stamp())
                .put(
                    Wire.key(Replica.LEADER, RECORD_NAME),
                    sessionLease.identity(),
                    sessionLease.id()),
            result -> {
              isElecting = false;
              if (result.ok()) {
                LOG.info("node {} leads: {}", context.name(), reason);
              }
            });
  }
}
