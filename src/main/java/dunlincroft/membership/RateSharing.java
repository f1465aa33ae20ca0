package dunlincroft.membership;

import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.RateDemand;
import dunlincroft.transport.PeerHeartbeat;
import java.util.ArrayList;
import java.util.List;

/** Divides the state service's rate limits among the controllers by their demand. */
final class RateSharing {
  private final NodeContext context;
  private final FailureDetector detector;
  private RateDemand demand = new RateDemand(0, 0);
  private long measuredAt;

  RateSharing(NodeContext context, FailureDetector detector) {
    this.context = context;
    this.detector = detector;
  }

  /** Recent demand of this node, in requests and changes a second. */
  RateDemand demand() {
    return demand;
  }

  /**
   * A silent controller counts with its last known demand; one whose session lease has expired
   * counts with none.
   */
  void tick() {
    double seconds = (context.now() - measuredAt) / 1000.0;
    measuredAt = context.now();
    demand = context.store().demand(Math.max(seconds, 0.001));
    List<RateDemand> others = new ArrayList<>();
    for (Settings.Peer peer : context.settings().peers()) {
      PeerHeartbeat heartbeat = detector.heartbeat(peer.nodeName());
      boolean isAlive =
          heartbeat != null && context.replica().get(Replica.CONTROLLERS, peer.nodeName()) != null;
      others.add(
          isAlive
              ? new RateDemand(heartbeat.requestDemand(), heartbeat.writeDemand())
              : new RateDemand(0, 0));
    }
    context.store().setShare(demand, others);
  }
}
