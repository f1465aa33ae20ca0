package dunlincroft.membership;

import dunlincroft.Constants;
import dunlincroft.sim.VirtualClock;
import dunlincroft.transport.PeerHeartbeat;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Random histories of five controllers that acknowledge cancellations to users, and an observer
 * that knows what was acknowledged when. Faults: outages of the state service, refused access to
 * it, partitions that delay heartbeats, pauses, restarts within 0.2 s, lost answers, and
 * cancellations acknowledged by controllers that only read them.
 */
final class CancellationHistories {
  /** Faults planted to check that the observer detects them. */
  enum PlantedFault {
    NONE,
    /**
     * Replaces the watermark: a node counts as up to date while all others report that they are
     * disconnected from the state service.
     */
    ALL_REPORT_DISCONNECTED,
    /** A read counts from the time of its response, not of its request. */
    READ_TIME_IS_RESPONSE_TIME,
    /** A restarted process keeps the id of its former instance. */
    RESTART_KEEPS_INSTANCE_ID,
    /** Acknowledgements count as closed up to the arrival of the heartbeat. */
    CLOSED_AT_ARRIVAL_TIME,
    /**
     * A controller that only read a cancellation acknowledges it without reporting it to the
     * others.
     */
    READERS_DO_NOT_REPORT,
    /** Cancellations that come with a heartbeat are not stored. */
    RECEIVED_AND_DROPPED,
    /** A controller that has announced a suspension acknowledges all the same. */
    SUSPENSION_IGNORED,
    /** A suspension is ended after half of its time. */
    SUSPENSION_ENDS_EARLY,
    /** A process that has just started is not suspended. */
    RESTART_NOT_SUSPENDED
  }

  private static final int NODES = 5;
  private static final long STEP_MS = 50;

  private record Acknowledgement(long revision, long acknowledgedAt) {}

  private final class Node {
    private final String name;
    private final long clockOffset;
    private boolean alive;
    private boolean synced;
    private int starts;
    private long instanceId;
    private long startedAt;
    private long pausedUntil;
    private long refusedUntil;
    private LowWatermark watermark;
    private long revision;
    private long readAt;
    private final Set<Long> known = new HashSet<>();
    private final List<Runnable> pending = new ArrayList<>();
    private final long[] silentMs = new long[NODES];
    private final long[] heardAt = new long[NODES];

    Node(int index) {
      name = "n" + index;
      clockOffset = random.nextInt(1_000_000_000);
    }

    long now() {
      return clock.now() + clockOffset;
    }

    void start() {
      alive = true;
      synced = false;
      startedAt = now();
      starts++;
      instanceId =
          fault == PlantedFault.RESTART_KEEPS_INSTANCE_ID && instanceId != 0
              ? instanceId
              : random.nextLong();
      List<String> names = new ArrayList<>();
      nodes.forEach(node -> names.add(node.name));
      long watermarkStart = fault == PlantedFault.RESTART_NOT_SUSPENDED ? now() - 100_000 : now();
      watermark = new LowWatermark(name, instanceId, watermarkStart, names);
      revision = 0;
      readAt = 0;
      known.clear();
      pending.clear();
    }

    void crash(long ms) {
      if (alive) {
        alive = false;
        pausedUntil = 0;
        clock.after(ms, this::start);
      }
    }

    /**
     * Runs an action in the given instance of this node, after the end of a pause; not at all if
     * the instance has ended.
     */
    void runInInstance(int instance, Runnable action) {
      if (alive && starts == instance) {
        if (clock.now() < pausedUntil) {
          pending.add(() -> runInInstance(instance, action));
        } else {
          action.run();
        }
      }
    }

    boolean isActive() {
      return alive && clock.now() >= pausedUntil;
    }

    boolean reachesStateService() {
      return !outage() && clock.now() >= refusedUntil;
    }

    void read() {
      int instance = starts;
      long requestedAt = now();
      clock.after(
          delay(),
          () -> {
            if (!reachesStateService()) {
              return;
            }
            long seen = epoch;
            clock.after(
                delay(),
                () ->
                    runInInstance(
                        instance,
                        () -> {
                          revision = Math.max(revision, seen);
                          boolean late = fault == PlantedFault.READ_TIME_IS_RESPONSE_TIME;
                          readAt = Math.max(readAt, late ? now() : requestedAt);
                          synced = true;
                        }));
          });
    }

