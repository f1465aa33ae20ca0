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
 * The migration ledger: which workloads run on the old side, on the new one, or on both. The leader
 * decides steps, each by one guarded write, and whoever leads next goes on where the record is.
 * Every start of a workload's tasks is guarded by its record, so that none decided under an earlier
 * step is recorded after it. Operators ask by a record of their own, one at a time.
 */
public final class MigrationLedger implements Condition {
  private static final Logger LOG = LoggerFactory.getLogger(MigrationLedger.class);

  /** Name of the operators' document. */
  public static final String DOCUMENT = "migration";

  /** What operators may ask for. */
  public enum Ask {
    START,
    PAUSE,
    RESUME,
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
  private boolean documentDue;
  private boolean writing;

  public MigrationLedger(
      Env env, StateStore store, Replica replica, JobIndex index, BlockIndex blocks) {
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.index = index;
    this.blocks = blocks;
  }

  /** Checks a document; the message of a fault has a line for each of them. */
  public static void check(String toml) throws MalformedException {
    Workload.parseAll(toml);
  }

  /** Key under which operators ask for something. */
  public static String askKey(String workload) {
    return Wire.key(Replica.MIGRATION_REQUESTS, workload);
  }

  // ---- following the records ----

  /** A record changed. */
  public void changed(String kind, String name) {
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
      case Replica.DOCUMENTS, Replica.DOCUMENT_PAGES -> documentDue = true;
      default -> {}
    }
  }

  private void read() {
    documentDue = false;
    try {
      Documents.Text text = Documents.newest(replica, DOCUMENT);
      if (text != null && text.version() != version) {
        Map<String, Workload> read = new HashMap<>();
        Workload.parseAll(text.text()).forEach(workload -> read.put(workload.name(), workload));
        workloads = read;
        version = text.version();
        LOG.info("migration ledger: version {} with {} workloads", version, read.size());
      }
    } catch (MalformedException e) {
      LOG.error("the migration document cannot be read, the one before holds: {}", e.getMessage());
    }
  }

  // ---- the condition ----

  @Override
  public boolean active() {
    return !migrations.isEmpty();
  }

  private Migration of(JobSpec spec) {
    for (Migration migration : migrations.values()) {
      if (migration.workload().matches(spec)) {
        return migration;
      }
    }
    return null;
  }

  /** The first tasks of a job stand on the new side, as many as its part is. */
  private record Shared(Workload workload, int onNew) implements MigrationSides {
    static Shared of(Migration migration, JobSpec spec) {
      return new Shared(
          migration.workload(), (int) Math.ceil(migration.onNew() * spec.taskCount() - 1e-9));
    }

    @Override
    public int sideOf(int task) {
      return task < onNew ? NEW : OLD;
    }

    @Override
    public boolean contains(int side, String host, String type, String zone, boolean spot) {
      return (side == NEW ? workload.fresh() : workload.old()).has(host, type, zone, spot);
    }
  }

