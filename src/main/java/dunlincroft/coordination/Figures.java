package dunlincroft.coordination;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What an operator reads off a day: waits by class, and how the node fares. */
final class Figures {
  private static final Logger LOG = LoggerFactory.getLogger(Figures.class);
  private static final long MOST_MS = 3_600_000;

  /** What is counted between two lines. */
  enum Event {
    TAKEOVER,
    SUSPECT,
    DEAF,
    RELEASE,
    PREEMPTION,
    MOVE,
    HANDOVER,
    STANDSTILL,
    STOOD_IN
  }

  /** Who was answered "not now". */
  enum Asker {
    SUBMIT,
    POLL,
    CANCEL,
    WORKER
  }

  private final Map<Asker, Map<UnavailableCause, Integer>> turnedAway = new EnumMap<>(Asker.class);
  private final Map<String, Histogram> waits = new TreeMap<>();
  private final Map<Event, Integer> counts = new EnumMap<>(Event.class);
  private final java.util.function.LongSupplier wall;

  Figures(java.util.function.LongSupplier wall) {
    this.wall = wall;
  }

  void count(Event event) {
    counts.merge(event, 1, Integer::sum);
  }

  /** Somebody was answered "not now". */
  void turnedAway(Asker asker, UnavailableCause cause) {
    turnedAway
        .computeIfAbsent(asker, a -> new EnumMap<>(UnavailableCause.class))
        .merge(cause, 1, Integer::sum);
  }

  /** How often an asker was answered "not now" for a cause since the last line. */
  int turnedAwayCount(Asker asker, UnavailableCause cause) {
    return turnedAway.getOrDefault(asker, Map.of()).getOrDefault(cause, 0);
  }

  /** A task runs: its wait is counted from the acceptance of its job. */
  void started(Placement p, long nowMs) {
    long wait = Math.max(0, wall.getAsLong() - p.job.acceptedAt);
    waits
        .computeIfAbsent(p.job.spec.jobclass(), c -> new Histogram(MOST_MS, 2))
        .recordValue(Math.min(wait, MOST_MS));
    LOG.debug(
        "{} try {} runs on host {}, {} ms after its job was accepted, {} ms after it was placed",
        p.taskName(),
        p.attempt,
        p.machine.host,
        wait,
        nowMs - p.placedAtMs);
  }

  /** Logs the figures since the last call and begins anew. */
  void log(String more) {
    waits.forEach(
        (jobclass, histogram) ->
            LOG.info(
                "class {}: {} starts, wait ms p50={} p90={} p99={} max={}",
                jobclass,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(90),
                histogram.getValueAtPercentile(99),
                histogram.getMaxValue()));
    LOG.info("{} events={} unavailable={}", more, counts, turnedAway);
    waits.clear();
    turnedAway.clear();
    counts.clear();
  }
}