    void sendHeartbeats() {
      // Before the first read, the age counts from the start of the process.
      long stateSilentMs = now() - (synced ? readAt : startedAt);
      PeerHeartbeat heartbeat =
          new PeerHeartbeat(
              name,
              0,
              stateSilentMs,
              0,
              0,
              0,
              List.of(),
              PeerHeartbeat.Load.NONE,
              watermark.createReport(now(), revision, stateSilentMs));
      for (Node other : nodes) {
        if (other != this) {
          int instance = other.starts;
          send(
              name + other.name,
              () -> other.runInInstance(instance, () -> other.heartbeatReceived(this, heartbeat)));
        }
      }
    }

    void heartbeatReceived(Node from, PeerHeartbeat heartbeat) {
      int index = nodes.indexOf(from);
      silentMs[index] = heartbeat.stateSilentMs();
      heardAt[index] = now();
      PeerHeartbeat received = heartbeat;
      if (fault == PlantedFault.CLOSED_AT_ARRIVAL_TIME) {
        PeerHeartbeat.CancellationReport report = heartbeat.cancellations();
        List<PeerHeartbeat.HeartbeatEcho> echoes = new ArrayList<>();
        report
            .echoes()
            .forEach(
                echo ->
                    echoes.add(
                        new PeerHeartbeat.HeartbeatEcho(echo.node(), echo.instanceId(), now())));
        received =
            new PeerHeartbeat(
                heartbeat.node(),
                0,
                heartbeat.stateSilentMs(),
                0,
                0,
                0,
                List.of(),
                PeerHeartbeat.Load.NONE,
                new PeerHeartbeat.CancellationReport(
                    report.instanceId(),
                    report.sentAt(),
                    echoes,
                    report.readRevision(),
                    report.highestRevision(),
                    report.listedAbove(),
                    report.cancelledJobs()));
      }
      for (PeerHeartbeat.CancelledJob cancellation :
          watermark.heartbeatReceived(received, now(), revision, readAt)) {
        if (fault != PlantedFault.RECEIVED_AND_DROPPED) {
          known.add(cancellation.revision());
        }
      }
    }

    private boolean canAcknowledge(long cancel) {
      long ahead =
          fault == PlantedFault.SUSPENSION_ENDS_EARLY ? Constants.ACK_SUSPENSION_MS / 2 : 0;
      return fault == PlantedFault.SUSPENSION_IGNORED
          || watermark.canAcknowledge(cancel, now() + ahead);
    }

    void acknowledge(long cancel, boolean committed) {
      if (!canAcknowledge(cancel)) {
        return;
      }
      if (committed || fault != PlantedFault.READERS_DO_NOT_REPORT) {
        watermark.recordAcknowledgement("run-" + cancel, cancel);
      }
      known.add(cancel);
      acknowledgements.add(new Acknowledgement(cancel, clock.now()));
    }

    /** A user cancels a job at this node. */
    void cancel(boolean answerLost) {
      int instance = starts;
      clock.after(
          delay(),
          () -> {
            if (!reachesStateService()) {
              return;
            }
            long revisionOfCancel = ++epoch;
            committed.add(revisionOfCancel);
            if (!answerLost) {
              clock.after(
                  delay(),
                  () -> runInInstance(instance, () -> acknowledge(revisionOfCancel, true)));
            }
          });
    }

    long watermarkValue() {
      if (fault == PlantedFault.ALL_REPORT_DISCONNECTED) {
        for (int i = 0; i < NODES; i++) {
          boolean other = nodes.get(i) != this;
          if (other
              && (now() - heardAt[i] > 2300 || silentMs[i] <= Constants.MAX_STALENESS_MS / 2)) {
            return readAt;
          }
        }
        return now();
      }
      return watermark.value(readAt, now());
    }
  }

  private final VirtualClock clock = new VirtualClock();
  private final Random random;
  private final PlantedFault fault;
  private final List<Node> nodes = new ArrayList<>();
  private final TreeSet<Long> committed = new TreeSet<>();
  private final List<Acknowledgement> acknowledgements = new ArrayList<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final List<Runnable> delayedMessages = new ArrayList<>();
  private long epoch = 1;
  private long outageUntil;

  final List<String> violations = new ArrayList<>();

  /** Number of observations at which a watermark was later than the last read. */
  long beyondReading;

