package dunlincroft.migration;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.conditions.Condition;
import dunlincroft.conditions.Decision;
import dunlincroft.conditions.MigrationSides;
import dunlincroft.documents.Documents;
import dunlincroft.migration.Migration.Phase;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.TaskState;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Controls the migrations of workloads from an old to a new set of machines. The leader advances
 * them, each step by one guarded write, so a new leader continues from the recorded state. Every
 * start of a workload's tasks is guarded by the stamp of the migration's record: a start that was
 * decided in an earlier step cannot be recorded after a later one. Operators make requests by
 * creating a request record, of which a workload has one at a time.
 */
public final class MigrationLedger implements Condition {
  private static final Logger LOG = LoggerFactory.getLogger(MigrationLedger.class);

  /** Name of the operators' document that defines the workloads. */
  public static final String DOCUMENT = "migration";

  /** Requests of operators. */
  public enum Request {
    /** Start a migration, by the newest version of the document. */
    START,
    /** Stay in the current phase. */
    PAUSE,
    /** Continue after a pause. */
    RESUME,
    /** Roll back to the old side. */
    BACK
  }

  private final Env env;
  private final StateStore store;
  private final Replica replica;
  private final JobIndex index;
  private final BlockIndex blocks;
  private final Map<String, Migration> migrations = new TreeMap<>();
  private Map<String, Workload> workloads = Map.of();
  private long version;
  private boolean documentChanged;
  private boolean writeInFlight;

  public MigrationLedger(
      Env env, StateStore store, Replica replica, JobIndex index, BlockIndex blocks) {
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.index = index;
    this.blocks = blocks;
  }

  /** Validates a document. The exception's message has one line for each error, with its path. */
  public static void check(String toml) throws MalformedException {
    Workload.parseAll(toml);
  }

  /** State service key of an operator's request. */
  public static String requestKey(String workload) {
    return Wire.key(Replica.MIGRATION_REQUESTS, workload);
  }

  // ---- record updates ----

