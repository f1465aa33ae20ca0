package dunlincroft.membership;

import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore.Wish;
import dunlincroft.transport.Beat;
import java.util.ArrayList;
import java.util.List;

/** Shares the state service's rates out by what every controller wants. */
final class Rates {
  private final Local local;
  private final FailureDetector detector;
  private Wish wish = new Wish(0, 0);
  private long wishedAt;

  Rates(Local local, FailureDetector detector) {
    this.local = local;
    this.detector = detector;
  }

  /** What we wanted of late, in requests and changes a second. */
  Wish wish() {
    return wish;
  }

  /**
   * A controller that says nothing is taken to want what it last did; one whose hold has ended
   * wants nothing.
   */
  void tick() {
    double seconds = (local.now() - wishedAt) / 1000.0;
    wishedAt = local.now();
    wish = local.store().wish(Math.max(seconds, 0.001));
    List<Wish> others = new ArrayList<>();
    for (Settings.Peer peer : local.settings().others()) {
      Beat beat = detector.beat(peer.node());
      boolean there = beat != null && local.replica().get(Replica.CONTROLLERS, peer.node()) != null;
      others.add(there ? new Wish(beat.requests(), beat.writes()) : new Wish(0, 0));
    }
    local.store().share(wish, others);
  }
}
