package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.sim.VirtualClock;
import dunlincroft.transport.PeerHeartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Random histories of heartbeats between five controllers, for the failure detector and, to
 * compare, for fixed timeouts: who condemns whom, when, and whether that peer was alive.
 */
final class HeartbeatHistories {
  static final int NODES = 5;
  private static final long TICK_MS = 200;

  /** Faults of a history. */
  enum Kind {
    NO_FAULTS(0, 0, 0, 1),
    LOSS_5(0.05, 0, 0, 1),
    LOSS_20(0.2, 0, 0, 1),
    PAUSES(0, 500, 2000, 1),
    SLOW_TIMERS(0, 0, 0, 3);

    /** Fraction of packets that are lost and sent again. */
    final double loss;

    /** Length of pauses in milliseconds; each node pauses every 20 s on average. */
    final int pauseMinMs;

    final int pauseMaxMs;

    /** Factor by which timers are late, as on a shared processor. */
    final double timerFactor;

    Kind(double loss, int pauseMinMs, int pauseMaxMs, double timerFactor) {
      this.loss = loss;
      this.pauseMinMs = pauseMinMs;
      this.pauseMaxMs = pauseMaxMs;
      this.timerFactor = timerFactor;
    }
  }

  /**
   * Fixed timeouts to compare with, in milliseconds; the last is the one used before the present
   * detector.
   */
  static final List<Long> FIXED_TIMEOUTS_MS = List.of(700L, 1200L, 1700L, 2200L);

  /**
   * Results of one detector: peers condemned while alive (wrong) and after their crash (right), and
   * milliseconds from the crash to the first of these.
   */
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

  /** Results of the failure detector, then those of each fixed timeout. */
  private final List<Verdicts> verdicts = new ArrayList<>();

  /** One controller, driven like {@code Controller} and {@code PeerLink} do. */
  private final class Node {
    final String name;
    final FailureDetector detector;
    final Map<String, Long> heardAt = new HashMap<>();
    final Map<String, PeerHeartbeat> heartbeats = new HashMap<>();
    final Set<String> condemnations = new HashSet<>();
    long downSince = -1;
    long pausedUntil;
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

    /** Runs an action at once, or when the pause is over; not at all if the node is down. */
    void runWhenActive(Runnable action) {
      if (pausedUntil > clock.now()) {
        clock.after(pausedUntil - clock.now(), () -> runWhenActive(action));
      } else if (downSince < 0) {
        action.run();
      }
    }

    void sendHeartbeats() {
      clock.after(delayed(Constants.PEER_HEARTBEAT_MS), () -> runWhenActive(this::sendHeartbeats));
      for (Node other : nodes) {
        if (other != this) {
          detector.connectionRefused(other.name, other.downSince >= 0);
          PeerHeartbeat heartbeat =
              new PeerHeartbeat(name, 1, 0, 0, 0, 0, detector.observations(clock.now()));
          long delay = 1 + random.nextInt(5);
          while (random.nextDouble() < kind.loss) {
            delay += 200 + random.nextInt(300);
          }
          long at =
              Math.max(clock.now() + delay, lastDeliveryAt.getOrDefault(name + other.name, 0L));
          lastDeliveryAt.put(name + other.name, at);
          clock.after(
              at - clock.now(),
              () -> other.runWhenActive(() -> other.heartbeatReceived(heartbeat)));
        }
      }
    }

    void heartbeatReceived(PeerHeartbeat heartbeat) {
      detector.heartbeatReceived(heartbeat, clock.now());
      heardAt.put(heartbeat.node(), clock.now());
      heartbeats.put(heartbeat.node(), heartbeat);
    }

    void tick() {
      clock.after(delayed(TICK_MS), () -> runWhenActive(this::tick));
      long pausedMs = clock.now() - lastTick - TICK_MS;
      lastTick = clock.now();
      if (pausedMs > Constants.PROCESS_PAUSE_MS) {
        detector.pauseDetected(pausedMs, clock.now());
        heardAt.replaceAll((node, at) -> Math.min(clock.now(), at + pausedMs));
      } else if (pausedMs > Constants.LATE_TICK_MS) {
        detector.ticksDelayed(clock.now());
      }
      detector.tick(clock.now());
      for (Node other : nodes) {
        if (other != this) {
          countVerdicts(other);
        }
      }
    }

