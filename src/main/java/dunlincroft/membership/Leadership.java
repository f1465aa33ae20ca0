package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Wire;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Who leads: the node that the leader's record names, as long as its hold lives. */
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

  /** Stamp of the leader's record; 0 without one. */
  long stamp() {
    return context.replica().stamp(Replica.LEADER, RECORD_NAME);
  }

  /**
   * Adds the guard under which a leader writes. Who does not lead gets one that nothing meets: the
   * record's stamp would be the present leader's, and a deposed one's late answers from the cloud
   * once became blocks under it, beside those that its successor made of the same machines.
   */
  Txn guardAsLeader(Txn txn) {
    return txn.guard(
        Wire.key(Replica.LEADER, RECORD_NAME), isLeader() ? stamp() : UNMATCHABLE_STAMP);
  }

  void pauseDetected(long ms) {
    leaderSeenAt = Math.min(context.now(), leaderSeenAt + ms);
  }

  /**
   * Stands for the lead when nobody has it, and does not wait for the hold of one to end that is
   * gone for certain or as good as certain: what a leader writes is guarded by the record's stamp.
   * Who holds machines had better lead: it alone knows which of them are silent, sick or leaving,
   * and whoever rents without that rents too few.
   */
  void tick(boolean ownsMachines) {
    long now = context.now();
    String why = null;
    if (leaderRecord() != null) {
      leaderSeenAt = now;
      String leader = leader();
      if (context.name().equals(leader) && !isLeader()) {
        why = "we did before our restart";
      } else if (ownsMachines && leader != null && detector.state(leader) == PeerState.CONDEMNED) {
        why = leader + " is condemned and we hold its machines";
      }
    } else if (ownsMachines || now - leaderSeenAt >= Constants.ELECTION_DELAY_MS) {
      why = "nobody does";
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
