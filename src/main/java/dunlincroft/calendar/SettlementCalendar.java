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
 * The settlement calendar at work. Nights are records that all controllers share; the leader moves
 * them from phase to phase, each by one guarded write, and whoever leads next goes on where they
 * are. A start is guarded by its night's record, so that none decided before a change of phase is
 * recorded after it. Times of day are off by a known bound: an opening is late by it and a cut-off
 * early, never the other way round.
 */
public final class SettlementCalendar implements Condition {
  private static final Logger LOG = LoggerFactory.getLogger(SettlementCalendar.class);

  /** Name of the operators' document. */
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
   * @param clockErrorMs the most by which a controller's time of day is off
   */
  public SettlementCalendar(
      Env env, StateStore store, Replica replica, JobIndex index, double clockErrorMs) {
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.index = index;
    this.clockErrorMs = (long) Math.ceil(clockErrorMs);
  }

  // ---- following the records ----

  /** A record changed. */
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
        LOG.info("settlement calendar: version {} holds from the next night on", version);
      } else if (replica.get(Replica.DOCUMENTS, DOCUMENT) == null) {
        document = null;
        version = 0;
      }
    } catch (MalformedException e) {
      LOG.error("the settlement calendar cannot be read, the one before holds: {}", e.getMessage());
    }
  }

  // ---- the condition ----

  @Override
  public boolean active() {
    if (documentChanged) {
      readDocument();
    }
    return document != null || !nights.isEmpty();
  }

  /** The night that a job is in, of those that are not closed: one that is open, or the next. */
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

  /** Open ones first, then those to come, then those that are closing. */
  private static long sortKey(Night night) {
    long priority =
        switch (night.phase()) {
          case OPEN -> 0;
          case PLANNED -> 1;
          default -> 2;
        };
    return (priority << PHASE_BITS) + night.opensMs();
  }

  private static final int PHASE_BITS = 50;

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
    // What saves loses nothing at a cut-off; what does not is begun only if it can end.
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

  // ---- the leader ----

  /**
   * Moves nights on; called by the leader, now and then.
   *
   * @param leaderTxn a transaction with the guard under which a leader writes
   * @param txnOps the most changes in it
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

  private void putNight(Txn txn, Night night) {
    String key = Wire.key(Replica.NIGHTS, night.name());
    txn.guard(key, replica.stamp(Replica.NIGHTS, night.name())).put(key, night.toNode());
  }

  /** Writes nights to come; those that have not begun follow the document. */
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

  /** Whether a night's work will be over in time, by what is known of run times. */
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
        "night {}: {} tasks open, {} s until the cut-off; {} cores would be over in time, {} run",
        night.name(),
        unfinishedTasks,
        (long) remainingS,
        (long) Math.ceil(coresPerTask),
        (long) runningCores);
  }
}