    private void countVerdicts(Node other) {
      for (int i = 0; i < verdicts.size(); i++) {
        boolean condemned =
            i == 0
                ? detector.state(other.name) == PeerState.CONDEMNED
                : isOverFixedTimeout(other.name, FIXED_TIMEOUTS_MS.get(i - 1));
        String verdict = i + other.name;
        if (!condemned) {
          condemnations.remove(verdict);
        } else if (condemnations.add(verdict)) {
          verdicts.get(i).count(other.downSince, clock.now());
        }
      }
    }

    /**
     * A fixed timeout, as formerly used with 2.2 s: the majority of controllers, this one included,
     * has heard nothing for so long.
     */
    private boolean isOverFixedTimeout(String node, long ms) {
      if (clock.now() - heardAt.get(node) <= ms) {
        return false;
      }
      long silentFor =
          heartbeats.values().stream()
              .filter(heartbeat -> clock.now() - heardAt.get(heartbeat.node()) <= 900)
              .flatMap(heartbeat -> heartbeat.observations().stream())
              .filter(hearing -> hearing.node().equals(node))
              .filter(hearing -> hearing.silentMs() > ms)
              .count();
      return 2 * (silentFor + 1) > NODES;
    }
  }

  private final Map<String, Long> lastDeliveryAt = new HashMap<>();

  private HeartbeatHistories(Kind kind, long seed) {
    this.kind = kind;
    this.random = new Random(seed);
    for (int i = 0; i <= FIXED_TIMEOUTS_MS.size(); i++) {
      verdicts.add(new Verdicts());
    }
  }

  private long delayed(long ms) {
    double factor = 1 + 0.02 * random.nextDouble();
    boolean isDelayed = kind.timerFactor > 1 && random.nextInt(10) == 0;
    return (long) (ms * (isDelayed ? kind.timerFactor * factor : factor));
  }

  /** Runs for {@code seconds}, then crashes one of the five controllers and runs for 10 s more. */
  static List<Verdicts> simulate(Kind kind, long seed, long seconds) {
    HeartbeatHistories history = new HeartbeatHistories(kind, seed);
    for (int i = 0; i < NODES; i++) {
      history.nodes.add(history.new Node(i));
    }
    for (Node node : history.nodes) {
      history.clock.after(
          history.random.nextInt(300), () -> node.runWhenActive(node::sendHeartbeats));
      history.clock.after(history.random.nextInt(200), () -> node.runWhenActive(node::tick));
      if (kind.pauseMaxMs > 0) {
        history.schedulePauses(node);
      }
    }
    long crash = history.clock.now() + seconds * 1000;
    history.clock.runUntil(crash);
    history.nodes.get(0).downSince = history.clock.now();
    history.clock.runUntil(crash + 10_000);
    return history.verdicts;
  }

  private void schedulePauses(Node node) {
    clock.after(
        5000 + random.nextInt(30_000),
        () -> {
          node.pausedUntil =
              clock.now() + kind.pauseMinMs + random.nextInt(kind.pauseMaxMs - kind.pauseMinMs);
          schedulePauses(node);
        });
  }

  /** Prints the table of docs/membership.md, from hours of each kind of history. */
  public static void main(String[] args) {
    int runs = 48;
    System.out.println("| history | detector | first verdict, median ms | wrong verdicts a day |");
    System.out.println("| --- | --- | --- | --- |");
    for (Kind kind : Kind.values()) {
      List<List<Verdicts>> all = new ArrayList<>();
      for (long seed = 1; seed <= runs; seed++) {
        all.add(simulate(kind, seed, 1800));
      }
      for (int i = 0; i <= FIXED_TIMEOUTS_MS.size(); i++) {
        int each = i;
        int wrong = all.stream().mapToInt(verdicts -> verdicts.get(each).wrong).sum();
        long[] firsts =
            all.stream().mapToLong(verdicts -> verdicts.get(each).firstMs).sorted().toArray();
        System.out.printf(
            "| %s | %s | %d | %d |%n",
            kind,
            i == 0 ? "graded" : "fixed " + FIXED_TIMEOUTS_MS.get(i - 1),
            firsts[runs / 2],
            wrong * 48 / runs);
      }
    }
  }
}
