package dunlincroft.calendar;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.calendar.Night.Phase;
import dunlincroft.conditions.Condition;
import dunlincroft.conditions.Decision;
import dunlincroft.documents.Documents;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.Env;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the settlement calendar: tasks of a job that belongs to a window may start only while
 * a night of that window is open. Nights are records in the state service. The leader advances
 * their phases, each by one guarded write, so a new leader continues from the recorded phase. Every
 * start is guarded by the stamp of its night's record: a start that was decided before a change of
 * phase cannot be recorded after it. Wall clocks are assumed to have a bounded error: openings are
 * delayed and cut-offs advanced by that bound, so that no task ever starts outside its window.
 */
public final class SettlementCalendar implements Condition {
  private static final Logger LOG = LoggerFactory.getLogger(SettlementCalendar.class);

  /** Name of the operators' document that defines the calendar. */
  public static final String DOCUMENT = "calendar";

  private final Env env;
  private final StateStore store;
  private final Replica replica;
  private final JobIndex index;
  private final long clockErrorMs;
  private final RunTimeEstimator runTimes = new RunTimeEstimator();
  private final Map<String, Night> nights = new HashMap<>();
  private CalendarDocument document;
  private long version;
  private boolean documentChanged;
  private boolean writeInFlight;
  private long nextForecastAt;

  /**
   * @param clockErrorMs maximum error of a controller's wall clock, in milliseconds
   */
  public SettlementCalendar(
      Env env, StateStore store, Replica replica, JobIndex index, double clockErrorMs) {
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.index = index;
    this.clockErrorMs = (long) Math.ceil(clockErrorMs);
  }

  // ---- record updates ----

  /** Handles a change of a record in the replica of the state service. */
  public void onChange(String kind, String name) {
    switch (kind) {
      case Replica.NIGHTS -> {
        Replica.Item item = replica.get(kind, name);
        nights.remove(name);
        if (item != null) {
          try {
            nights.put(name, Night.parse(item.data()));
          } catch (MalformedException e) {
            LOG.error("record {}/{} cannot be read: {}", kind, name, e.getMessage());
          }
        }
      }
      case Replica.DOCUMENTS, Replica.DOCUMENT_PAGES -> documentChanged = true;
      default -> {}
    }
  }

  private void readDocument() {
    documentChanged = false;
    try {
      Documents.Text text = Documents.newest(replica, DOCUMENT);
      if (text != null && text.version() != version) {
        document = CalendarDocument.parse(text.text());
        version = text.version();
        LOG.info(
            "settlement calendar: version {} applies to nights that are not open yet", version);
      } else if (replica.get(Replica.DOCUMENTS, DOCUMENT) == null) {
        document = null;
        version = 0;
      }
    } catch (MalformedException e) {
      LOG.error(
          "settlement calendar document is invalid, the previous version stays in force: {}",
          e.getMessage());
    }
  }

  // ---- start condition ----

  @Override
  public boolean active() {
    if (documentChanged) {
      readDocument();
    }
    return document != null || !nights.isEmpty();
  }

  /**
   * The night that applies to a job: an open one, else the next planned one, else one that is
   * closing; null if there is none.
   */
  private Night nightOf(JobSpec spec) {
    Night best = null;
    for (Night night : nights.values()) {
      if (night.phase() != Phase.CLOSED
          && night.selector().matches(spec)
          && (best == null || sortKey(night) < sortKey(best))) {
        best = night;
      }
    }
    return best;
  }

  /** Sort key of nights: by phase (open, planned, closing), then by time of opening. */
  private static long sortKey(Night night) {
    long priority =
        switch (night.phase()) {
          case OPEN -> 0;
          case PLANNED -> 1;
          default -> 2;
        };
    return (priority << PHASE_BITS) + night.opensMs();
  }

  /** Bits of the sort key below the phase; a time in milliseconds fits into them. */
  private static final int PHASE_BITS = 50;

