package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the state of jobs ahead of what it allows: placements before their orders leave, ends
 * before users are told. News of all jobs of a shard go to its log in one change; a page is written
 * only when the log would otherwise grow too long. Every write is guarded by the shard's stamp, so
 * that a node that lost the shard writes nothing more.
 */
final class Ledger {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  private final ClusterState world;
  private final StartConditions terms;
  private final Set<JobRun> dirty = new LinkedHashSet<>();
  private final Map<String, ShardLog> logs = new HashMap<>();
  private Consumer<Collection<Machine>> onRecorded = machines -> {};

  Ledger(ClusterState world, StartConditions terms) {
    this.world = world;
    this.terms = terms;
  }

  /** Told which machines have orders after a write. */
  void onRecorded(Consumer<Collection<Machine>> then) {
    onRecorded = then;
  }

  void dirty(JobRun job, int task, boolean forStart) {
    job.dirty(task, world.now(), forStart);
    dirty.add(job);
  }

  /**
   * True for a job as we run it now. After a shard was lost and won back the job is rebuilt from
   * its record; what we knew before, whose write was still out, must never be written again: it
   * would undo what another holder recorded, and its tasks would run twice.
   */
  private boolean ours(JobRun job) {
    return world.jobs.get(job.id) == job;
  }

  /** Makes what waits to be recorded of a job urgent: its room or zones are wanted. */
  void hasten(JobRun job) {
    job.record.urgent |= job.record.dirtySince >= 0;
  }

  /** The same for all jobs of a team: room that it takes of the limit is wanted. */
  void hasten(String team) {
    for (JobRun job : dirty) {
      if (job.spec.owner().equals(team)) {
        hasten(job);
      }
    }
  }

  /** Drops what is no longer ours to write. */
  void forget() {
    dirty.removeIf(job -> !ours(job));
    logs.values().removeIf(log -> world.ownedShards.getLong(log.shard) != log.heldSince);
  }

  private boolean current(ShardLog log) {
    return logs.get(log.shard) == log && world.ownedShards.getLong(log.shard) == log.heldSince;
  }

  /** Writes what is due: ends of jobs, placements, and completions that have waited long enough. */
  void flush() {
    long now = world.now();
    for (JobRun job : world.jobs.values()) {
      withdrawUnsent(job);
      if (!job.finishing && (job.complete() || (job.cancelled && job.placed.isEmpty()))) {
        finish(job);
      }
    }
    dirty.removeIf(job -> job.record.dirtySince < 0 || !ours(job));
    int backlog = 0;
    for (String shard : List.copyOf(world.ownedShards.keySet())) {
      ShardLog log = logs.computeIfAbsent(shard, s -> new ShardLog(world, s));
      if (log.heldSince != world.ownedShards.getLong(shard)) {
        log = new ShardLog(world, shard);
        logs.put(shard, log);
      }
      ShardLog due = log;
      List<JobRun> news = waiting(shard);
      if (log.busy) {
        continue;
      }
      boolean free = world.store.availableWrites() > 0;
      boolean starts =
          news.stream()
              .anyMatch(
                  job -> job.record.urgent && (now >= dueAt(job, due) || (free && prod(job))));
      // One change starts many tasks: starts go on, at their pace, whatever else wants the budget.
      if (starts || news.stream().anyMatch(job -> now >= dueAt(job, due))) {
        backlog++;
        if (starts || free) {
          write(log, news, now);
        }
      } else if (free) {
        save(log);
      }
    }
    world.store.setBacklog(backlog);
  }

  private static boolean prod(JobRun job) {
    return job.spec.rank() == JobSpec.Rank.PROD;
  }