  @Override
  public Decision decide(JobSpec spec) {
    Migration migration = of(spec);
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
        Shared.of(migration, spec));
  }

  @Override
  public CutOffAction cutOffAction(JobSpec spec) {
    return null;
  }

  @Override
  public void onTaskFinished(JobSpec spec, double seconds) {}

  // ---- the leader ----

  /**
   * Carries out what operators ask, and moves workloads on; called by the leader, now and then.
   *
   * @param asLeader a transaction with the guard under which a leader writes
   * @param txnOps the most changes in it
   */
  public void lead(Supplier<Txn> asLeader, int txnOps) {
    Map<String, Replica.Item> asks = replica.items(Replica.MIGRATION_REQUESTS);
    if (writing || (migrations.isEmpty() && asks.isEmpty())) {
      return;
    }
    if (documentDue) {
      read();
    }
    Txn txn = asLeader.get();
    List<String> steps = new ArrayList<>();
    for (Map.Entry<String, Replica.Item> ask : asks.entrySet()) {
      if (txn.size() + CHANGES <= txnOps) {
        asked(txn, ask.getKey(), ask.getValue(), steps);
      }
    }
    for (Migration migration : migrations.values()) {
      if (!asks.containsKey(migration.workload().name()) && txn.size() + CHANGES <= txnOps) {
        Migration next = step(migration);
        if (next != null) {
          put(txn, migration, next, "leader", steps);
        }
      }
    }
    if (txn.size() > 0) {
      writing = true;
      store.commit(
          Urgency.HANDS,
          txn,
          result -> {
            writing = false;
            if (result.ok()) {
              steps.forEach(step -> LOG.info("migration {}", step));
            }
          });
    }
  }

  /** Changes of one step: the record, its history, and what was asked. */
  private static final int CHANGES = 3;

  private void asked(Txn txn, String name, Replica.Item item, List<String> steps) {
    String key = askKey(name);
    txn.guard(key, item.stamp()).remove(key);
    Migration there = migrations.get(name);
    Migration next = null;
    try {
      next = asked(name, there, Ask.valueOf(item.data().path("ask").asText()));
    } catch (IllegalArgumentException e) {
      LOG.info("migration {}: nobody knows what {} is", name, item.data());
    }
    if (next != null) {
      put(txn, there, next, item.data().path("by").asText(), steps);
    }
  }

  private Migration asked(String name, Migration there, Ask ask) {
    long wall = env.wallMillis();
    Workload workload = workloads.get(name);
    if (there == null || there.phase() == Phase.OLD) {
      // Only what rests on the old side begins, and then by the newest document.
      return ask == Ask.START && workload != null
          ? new Migration(
              workload, Phase.CANARY, there == null ? 1 : there.epoch() + 1, wall, false)
          : null;
    }
    return switch (ask) {
      case START -> null;
      case PAUSE -> there.rests() ? null : there.pause();
      case RESUME -> there.rests() ? there.resumed(wall) : null;
      case BACK -> there.phase() == Phase.BACK ? null : there.to(Phase.BACK, wall);
    };
  }

  /** The step that is due, or null. */
  private Migration step(Migration migration) {
    Phase next = migration.phase().next();
    boolean ends = migration.phase() == Phase.OLD || next == null;
    long soakMs = (long) (migration.workload().soakS() * 1000);
    long since = env.wallMillis() - migration.sinceMs();
    if (migration.rests() || ends || since < soakMs) {
      return null;
    }
    if (whole(migration)) {
      return migration.to(next, env.wallMillis());
    }
    if (since > Constants.UNHEALTHY_SOAK_FACTOR * soakMs && migration.phase() != Phase.BACK) {
      LOG.info(
          "migration {}: {} is not whole after {} s",
          migration.workload().name(),
          migration.phase(),
          since / 1000);
      return migration.workload().backWhenIll()
          ? migration.to(Phase.BACK, env.wallMillis())
          : migration.pause();
    }
    return null;
  }

  /** Whether every replica of the workload's services stands on its side, by the records. */
  private boolean whole(Migration migration) {
    for (JobIndex.Job job : index.all().values()) {
      if (!job.spec.isService() || !migration.workload().matches(job.spec)) {
        continue;
      }
      Shared sides = Shared.of(migration, job.spec);
      int right = 0;
      for (TaskState.TaskPlacement place : job.places()) {
        BlockIndex.Block block = blocks.blockOf(place.host());
        if (block != null) {
          BlockClass of = block.record().blockClass();
          boolean there =
              sides.contains(
                  sides.sideOf(place.task()),
                  place.host(),
                  of.machineType(),
                  of.zone(),
                  of.preemptible());
          right += there ? 1 : 0;
        }
      }
      if (right < job.spec.taskCount()) {
        return false;
      }
    }
    return true;
  }

  private void put(Txn txn, Migration from, Migration to, String by, List<String> steps) {
    String name = to.workload().name();
    String key = Wire.key(Replica.MIGRATIONS, name);
    String entry = Wire.key(Replica.MIGRATION_HISTORY, name + "/" + to.epoch());
    String before = from == null ? "none" : text(from);
    txn.guard(key, replica.stamp(Replica.MIGRATIONS, name))
        .put(key, to.toNode())
        .guard(entry, 0)
        .put(
            entry,
            Cbor.map()
                .put("at", env.wallMillis())
                .put("by", by)
                .put("from", before)
                .put("to", text(to)));
    steps.add(name + ": from " + before + " to " + text(to) + " by " + by);
  }

  private static String text(Migration migration) {
    return migration.phase().name().toLowerCase(Locale.ROOT)
        + (migration.rests() ? ", paused" : "");
  }
}