  /**
   * Whether tasks may start. Starts end before the cut-off by {@link Constants#LAST_START_LEAD_MS},
   * because a worker may execute a start order some time after it was decided.
   */
  private boolean isOpen(Night night) {
    long wallMs = env.wallMillis();
    return night.phase() == Phase.OPEN
        && wallMs + clockErrorMs + Constants.LAST_START_LEAD_MS < night.cutOffMs();
  }

  @Override
  public Decision decide(JobSpec spec) {
    Night night = nightOf(spec);
    if (night == null) {
      boolean inWindow = document != null && document.windowOf(spec) != null;
      return inWindow
          ? new Decision(false, false, Long.MAX_VALUE, Map.of(), true, null)
          : Decision.UNRESTRICTED;
    }
    long wallMs = env.wallMillis();
    double runTimeMs = 1000 * runTimes.estimateSeconds(spec);
    // A task that saves snapshots loses no work at a cut-off, unless it is stopped at once, so time
    // for its first snapshot is enough. Any other task must be expected to complete before it.
    double requiredMs =
        spec.snapshotIntervalS() > 0 && night.cutOffAction() != CutOffAction.STOP
            ? Math.min(runTimeMs, 1000 * (spec.snapshotIntervalS() + spec.saveDurationS()))
            : runTimeMs;
    boolean inTime = wallMs + clockErrorMs + requiredMs < night.cutOffMs();
    boolean machinesWanted =
        night.phase() != Phase.CLOSING
            && wallMs + Constants.OPENING_LEAD_MS >= night.opensMs()
            && inTime;
    return new Decision(
        isOpen(night) && inTime,
        machinesWanted,
        night.cutOffMs() - clockErrorMs,
        Map.of(Wire.key(Replica.NIGHTS, night.name()), replica.stamp(Replica.NIGHTS, night.name())),
        true,
        null);
  }

  @Override
  public CutOffAction cutOffAction(JobSpec spec) {
    CutOffAction action = null;
    for (Night night : nights.values()) {
      if (night.phase() != Phase.PLANNED && night.selector().matches(spec)) {
        if (isOpen(night)) {
          return null;
        }
        action = night.phase() == Phase.CLOSED ? action : night.cutOffAction();
      }
    }
    return action;
  }

  @Override
  public void onTaskFinished(JobSpec spec, double seconds) {
    runTimes.addSample(spec, seconds);
  }

  // ---- leader duties ----

  /**
   * Advances phases, records planned nights and removes expired ones; called periodically on the
   * leader.
   *
   * @param leaderTxn creates a transaction that is guarded by leadership
   * @param txnOps maximum number of changes in a transaction
   */
  public void leaderTick(Supplier<Txn> leaderTxn, int txnOps) {
    if (!active() || writeInFlight) {
      return;
    }
    Txn txn = leaderTxn.get();
    long wallMs = env.wallMillis();
    List<String> transitions = new ArrayList<>();
    for (Night night : List.copyOf(nights.values())) {
      Phase next = nextPhase(night, wallMs);
      if (next != night.phase() && txn.size() < txnOps) {
        putNight(txn, night.withPhase(next));
        transitions.add(night.name() + " is " + next);
      } else if (night.phase() == Phase.CLOSED
          && wallMs - night.cutOffMs() > Constants.NIGHT_RETENTION_MS
          && txn.size() < txnOps) {
        String key = Wire.key(Replica.NIGHTS, night.name());
        txn.guard(key, replica.stamp(Replica.NIGHTS, night.name())).remove(key);
      }
    }
    if (document != null) {
      planNights(txn, wallMs, txnOps);
    }
    if (txn.size() > 0) {
      writeInFlight = true;
      store.commit(
          Urgency.HANDS,
          txn,
          result -> {
            writeInFlight = false;
            if (result.ok()) {
              transitions.forEach(transition -> LOG.info("night {}", transition));
            }
          });
    }
    if (env.nowMillis() >= nextForecastAt) {
      nextForecastAt = env.nowMillis() + Constants.FORECAST_INTERVAL_MS;
      nights.values().stream().filter(this::isOpen).forEach(night -> logForecast(night, wallMs));
    }
  }

