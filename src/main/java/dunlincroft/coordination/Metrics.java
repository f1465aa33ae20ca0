package dunlincroft.coordination;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What an operator reads off a day: waits by class, and how the node fares. */
final class Metrics {
  private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
  private static final long MAX_RECORDED_WAIT_MS = 3_600_000;

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
  enum RequestType {
    SUBMIT,
    POLL,
    CANCEL,
    WORKER
  }

  private final Map<RequestType, Map<UnavailableCause, Integer>> unavailableCounts =
      new EnumMap<>(RequestType.class);
  private final Map<String, Histogram> waitsByClass = new TreeMap<>();
  private final Map<Event, Integer> eventCounts = new EnumMap<>(Event.class);
  private final java.util.function.LongSupplier wallClock;

  Metrics(java.util.function.LongSupplier wallClock) {
    this.wallClock = wallClock;
  }

  void count(Event event) {
    eventCounts.merge(event, 1, Integer::sum);
  }

  /** Somebody was answered "not now". */
  void countUnavailable(RequestType type, UnavailableCause cause) {
    unavailableCounts
        .computeIfAbsent(type, t -> new EnumMap<>(UnavailableCause.class))
        .merge(cause, 1, Integer::sum);
  }

  /** How often an asker was answered "not now" for a cause since the last line. */
  int unavailableCount(RequestType type, UnavailableCause cause) {
    return unavailableCounts.getOrDefault(type, Map.of()).getOrDefault(cause, 0);
  }

  /** A task runs: its wait is counted from the acceptance of its job. */
  void recordStart(Placement placement, long nowMs) {
    long waitMs = Math.max(0, wallClock.getAsLong() - placement.job.acceptedAt);
    waitsByClass
        .computeIfAbsent(placement.job.spec.jobclass(), c -> new Histogram(MAX_RECORDED_WAIT_MS, 2))
        .recordValue(Math.min(waitMs, MAX_RECORDED_WAIT_MS));
    LOG.debug(
        "{} try {} runs on host {}, {} ms after its job was accepted, {} ms after it was placed",
        placement.taskName(),
        placement.attempt,
        placement.machine.host,
        waitMs,
        nowMs - placement.placedAtMs);
  }

  /** Logs the figures since the last call and begins anew. */
  void log(String prefix) {
    waitsByClass.forEach(
        (jobclass, histogram) ->
            LOG.info(
                "class {}: {} starts, wait ms p50={} p90={} p99={} max={}",
                jobclass,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(90),
                histogram.getValueAtPercentile(99),
                histogram.getMaxValue()));
    LOG.info("{} events={} unavailable={}", prefix, eventCounts, unavailableCounts);
    waitsByClass.clear();
    unavailableCounts.clear();
    eventCounts.clear();
  }
}