  /** Handles a change of a record in the replica of the state service. */
  public void onChange(String kind, String name) {
    switch (kind) {
      case Replica.MIGRATIONS -> {
        Replica.Item item = replica.get(kind, name);
        migrations.remove(name);
        if (item != null) {
          try {
            migrations.put(name, Migration.parse(item.data()));
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
        Map<String, Workload> byName = new HashMap<>();
        Workload.parseAll(text.text()).forEach(workload -> byName.put(workload.name(), workload));
        workloads = byName;
        version = text.version();
        LOG.info("migration ledger: version {} with {} workloads", version, byName.size());
      }
    } catch (MalformedException e) {
      LOG.error(
          "migration document is invalid, the previous version stays in force: {}", e.getMessage());
    }
  }

  // ---- start condition ----

  @Override
  public boolean active() {
    return !migrations.isEmpty();
  }

  /** The migration that a job belongs to, or null. */
  private Migration migrationOf(JobSpec spec) {
    for (Migration migration : migrations.values()) {
      if (migration.workload().matches(spec)) {
        return migration;
      }
    }
    return null;
  }

  /**
   * Division of a job's tasks between the sides: the tasks with the lowest numbers belong on the
   * new side.
   *
   * @param newSideTasks number of tasks on the new side
   */
  private record JobSides(Workload workload, int newSideTasks) implements MigrationSides {
    static JobSides of(Migration migration, JobSpec spec) {
      return new JobSides(
          migration.workload(),
          (int) Math.ceil(migration.newSideShare() * spec.taskCount() - 1e-9));
    }

    @Override
    public int sideOf(int task) {
      return task < newSideTasks ? NEW : OLD;
    }

    @Override
    public boolean contains(int side, String host, String type, String zone, boolean spot) {
      return (side == NEW ? workload.newSide() : workload.oldSide())
          .contains(host, type, zone, spot);
    }
  }

  @Override
  public Decision decide(JobSpec spec) {
    Migration migration = migrationOf(spec);
    if (migration == null) {
      return Decision.UNRESTRICTED;
    }
    String name = migration.workload().name();
    return new Decision(
        true,
        true,
        Long.MAX_VALUE,
        Map.of(Wire.key(Replica.MIGRATIONS, name), replica.stamp(Replica.MIGRATIONS, name)),
        false,
        JobSides.of(migration, spec));
  }

  @Override
  public CutOffAction cutOffAction(JobSpec spec) {
    return null;
  }

  @Override
  public void onTaskFinished(JobSpec spec, double seconds) {}

  // ---- leader duties ----

  /**
   * Carries out requests of operators and advances migrations; called periodically on the leader.
   *
   * @param leaderTxn creates a transaction that is guarded by leadership
   * @param txnOps maximum number of changes in a transaction
   */
  public void leaderTick(Supplier<Txn> leaderTxn, int txnOps) {
    Map<String, Replica.Item> requests = replica.items(Replica.MIGRATION_REQUESTS);
    if (writeInFlight || (migrations.isEmpty() && requests.isEmpty())) {
      return;
    }
    if (documentChanged) {
      readDocument();
    }
    Txn txn = leaderTxn.get();
    List<String> steps = new ArrayList<>();
    for (Map.Entry<String, Replica.Item> request : requests.entrySet()) {
      if (txn.size() + CHANGES_PER_STEP <= txnOps) {
        applyRequest(txn, request.getKey(), request.getValue(), steps);
      }
    }
    for (Migration migration : migrations.values()) {
      if (!requests.containsKey(migration.workload().name())
          && txn.size() + CHANGES_PER_STEP <= txnOps) {
        Migration next = dueStep(migration);
        if (next != null) {
          putStep(txn, migration, next, "leader", steps);
        }
      }
    }
    if (txn.size() > 0) {
      writeInFlight = true;
      store.commit(
          Urgency.HANDS,
          txn,
          result -> {
            writeInFlight = false;
            if (result.ok()) {
              steps.forEach(step -> LOG.info("migration {}", step));
            }
          });
    }
  }

  /** Changes of one step: the migration's record, a history entry and removal of the request. */
  private static final int CHANGES_PER_STEP = 3;

  private void applyRequest(Txn txn, String name, Replica.Item item, List<String> steps) {
    String key = requestKey(name);
    txn.guard(key, item.stamp()).remove(key);
    Migration current = migrations.get(name);
    Migration next = null;
    try {
      next = applyRequest(name, current, Request.valueOf(item.data().path("ask").asText()));
    } catch (IllegalArgumentException e) {
      LOG.info("migration {}: ignoring unknown request {}", name, item.data());
    }
    if (next != null) {
      putStep(txn, current, next, item.data().path("by").asText(), steps);
    }
  }

  private Migration applyRequest(String name, Migration current, Request request) {
    long wallMs = env.wallMillis();
    Workload workload = workloads.get(name);
    if (current == null || current.phase() == Phase.OLD) {
      // A migration starts from the old side only, with the newest definition of the workload.
      return request == Request.START && workload != null
          ? new Migration(
              workload, Phase.CANARY, current == null ? 1 : current.epoch() + 1, wallMs, false)
          : null;
    }
    return switch (request) {
      case START -> null;
      case PAUSE -> current.paused() ? null : current.withPause();
      case RESUME -> current.paused() ? current.withoutPause(wallMs) : null;
      case BACK -> current.phase() == Phase.BACK ? null : current.withPhase(Phase.BACK, wallMs);
    };
  }

  /**
   * The step that is due, or null. A phase ends after its soak time if every replica of the
   * services runs on its side. If that is not so after {@link Constants#UNHEALTHY_SOAK_FACTOR} soak
   * times, the migration is rolled back or paused. A rollback is never given up.
   */
  private Migration dueStep(Migration migration) {
    Phase next = migration.phase().next();
    boolean terminal = migration.phase() == Phase.OLD || next == null;
    long soakMs = (long) (migration.workload().soakS() * 1000);
    long elapsedMs = env.wallMillis() - migration.sinceMs();
    if (migration.paused() || terminal || elapsedMs < soakMs) {
      return null;
    }
    if (isComplete(migration)) {
      return migration.withPhase(next, env.wallMillis());
    }
    if (elapsedMs > Constants.UNHEALTHY_SOAK_FACTOR * soakMs && migration.phase() != Phase.BACK) {
      LOG.info(
          "migration {}: {} is not whole after {} s",
          migration.workload().name(),
          migration.phase(),
          elapsedMs / 1000);
      return migration.workload().rollBackIfIncomplete()
          ? migration.withPhase(Phase.BACK, env.wallMillis())
          : migration.withPause();
    }
    return null;
  }

  /** Whether every replica of the workload's services is recorded on its side. */
  private boolean isComplete(Migration migration) {
    for (JobIndex.Job job : index.all().values()) {
      if (!job.spec.isService() || !migration.workload().matches(job.spec)) {
        continue;
      }
      JobSides sides = JobSides.of(migration, job.spec);
      int onRightSide = 0;
      for (TaskState.TaskPlacement place : job.places()) {
        BlockIndex.Block block = blocks.blockOf(place.host());
        if (block != null) {
          BlockClass blockClass = block.record().blockClass();
          boolean contained =
              sides.contains(
                  sides.sideOf(place.task()),
                  place.host(),
                  blockClass.machineType(),
                  blockClass.zone(),
                  blockClass.preemptible());
          onRightSide += contained ? 1 : 0;
        }
      }
      if (onRightSide < job.spec.taskCount()) {
        return false;
      }
    }
    return true;
  }

  /** Adds the guarded writes of a step and of its history entry to a transaction. */
  private void putStep(Txn txn, Migration from, Migration to, String by, List<String> steps) {
    String name = to.workload().name();
    String key = Wire.key(Replica.MIGRATIONS, name);
    String historyKey = Wire.key(Replica.MIGRATION_HISTORY, name + "/" + to.epoch());
    String before = from == null ? "none" : describe(from);
    txn.guard(key, replica.stamp(Replica.MIGRATIONS, name))
        .put(key, to.toNode())
        .guard(historyKey, 0)
        .put(
            historyKey,
            Cbor.map()
                .put("at", env.wallMillis())
                .put("by", by)
                .put("from", before)
                .put("to", describe(to)));
    steps.add(name + ": from " + before + " to " + describe(to) + " by " + by);
  }

  private static String describe(Migration migration) {
    return migration.phase().name().toLowerCase(Locale.ROOT)
        + (migration.paused() ? ", paused" : "");
  }
}
