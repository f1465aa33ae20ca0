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
  private final long clockOffMs;
  private final RunTimes runTimes = new RunTimes();
  private final Map<String, Night> nights = new HashMap<>();
  private Plan plan;
  private long version;
  private boolean planDue;
  private boolean writing;
  private long nextForecast;

  /**
   * @param clockOffMs the most by which a controller's time of day is off
   */
  public SettlementCalendar(
      Env env, StateStore store, Replica replica, JobIndex index, double clockOffMs) {
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.index = index;
    this.clockOffMs = (long) Math.ceil(clockOffMs);
  }

  // ---- following the records ----

  /** A record changed. */
  public void changed(String kind, String name) {
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
      case Replica.DOCUMENTS, Replica.DOCUMENT_PAGES -> planDue = true;
      default -> {}
    }
  }

  private void read() {
    planDue = false;
    try {
      Documents.Text text = Documents.newest(replica, DOCUMENT);
      if (text != null && text.version() != version) {
        plan = Plan.parse(text.text());
        version = text.version();
        LOG.info("settlement calendar: version {} holds from the next night on", version);
      } else if (replica.get(Replica.DOCUMENTS, DOCUMENT) == null) {
        plan = null;
        version = 0;
      }
    } catch (MalformedException e) {
      LOG.error("the settlement calendar cannot be read, the one before holds: {}", e.getMessage());
    }
  }

  // ---- the condition ----

  @Override
  public boolean active() {
    if (planDue) {
      read();
    }
    return plan != null || !nights.isEmpty();
  }

  /** The night that a job is in, of those that are not closed: one that is open, or the next. */
  private Night nightOf(JobSpec spec) {
    Night best = null;
    for (Night night : nights.values()) {
      if (night.phase() != Phase.CLOSED
          && night.select().matches(spec)
          && (best == null || order(night) < order(best))) {
        best = night;
      }
    }
    return best;
  }

  /** Open ones first, then those to come, then those that are closing. */
  private static long order(Night night) {
    long phase =
        switch (night.phase()) {
          case OPEN -> 0;
          case PLANNED -> 1;
          default -> 2;
        };
    return (phase << PHASE_BITS) + night.opensMs();
  }

  private static final int PHASE_BITS = 50;

  private boolean isOpen(Night night) {
    long wall = env.wallMillis();
    return night.phase() == Phase.OPEN
        && wall + clockOffMs + Constants.LAST_START_LEAD_MS < night.cutOffMs();
  }

  @Override
  public Decision decide(JobSpec spec) {
    Night night = nightOf(spec);
    if (night == null) {
      boolean windowed = plan != null && plan.windowOf(spec) != null;
      return windowed
          ? new Decision(false, false, Long.MAX_VALUE, Map.of(), true, null)
          : Decision.UNRESTRICTED;
    }
    long wall = env.wallMillis();
    double takes = 1000 * runTimes.secondsOf(spec);
    // What saves loses nothing at a cut-off; what does not is begun only if it can end.
    double least =
        spec.snapshotIntervalS() > 0 && night.end() != CutOffAction.STOP
            ? Math.min(takes, 1000 * (spec.snapshotIntervalS() + spec.saveDurationS()))
            : takes;
    boolean inTime = wall + clockOffMs + least < night.cutOffMs();
    boolean soon =
        night.phase() != Phase.CLOSING
            && wall + Constants.OPENING_LEAD_MS >= night.opensMs()
            && inTime;
    return new Decision(
        isOpen(night) && inTime,
        soon,
        night.cutOffMs() - clockOffMs,
        Map.of(Wire.key(Replica.NIGHTS, night.name()), replica.stamp(Replica.NIGHTS, night.name())),
        true,
        null);
  }

  @Override
  public CutOffAction cutOffAction(JobSpec spec) {
    CutOffAction end = null;
    for (Night night : nights.values()) {
      if (night.phase() != Phase.PLANNED && night.select().matches(spec)) {
        if (isOpen(night)) {
          return null;
        }
        end = night.phase() == Phase.CLOSED ? end : night.end();
      }
    }
    return end;
  }

  @Override
  public void onTaskFinished(JobSpec spec, double seconds) {
    runTimes.ran(spec, seconds);
  }

  // ---- the leader ----

  /**
   * Moves nights on; called by the leader, now and then.
   *
   * @param asLeader a transaction with the guard under which a leader writes
   * @param txnOps the most changes in it
   */
  public void lead(Supplier<Txn> asLeader, int txnOps) {
    if (!active() || writing) {
      return;
    }
    Txn txn = asLeader.get();
    long wall = env.wallMillis();
    List<String> moved = new ArrayList<>();
    for (Night night : List.copyOf(nights.values())) {
      Phase next = next(night, wall);
      if (next != night.phase() && txn.size() < txnOps) {
        put(txn, night.in(next));
        moved.add(night.name() + " is " + next);
      } else if (night.phase() == Phase.CLOSED
          && wall - night.cutOffMs() > Constants.NIGHT_RETENTION_MS
          && txn.size() < txnOps) {
        String key = Wire.key(Replica.NIGHTS, night.name());
        txn.guard(key, replica.stamp(Replica.NIGHTS, night.name())).remove(key);
      }
    }
    if (plan != null) {
      planned(txn, wall, txnOps);
    }
    if (txn.size() > 0) {
      writing = true;
      store.commit(
          Urgency.HANDS,
          txn,
          result -> {
            writing = false;
            if (result.ok()) {
              moved.forEach(what -> LOG.info("night {}", what));
            }
          });
    }
    if (env.nowMillis() >= nextForecast) {
      nextForecast = env.nowMillis() + Constants.FORECAST_INTERVAL_MS;
      nights.values().stream().filter(this::isOpen).forEach(night -> forecast(night, wall));
    }
  }

  private Phase next(Night night, long wall) {
    boolean over = wall + clockOffMs >= night.cutOffMs();
    return switch (night.phase()) {
      case PLANNED ->
          over ? Phase.CLOSED : wall - clockOffMs >= night.opensMs() ? Phase.OPEN : Phase.PLANNED;
      case OPEN -> over ? Phase.CLOSING : Phase.OPEN;
      default -> running(night) ? Phase.CLOSING : Phase.CLOSED;
    };
  }

  private boolean running(Night night) {
    for (JobIndex.Job job : index.all().values()) {
      if (job.placedCount() > 0 && night.select().matches(job.spec)) {
        return true;
      }
    }
    return false;
  }

  private void put(Txn txn, Night night) {
    String key = Wire.key(Replica.NIGHTS, night.name());
    txn.guard(key, replica.stamp(Replica.NIGHTS, night.name())).put(key, night.toNode());
  }

  /** Writes nights to come; those that have not begun follow the document. */
  private void planned(Txn txn, long wall, int txnOps) {
    LocalDate today = plan.dateOf(wall);
    Map<String, Night> wanted = new HashMap<>();
    for (Night night : plan.nights(today.minusDays(1), today.plusDays(1), version)) {
      if (night.cutOffMs() - clockOffMs > wall) {
        wanted.put(night.name(), night);
      }
    }
    for (Night night : wanted.values()) {
      Night there = nights.get(night.name());
      boolean stale = there != null && there.phase() == Phase.PLANNED && !night.sameAs(there);
      if ((there == null || stale) && txn.size() < txnOps) {
        put(txn, night);
      }
    }
    for (Night there : nights.values()) {
      if (there.phase() == Phase.PLANNED
          && there.version() != version
          && !wanted.containsKey(there.name())
          && txn.size() < txnOps) {
        String key = Wire.key(Replica.NIGHTS, there.name());
        txn.guard(key, replica.stamp(Replica.NIGHTS, there.name())).remove(key);
      }
    }
  }

  /** Whether a night's work will be over in time, by what is known of run times. */
  private void forecast(Night night, long wall) {
    double coreSeconds = 0;
    double running = 0;
    int open = 0;
    for (JobIndex.Job job : index.all().values()) {
      if (night.select().matches(job.spec)) {
        double cores = job.spec.resources().cpu() / 1000.0;
        coreSeconds += job.runnableTasks() * cores * runTimes.secondsOf(job.spec);
        running += job.placedCount() * cores;
        open += job.runnableTasks();
      }
    }
    double left = Math.max(1, (night.cutOffMs() - clockOffMs - wall) / 1000.0);
    double cores = coreSeconds / left;
    LOG.info(
        "night {}: {} tasks open, {} s until the cut-off; {} cores would be over in time, {} run",
        night.name(),
        open,
        (long) left,
        (long) Math.ceil(cores),
        (long) running);
  }
}