  /** The phase that a night should be in. Clock errors delay its opening and advance its end. */
  private Phase nextPhase(Night night, long wallMs) {
    boolean afterCutOff = wallMs + clockErrorMs >= night.cutOffMs();
    return switch (night.phase()) {
      case PLANNED ->
          afterCutOff
              ? Phase.CLOSED
              : wallMs - clockErrorMs >= night.opensMs() ? Phase.OPEN : Phase.PLANNED;
      case OPEN -> afterCutOff ? Phase.CLOSING : Phase.OPEN;
      default -> hasRunningTasks(night) ? Phase.CLOSING : Phase.CLOSED;
    };
  }

  private boolean hasRunningTasks(Night night) {
    for (JobIndex.Job job : index.all().values()) {
      if (job.placedCount() > 0 && night.selector().matches(job.spec)) {
        return true;
      }
    }
    return false;
  }

  /** Adds a guarded write of a night to a transaction. */
  private void putNight(Txn txn, Night night) {
    String key = Wire.key(Replica.NIGHTS, night.name());
    txn.guard(key, replica.stamp(Replica.NIGHTS, night.name())).put(key, night.toNode());
  }

  /**
   * Records the nights of yesterday, today and tomorrow that have not reached their cut-off. Nights
   * in phase PLANNED are updated, or removed if the document no longer contains them.
   */
  private void planNights(Txn txn, long wallMs, int txnOps) {
    LocalDate today = document.dateOf(wallMs);
    Map<String, Night> planned = new HashMap<>();
    for (Night night : document.nights(today.minusDays(1), today.plusDays(1), version)) {
      if (night.cutOffMs() - clockErrorMs > wallMs) {
        planned.put(night.name(), night);
      }
    }
    for (Night night : planned.values()) {
      Night recorded = nights.get(night.name());
      boolean outdated =
          recorded != null
              && recorded.phase() == Phase.PLANNED
              && !night.hasSameDefinition(recorded);
      if ((recorded == null || outdated) && txn.size() < txnOps) {
        putNight(txn, night);
      }
    }
    for (Night recorded : nights.values()) {
      if (recorded.phase() == Phase.PLANNED
          && recorded.version() != version
          && !planned.containsKey(recorded.name())
          && txn.size() < txnOps) {
        String key = Wire.key(Replica.NIGHTS, recorded.name());
        txn.guard(key, replica.stamp(Replica.NIGHTS, recorded.name())).remove(key);
      }
    }
  }

  /**
   * Logs how many cores an open night needs in order to complete its remaining work before the
   * cut-off, by the estimated run times, and how many it uses.
   */
  private void logForecast(Night night, long wallMs) {
    double coreSeconds = 0;
    double runningCores = 0;
    int unfinishedTasks = 0;
    for (JobIndex.Job job : index.all().values()) {
      if (night.selector().matches(job.spec)) {
        double coresPerTask = job.spec.resources().cpu() / 1000.0;
        coreSeconds += job.runnableTasks() * coresPerTask * runTimes.estimateSeconds(job.spec);
        runningCores += job.placedCount() * coresPerTask;
        unfinishedTasks += job.runnableTasks();
      }
    }
    double remainingS = Math.max(1, (night.cutOffMs() - clockErrorMs - wallMs) / 1000.0);
    double coresPerTask = coreSeconds / remainingS;
    LOG.info(
        "night {}: {} unfinished tasks, {} s until the cut-off; {} cores needed, {} in use",
        night.name(),
        unfinishedTasks,
        (long) remainingS,
        (long) Math.ceil(coresPerTask),
        (long) runningCores);
  }
}
