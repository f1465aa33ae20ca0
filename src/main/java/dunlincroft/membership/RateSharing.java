package dunlincroft.membership;

import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.Wish;
import dunlincroft.transport.Beat;
import java.util.ArrayList;
import java.util.List;

/** Shares the state service's rates out by what every controller wants. */
final class RateSharing {
  private final NodeContext context;
  private final FailureDetector detector;
  private Wish demand = new Wish(0, 0);
  private long measuredAt;

  RateSharing(NodeContext context, FailureDetector detector) {
    this.context = context;
    this.detector = detector;
  }

  /** What we wanted of late, in requests and changes a second. */
  Wish demand() {
    return demand;
  }

  /**
   * A controller that says nothing is taken to want what it last did; one whose hold has ended
   * wants nothing.
   */
  void tick() {
    double seconds = (context.now() - measuredAt) / 1000.0;
    measuredAt = context.now();
    demand = context.store().wish(Math.max(seconds, 0.001));
    List<Wish> others = new ArrayList<>();
    for (Settings.Peer peer : context.settings().others()) {
      Beat heartbeat = detector.heartbeat(peer.node());
      boolean isAlive =
          heartbeat != null && context.replica().get(Replica.CONTROLLERS, peer.node()) != null;
      others.add(isAlive ? new Wish(heartbeat.requests(), heartbeat.writes()) : new Wish(0, 0));
    }
    context.store().share(demand, others);
  }
}