  CancellationHistories(long seed, PlantedFault fault) {
    random = new Random(seed);
    this.fault = fault;
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node(i));
    }
    nodes.forEach(Node::start);
    step(0);
  }

  int acknowledgedCount() {
    return acknowledgements.size();
  }

  private boolean outage() {
    return clock.now() < outageUntil;
  }

  void outage(long ms) {
    outageUntil = clock.now() + ms;
  }

  private long delay() {
    return 1 + random.nextInt(random.nextInt(30) == 0 ? 1500 : 10);
  }

  /** Sends on one direction of a link; a partition delays the delivery until it ends. */
  private void send(String link, Runnable delivery) {
    if (cutLinks.contains(link)) {
      delayedMessages.add(delivery);
    } else {
      clock.after(delay(), delivery);
    }
  }

  private void step(long n) {
    for (Node node : nodes) {
      if (node.isActive()) {
        List<Runnable> late = List.copyOf(node.pending);
        node.pending.clear();
        late.forEach(Runnable::run);
        if (n % 4 == 0) {
          node.read();
        }
        if (n % 6 == 0) {
          node.sendHeartbeats();
        }
        if (random.nextInt(60) == 0) {
          node.cancel(random.nextInt(4) == 0);
        }
        Long last = committed.floor(node.revision);
        if (random.nextInt(60) == 0 && node.synced && last != null) {
          node.acknowledge(last, false);
        }
        observe(node);
      }
    }
    clock.after(STEP_MS, () -> step(n + 1));
  }

  private void observe(Node node) {
    if (!node.synced) {
      return;
    }
    long knownUpTo = node.watermarkValue() - node.clockOffset;
    beyondReading += node.watermarkValue() > node.readAt ? 1 : 0;
    for (Acknowledgement acknowledgement : acknowledgements) {
      if (acknowledgement.acknowledgedAt < knownUpTo
          && acknowledgement.revision > node.revision
          && !node.known.contains(acknowledgement.revision)) {
        violations.add(
            clock.now()
                + " "
                + node.name
                + " claims to know all up to "
                + knownUpTo
                + " and lacks "
                + acknowledgement);
      }
    }
  }

  /** Largest lag of the watermark of any running controller that has read the state service. */
  long furthestBehindMs() {
    return nodes.stream()
        .filter(node -> node.alive && node.synced)
        .mapToLong(node -> node.now() - node.watermarkValue())
        .max()
        .orElse(0);
  }

  /** A controller crashes and restarts after {@code ms}. */
  void crash(int node, long ms) {
    nodes.get(node).crash(ms);
  }

  void runFor(long ms) {
    clock.runUntil(clock.now() + ms);
  }

  /** Runs with random faults of all kinds, also several at a time. */
  void runWithFaults(long ms) {
    long end = clock.now() + ms;
    runFor(5000);
    while (clock.now() < end) {
      injectFault();
      runFor(100 + random.nextInt(random.nextBoolean() ? 1500 : 9000));
    }
  }

  /**
   * The state service still refuses one controller when an outage is over, and a second one, which
   * may have restarted meanwhile, is not heard by the first while it acknowledges cancellations.
   */
  private void refusedAfterAnOutage(Node sender, Node refused) {
    long ms = 4500 + random.nextInt(4000);
    outage(ms);
    refused.refusedUntil = clock.now() + ms + 20_000;
    long cutAt = ms - random.nextInt(600);
    clock.after(cutAt, () -> cutLink(sender, refused, 4000 + random.nextInt(14_000)));
    if (random.nextBoolean()) {
      clock.after(cutAt + random.nextInt(500), () -> sender.crash(100 + random.nextInt(200)));
    }
  }

  private void cutLink(Node from, Node to, long ms) {
    cutLinks.add(from.name + to.name);
    clock.after(
        ms,
        () -> {
          cutLinks.remove(from.name + to.name);
          List<Runnable> late = List.copyOf(delayedMessages);
          delayedMessages.clear();
          late.forEach(each -> clock.after(delay(), each));
        });
  }

  private void injectFault() {
    Node node = nodes.get(random.nextInt(NODES));
    switch (random.nextInt(7)) {
      case 6 -> refusedAfterAnOutage(node, nodes.get(random.nextInt(NODES)));
      case 0 -> node.crash(random.nextBoolean() ? 100 + random.nextInt(200) : 5000);
      case 1 -> outage(5000 + random.nextInt(60_000));
      case 2 -> node.refusedUntil = clock.now() + 1000 + random.nextInt(20_000);
      case 3 -> node.pausedUntil = clock.now() + 500 + random.nextInt(20_000);
      default -> {
        Node other = nodes.get(random.nextInt(NODES));
        cutLink(node, other, 500 + random.nextInt(15_000));
      }
    }
  }
}
