package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.sim.VirtualClock;
import dunlincroft.transport.Beat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Generated histories of beats between five controllers, played to the failure detector and, beside
 * it, to the fixed wait that went before: who is condemned by whom, when, and whether it was there.
 */
final class Histories {
  static final int NODES = 5;
  private static final long TICK_MS = 200;

  /** What troubles the controllers. */
  enum Kind {
    QUIET(0, 0, 0, 1),
    LOSS_5(0.05, 0, 0, 1),
    LOSS_20(0.2, 0, 0, 1),
    PAUSES(0, 500, 2000, 1),
    SLOW(0, 0, 0, 3);

    /** Of packets, part that is lost and sent again. */
    final double loss;

    /** Length of pauses in milliseconds, one of each node every 20 s or so. */
    final int pauseLeast;

    final int pauseMost;

    /** By how much timers are late: a processor that is shared. */
    final double slowness;

    Kind(double loss, int pauseLeast, int pauseMost, double slowness) {
      this.loss = loss;
      this.pauseLeast = pauseLeast;
      this.pauseMost = pauseMost;
      this.slowness = slowness;
    }
  }

  /** Fixed waits to compare with, in milliseconds; the last is the one that went before. */
  static final List<Long> FIXED = List.of(700L, 1200L, 1700L, 2200L);

  /** Of one detector: verdicts on controllers that were there, and ms from a crash to the first. */
  static final class Verdicts {
    int wrong;
    int right;
    long firstMs = Long.MAX_VALUE;

    private void count(long downSince, long now) {
      if (downSince < 0) {
        wrong++;
      } else {
        right++;
        firstMs = Math.min(firstMs, now - downSince);
      }
    }
  }

  private final Kind kind;
  private final Random random;
  private final VirtualClock clock = new VirtualClock();
  private final List<Node> nodes = new ArrayList<>();

  /** The new detector's verdicts, then those of each fixed wait. */
  private final List<Verdicts> verdicts = new ArrayList<>();

  /** One controller's clockwork, as {@code Controller} and {@code PeerLink} drive it. */
  private final class Node {
    final String name;
    final FailureDetector detector;
    final Map<String, Long> heardAt = new HashMap<>();
    final Map<String, Beat> beats = new HashMap<>();
    final Set<String> standing = new HashSet<>();
    long downSince = -1;
    long stillUntil;
    long lastTick;

    Node(int number) {
      name = "n" + number;
      List<String> others = new ArrayList<>();
      for (int i = 0; i < NODES; i++) {
        if (i != number) {
          others.add("n" + i);
          heardAt.put("n" + i, clock.now());
        }
      }
      detector = new FailureDetector(name, others, clock.now());
      lastTick = clock.now();
    }

    /** Runs at once, or when the pause is over; not at all if the node is down. */
    void act(Runnable what) {
      if (stillUntil > clock.now()) {
        clock.after(stillUntil - clock.now(), () -> act(what));
      } else if (downSince < 0) {
        what.run();
      }
    }

    void beat() {
      clock.after(late(Constants.LINK_BEAT_MS), () -> act(this::beat));
      for (Node other : nodes) {
        if (other != this) {
          detector.refused(other.name, other.downSince >= 0);
          Beat beat = new Beat(name, 1, 0, 0, 0, 0, detector.hearings(clock.now()));
          long delay = 1 + random.nextInt(5);
          while (random.nextDouble() < kind.loss) {
            delay += 200 + random.nextInt(300);
          }
          long at = Math.max(clock.now() + delay, streams.getOrDefault(name + other.name, 0L));
          streams.put(name + other.name, at);
          clock.after(at - clock.now(), () -> other.act(() -> other.heard(beat)));
        }
      }
    }

    void heard(Beat beat) {
      detector.heard(beat, clock.now());
      heardAt.put(beat.node(), clock.now());
      beats.put(beat.node(), beat);
    }