  /** Jobs of a shard with news, those that start services first, then those that start others. */
  private List<JobRun> waiting(String shard) {
    List<JobRun> news = new ArrayList<>();
    for (JobRun job : dirty) {
      if (job.shard.equals(shard) && !job.record.updateInFlight() && !job.finishing) {
        news.add(job);
      }
    }
    news.sort(
        Comparator.comparing((JobRun job) -> !(job.record.urgent && prod(job)))
            .thenComparing(job -> !job.record.urgent)
            .thenComparingLong(job -> job.record.dirtySince));
    return news;
  }

  /** When a job's news should be written; they then take along those of all others. */
  private static long dueAt(JobRun job, ShardLog log) {
    return job.record.urgent
        ? Math.max(job.record.dirtySince, log.lastWriteAt + Constants.LOG_PAUSE_MS)
        : job.record.dirtySince + Constants.LAZY_WRITE_MS;
  }

  // ---- the log ----

  /** The first entry that some page of the shard does not hold. */
  private long oldestMissing(String shard) {
    long oldest = Long.MAX_VALUE;
    for (JobRun job : world.jobs.values()) {
      if (job.shard.equals(shard)) {
        oldest = Math.min(oldest, job.record.oldestMissing());
      }
    }
    return oldest;
  }

  private void write(ShardLog log, List<JobRun> jobs, long now) {
    if (!log.started()) {
      log.nextSlot(oldestMissing(log.shard));
    }
    int slotBytes = world.settings.logBytes();
    int guards = Constants.GUARDS_PER_OP * world.settings.txnOps() - 2;
    long number = log.nextNumber();
    List<JobUpdate> news = new ArrayList<>();
    List<ObjectNode> entries = new ArrayList<>();
    Map<String, Long> conditions = new HashMap<>();
    List<String> cancels = new ArrayList<>();
    int bytes = log.bytes();
    for (JobRun job : jobs) {
      JobUpdate all = job.record.nextUpdate(Integer.MAX_VALUE);
      ObjectNode entry = all.entry(number);
      int more = entry.toString().length() + 1;
      if (bytes + more > slotBytes) {
        if (!entries.isEmpty()) {
          break;
        }
        if (!log.fresh()) {
          log.nextSlot(oldestMissing(log.shard));
          bytes = log.bytes();
        }
        if (bytes + more > slotBytes) {
          all = job.record.nextUpdate(world.settings.logTasks());
          entry = all.entry(number);
          more = entry.toString().length() + 1;
        }
      }
      if (all.starts()) {
        if (!terms.guardsHold(job)) {
          continue; // Its starts are taken back, now that their guards have changed.
        }
        if (cancels.size() + conditions.size() + job.guards.size() >= guards) {
          break;
        }
        conditions.putAll(job.guards);
        cancels.add(Wire.key(Replica.CANCELS, job.id));
      }
      bytes += more;
      news.add(all);
      entries.add(entry);
    }
    ObjectNode slot = log.with(entries);
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, log.shard), log.heldSince)
            .guard(log.key(), log.stamp())
            .put(log.key(), slot);
    if (news.isEmpty()) {
      return;
    }
    cancels.forEach(key -> txn.guard(key, 0));
    conditions.forEach(txn::guard);
    news.forEach(each -> each.job().record.send(each));
    log.busy = true;
    log.lastWriteAt = now;
    world.store.commit(
        cancels.isEmpty() ? Urgency.LAZY : Urgency.START,
        txn,
        result -> {
          switch (result.outcome()) {
            case OK -> recorded(log, number, slot, result.revision(), news);
            case REFUSED -> notRecorded(log, news);
            case CONFLICT -> {
              conflict(result.failedKeys());
              reread(log, number, slot, news);
            }
            default -> reread(log, number, slot, news);
          }
        });
  }

  private void recorded(
      ShardLog log, long number, JsonNode slot, long stamp, List<JobUpdate> news) {
    if (!current(log)) {
      return;
    }
    log.busy = false;
    log.settled = number;
    log.recorded(slot, stamp);
    Set<Machine> touched = new LinkedHashSet<>();
    for (JobUpdate each : news) {
      if (ours(each.job())) {
        each.job().record.settle(number).forEach(p -> touched.add(p.machine));
      }
    }
    world.placementDue = true;
    onRecorded.accept(touched);
  }

  private void notRecorded(ShardLog log, List<JobUpdate> news) {
    if (!current(log)) {
      return;
    }
    log.busy = false;
    for (JobUpdate each : news) {
      if (ours(each.job())) {
        each.job().record.unsent(world.now());
        dirty.add(each.job());
      }
    }
  }

  /**
   * A write without an answer may be applied late: then the slot's stamp is not what we think, and
   * the next write to it fails and comes here. Nothing else is written before the slot was read. A
   * successor goes on counting where we did: an entry of our number may be its own.
   */
  private void reread(ShardLog log, long number, JsonNode written, List<JobUpdate> news) {
    world.store.get(
        log.key(),
        answer -> {
          if (!current(log)) {
            return;
          }
          try {
            if (answer.status() == 200 || answer.status() == 404) {
              long stamp = StateStore.stamp(answer);
              JsonNode slot = StateStore.data(answer);
              log.recorded(slot, stamp);
              if (log.isRecorded(written)) {
                recorded(log, number, slot, stamp, news);
              } else {
                notRecorded(log, news);
              }
              return;
            }
          } catch (Malformed e) {
            LOG.info("slot {}: {}", log.key(), e.getMessage());
          }
          world.env.after(Constants.REREAD_MS, () -> reread(log, number, written, news));
        });
  }

  // ---- pages ----

  /**
   * Writes pages of the jobs that keep the log's oldest slots, so that these can be filled anew.
   */
  private void save(ShardLog log) {
    long oldest = oldestMissing(log.shard);
    if (log.used(oldest) <= world.settings.logSlots()) {
      return;
    }
    List<JobPage> behind = new ArrayList<>();
    for (JobRun job : world.jobs.values()) {
      if (job.shard.equals(log.shard) && !job.finishing) {
        job.record.knownPages().stream()
            .filter(p -> p.oldest > 0 && !p.uncertain)
            .forEach(behind::add);
      }
    }
    behind.sort(Comparator.comparingLong(page -> page.oldest));
    int most = Math.min(world.store.availableWrites(), world.settings.txnOps());
    Txn txn = new Txn().guard(Wire.key(Replica.SHARDS, log.shard), log.heldSince);
    List<JobPage> pages = new ArrayList<>();
    int bytes = 0;
    for (JobPage page : behind) {
      ObjectNode record = page.record(log.settled).toNode();
      bytes += record.toString().length();
      if (pages.size() >= most || (!pages.isEmpty() && bytes > Constants.TXN_BYTES)) {
        break;
      }
      String key = Wire.key(Replica.PAGES, page.name());
      txn.guard(key, page.stamp).put(key, record);
      pages.add(page);
    }
    if (pages.isEmpty()) {
      return;
    }
    log.busy = true;
    pages.forEach(page -> page.uncertain = true);
    world.store.commit(
        Urgency.LAZY,
        txn,
        result -> {
          if (current(log)) {
            log.busy = false;
          }
          LOG.debug("{} pages of shard {} written: {}", pages.size(), log.shard, result.outcome());
          for (JobPage page : pages) {
            if (result.ok()) {
              page.stamp = result.revision();
              page.oldest = 0;
              page.uncertain = false;
            } else {
              reread(page);
            }
          }
        });
  }

  private void conflict(List<String> failed) {
    String cancels = Wire.key(Replica.CANCELS, "");
    for (String key : failed) {
      if (key.startsWith(cancels)) {
        JobRun job = world.jobs.get(key.substring(cancels.length()));
        if (job != null) {
          job.cancel();
        }
      }
    }
    LOG.info("write refused by its guards {}: reading what changed", failed);
    world.feed.barrier(ok -> world.placementDue = true);
  }

  /** Unwanted placements that no order ever left for are taken back without asking the worker. */
  private void withdrawUnsent(JobRun job) {
    if (!job.halting) {
      return;
    }
    job.halting = false;
    for (Placement p : List.copyOf(job.placed.values())) {
      if (p.stopRequested && !p.orderSent) {
        if (job.record.updateInFlight()) {
          job.halting = true;
        } else {
          job.clear(p);
          dirty(job, p.task, false);
        }
      }
    }
  }

  /** A write without an answer may be applied late; its guard or ours then fails. Read, go on. */
  private void reread(JobPage page) {
    page.uncertain = true;
    world.store.get(
        Wire.key(Replica.PAGES, page.name()),
        answer -> {
          if (!ours(page.job())) {
            return;
          }
          if (answer.status() != 200 && answer.status() != 404) {
            world.env.after(Constants.REREAD_MS, () -> reread(page));
            return;
          }
          try {
            page.stamp = StateStore.stamp(answer);
            page.uncertain = false;
          } catch (Malformed e) {
            LOG.info("page {}: {}", page.name(), e.getMessage());
            world.env.after(Constants.REREAD_MS, () -> reread(page));
          }
        });
  }

  /** The final state takes the place of the job's description: one change for most jobs. */
  private void finish(JobRun job) {
    List<JobPage> pages = job.record.knownPages();
    if (job.record.updateInFlight() || pages.stream().anyMatch(page -> page.uncertain)) {
      return;
    }
    boolean withdrawn = job.cancelled;
    // What a large job has beyond one transaction is removed by sweep() afterwards.
    List<JobPage> kept =
        pages.stream()
            .filter(page -> page.stamp > 0)
            .limit(world.settings.txnOps() - Constants.END_OPS)
            .toList();
    job.finishing = true;
    ObjectNode end =
        Cbor.map()
            .put(Replica.STATUS, withdrawn ? Wire.WITHDRAWN : Wire.DONE)
            .put("done", job.doneTasks());
    String jobKey = Wire.key(Replica.JOBS, job.id);
    String cancelKey = Wire.key(Replica.CANCELS, job.id);
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, job.shard), world.ownedShards.getLong(job.shard))
            .guard(jobKey, world.replica.stamp(Replica.JOBS, job.id))
            .guard(cancelKey, world.replica.stamp(Replica.CANCELS, job.id))
            .put(jobKey, end);
    if (withdrawn) {
      txn.remove(cancelKey);
    }
    for (JobPage page : kept) {
      String key = Wire.key(Replica.PAGES, page.name());
      txn.guard(key, page.stamp).remove(key);
    }
    world.store.commit(
        Urgency.FINISH,
        txn,
        result -> {
          if (result.ok()) {
            LOG.info(
                "job {} is {} after {} ms",
                job.id,
                withdrawn ? Wire.WITHDRAWN : Wire.DONE,
                world.env.wallMillis() - job.acceptedAt);
            dirty.remove(job);
            return;
          }
          LOG.info(
              "end of job {} not written: {} {}", job.id, result.outcome(), result.failedKeys());
          kept.forEach(this::reread);
          world.feed.barrier(
              ok -> {
                world.onCancellation(job.id);
                job.finishing = false;
              });
        });
  }

  /** Removes pages whose job is over, a few at a time. The leader does it. */
  void sweep() {
    Txn txn = new Txn();
    for (String name : world.replica.items(Replica.PAGES).keySet()) {
      String id = name.substring(0, name.lastIndexOf('/'));
      if (world.replica.get(Replica.JOBS, id) == null
          && world.replica.get(Replica.ENDED, id) != null
          && txn.size() < world.settings.txnOps()) {
        String key = Wire.key(Replica.PAGES, name);
        txn.guard(key, world.replica.stamp(Replica.PAGES, name)).remove(key);
      }
    }
    if (txn.size() > 0) {
      world.store.commit(
          Urgency.LAZY, txn, result -> LOG.debug("swept pages: {}", result.outcome()));
    }
  }
}
