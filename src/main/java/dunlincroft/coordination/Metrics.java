package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.WorkerOrder;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Metrics that are logged for operators: waiting times by job class, and counts of events and of
 * requests answered with 503.
 */
final class Metrics {
  private static final Logger LOG = LoggerFactory.getLogger(Metrics.class);
  private static final long MAX_RECORDED_WAIT_MS = 3_600_000;
  private static final long MAX_RECORDED_TASKS = 10_000;

  /** Log lines about single occurrences of one event between two summaries. */
  static final int MAX_LINES_PER_EVENT = 20;

  /** Events counted between two log lines. */
  enum Event {
    /** This controller acquired a shard. */
    TAKEOVER,

    /** A machine was silent for so long that its worker is queried directly. */
    SUSPECT,

    /** A worker sends reports but does not receive our answers. */
    DEAF,

    /** A machine is released. */
    RELEASE,

    /** A task is stopped to free capacity for a job with precedence. */
    PREEMPTION,

    /** A task is stopped in order to empty its machine. */
    MOVE,

    /** Machines or a share of a team's limit were handed over to another shard. */
    HANDOVER,

    /** This process was paused (by garbage collection or by the operating system). */
    STANDSTILL,

    /** A heartbeat was answered on behalf of an owner that is unavailable. */
    STOOD_IN,

    /** A direct command was sent to a worker. */
    COMMAND,

    /** A worker rejected a direct command because of its fence or session. */
    COMMAND_REJECTED,

    /** A direct command that may have been carried out was not answered in time. */
    COMMAND_UNANSWERED,

    /** A start was sent in a direct command. */
    DIRECT_START,

    /** A start was sent in the answer to a heartbeat. */
    HEARTBEAT_START,

    /** A worker was told to discard an ended attempt. */
    DISCARD,

    /** The fence of a machine was raised by a write. */
    FENCE_RAISED,

    /** The fence of a machine was raised to the revision that was read, without a write. */
    FENCE_READ,

    /** A worker runs an attempt that no record names. */
    ORPHAN
  }

  /** Types of requests that are counted when they are answered with 503. */
  enum RequestType {
    SUBMIT,
    POLL,
    CANCEL,
    WORKER
  }

  private final Map<RequestType, Map<UnavailableCause, Integer>> unavailableCounts =
      new EnumMap<>(RequestType.class);
  private final Map<String, Histogram> waitsByClass = new TreeMap<>();
  private final Histogram tasksByReport = new Histogram(MAX_RECORDED_TASKS, 2);
  private final Histogram bytesByReport = new Histogram(Constants.MAX_BODY_BYTES, 2);
  private final Map<Event, Integer> eventCounts = new EnumMap<>(Event.class);
  private final java.util.function.LongSupplier wallClock;

  Metrics(java.util.function.LongSupplier wallClock) {
    this.wallClock = wallClock;
  }

  void count(Event event) {
    count(event, 1);
  }

  private void count(Event event, int occurrences) {
    if (occurrences > 0) {
      eventCounts.merge(event, occurrences, Integer::sum);
    }
  }

  /** Counts the starts and discards among orders that are sent; returns the number of starts. */
  int countSent(List<WorkerOrder> orders, Event startEvent) {
    int starts = (int) orders.stream().filter(WorkerOrder::isRun).count();
    count(startEvent, starts);
    count(Event.DISCARD, (int) orders.stream().filter(WorkerOrder::isDiscard).count());
    return starts;
  }

  /** Counts an event; returns whether it still gets a log line of its own before the summary. */
  boolean countForLine(Event event) {
    count(event);
    return eventCounts.get(event) <= MAX_LINES_PER_EVENT;
  }

  /** Counts a request that was answered with 503. */
  void countUnavailable(RequestType type, UnavailableCause cause) {
    unavailableCounts
        .computeIfAbsent(type, t -> new EnumMap<>(UnavailableCause.class))
        .merge(cause, 1, Integer::sum);
  }

  /**
   * Number of requests of a type that were answered with 503 for a cause since the last log line.
   */
  int unavailableCount(RequestType type, UnavailableCause cause) {
    return unavailableCounts.getOrDefault(type, Map.of()).getOrDefault(cause, 0);
  }

  /** Records the size of a worker's heartbeat. */
  void recordReport(int tasks, int bytes) {
    tasksByReport.recordValue(Math.min(tasks, MAX_RECORDED_TASKS));
    bytesByReport.recordValue(Math.min(bytes, Constants.MAX_BODY_BYTES));
  }

  /** Records that a task runs. Its waiting time is counted from the acceptance of its job. */
  void recordStart(Placement placement, long nowMs) {
    long waitMs = Math.max(0, wallClock.getAsLong() - placement.job.acceptedAt);
    waitsByClass
        .computeIfAbsent(placement.job.spec.jobclass(), c -> new Histogram(MAX_RECORDED_WAIT_MS, 2))
        .recordValue(Math.min(waitMs, MAX_RECORDED_WAIT_MS));
    LOG.debug(
        "{} attempt {} runs on host {}, {} ms after its job was accepted, {} ms after placement",
        placement.taskName(),
        placement.attempt,
        placement.machine.host,
        waitMs,
        nowMs - placement.placedAtMs);
  }

  /** Logs the metrics collected since the last call and resets them. */
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
    LOG.info(
        "worker reports: {}, tasks p50={} max={}, bytes p50={} max={}",
        bytesByReport.getTotalCount(),
        tasksByReport.getValueAtPercentile(50),
        tasksByReport.getMaxValue(),
        bytesByReport.getValueAtPercentile(50),
        bytesByReport.getMaxValue());
    LOG.info("{} events={} unavailable={}", prefix, eventCounts, unavailableCounts);
    waitsByClass.clear();
    tasksByReport.reset();
    bytesByReport.reset();
    unavailableCounts.clear();
    eventCounts.clear();
  }
}