    void tick() {
      clock.after(late(TICK_MS), () -> act(this::tick));
      long stood = clock.now() - lastTick - TICK_MS;
      lastTick = clock.now();
      if (stood > Constants.STOOD_STILL_MS) {
        detector.stoodStill(stood, clock.now());
        heardAt.replaceAll((node, at) -> Math.min(clock.now(), at + stood));
      } else if (stood > Constants.LATE_MS) {
        detector.late(clock.now());
      }
      detector.tick(clock.now());
      for (Node other : nodes) {
        if (other != this) {
          judged(other);
        }
      }
    }

    private void judged(Node other) {
      for (int i = 0; i < verdicts.size(); i++) {
        boolean condemned =
            i == 0
                ? detector.trust(other.name) == Trust.CONDEMNED
                : fixedWait(other.name, FIXED.get(i - 1));
        String verdict = i + other.name;
        if (!condemned) {
          standing.remove(verdict);
        } else if (standing.add(verdict)) {
          verdicts.get(i).count(other.downSince, clock.now());
        }
      }
    }

    /** As it was with 2.2 s: most controllers, we among them, have heard nothing for so long. */
    private boolean fixedWait(String node, long ms) {
      if (clock.now() - heardAt.get(node) <= ms) {
        return false;
      }
      long say =
          beats.values().stream()
              .filter(beat -> clock.now() - heardAt.get(beat.node()) <= 900)
              .flatMap(beat -> beat.hearings().stream())
              .filter(hearing -> hearing.node().equals(node))
              .filter(hearing -> hearing.silentMs() > ms)
              .count();
      return 2 * (say + 1) > NODES;
    }
  }

  private final Map<String, Long> streams = new HashMap<>();

  private Histories(Kind kind, long seed) {
    this.kind = kind;
    this.random = new Random(seed);
    for (int i = 0; i <= FIXED.size(); i++) {
      verdicts.add(new Verdicts());
    }
  }

  private long late(long ms) {
    double factor = 1 + 0.02 * random.nextDouble();
    boolean hiccup = kind.slowness > 1 && random.nextInt(10) == 0;
    return (long) (ms * (hiccup ? kind.slowness * factor : factor));
  }

  /** Plays so many seconds; then one of the five crashes for good, and ten more seconds pass. */
  static List<Verdicts> play(Kind kind, long seed, long seconds) {
    Histories history = new Histories(kind, seed);
    for (int i = 0; i < NODES; i++) {
      history.nodes.add(history.new Node(i));
    }
    for (Node node : history.nodes) {
      history.clock.after(history.random.nextInt(300), () -> node.act(node::beat));
      history.clock.after(history.random.nextInt(200), () -> node.act(node::tick));
      if (kind.pauseMost > 0) {
        history.pauseSometimes(node);
      }
    }
    long crash = history.clock.now() + seconds * 1000;
    history.clock.runUntil(crash);
    history.nodes.get(0).downSince = history.clock.now();
    history.clock.runUntil(crash + 10_000);
    return history.verdicts;
  }

  private void pauseSometimes(Node node) {
    clock.after(
        5000 + random.nextInt(30_000),
        () -> {
          node.stillUntil =
              clock.now() + kind.pauseLeast + random.nextInt(kind.pauseMost - kind.pauseLeast);
          pauseSometimes(node);
        });
  }

  /** Prints the table of docs/membership.md: hours of each kind of history. */
  public static void main(String[] args) {
    int plays = 48;
    System.out.println("| history | detector | first verdict, median ms | wrong verdicts a day |");
    System.out.println("| --- | --- | --- | --- |");
    for (Kind kind : Kind.values()) {
      List<List<Verdicts>> all = new ArrayList<>();
      for (long seed = 1; seed <= plays; seed++) {
        all.add(play(kind, seed, 1800));
      }
      for (int i = 0; i <= FIXED.size(); i++) {
        int each = i;
        int wrong = all.stream().mapToInt(verdicts -> verdicts.get(each).wrong).sum();
        long[] firsts =
            all.stream().mapToLong(verdicts -> verdicts.get(each).firstMs).sorted().toArray();
        System.out.printf(
            "| %s | %s | %d | %d |%n",
            kind,
            i == 0 ? "graded" : "fixed " + FIXED.get(i - 1),
            firsts[plays / 2],
            wrong * 48 / plays);
      }
    }
  }
}
