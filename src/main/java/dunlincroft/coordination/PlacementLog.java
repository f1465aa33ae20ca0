package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
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
 * Write-ahead log of the state of jobs: placements are recorded before their start orders are sent,
 * and final states before users are told. The changes of all jobs of a shard go to the shard's log
 * in one write; pages, which are checkpoints of a job's tasks, are written only when the log would
 * otherwise grow too long. Every write is guarded by the stamp of the shard's record, so that a
 * controller that has lost the shard cannot write any more.
 */
final class PlacementLog {
  private static final Logger LOG = LoggerFactory.getLogger(PlacementLog.class);

  private final ClusterState cluster;
  private final StartConditions startConditions;
  private final Set<JobRun> dirtyJobs = new LinkedHashSet<>();
  private final Map<String, ShardLog> logs = new HashMap<>();
  private Consumer<Collection<Machine>> recordedListener = machines -> {};

  PlacementLog(ClusterState cluster, StartConditions startConditions) {
    this.cluster = cluster;
    this.startConditions = startConditions;
  }

  /** Sets the listener that learns after a write which machines have new start orders. */
  void setRecordedListener(Consumer<Collection<Machine>> listener) {
    recordedListener = listener;
  }

  /** Marks the state of a task as changed. A start makes the changes of its job urgent. */
  void markDirty(JobRun job, int task, boolean isStart) {
    job.markDirty(task, cluster.now(), isStart);
    dirtyJobs.add(job);
  }

  /**
   * Whether this is the current object of the job. When a shard is lost and acquired again, its
   * jobs are rebuilt from their records. The state from before, of which a write may still be in
   * flight, must never be written again: it would undo what another owner recorded, and its tasks
   * would run twice.
   */
  private boolean isCurrentRun(JobRun job) {
    return cluster.jobs.get(job.id) == job;
  }

  /**
   * Makes the unrecorded changes of a job urgent, because the capacity or the zones that they free
   * are needed.
   */
  void expedite(JobRun job) {
    job.record.urgent |= job.record.dirtySince >= 0;
  }

  /**
   * Does the same for all jobs of a team, because the part of its limit that they occupy is needed.
   */
  void expedite(String team) {
    for (JobRun job : dirtyJobs) {
      if (job.spec.team().equals(team)) {
        expedite(job);
      }
    }
  }

  /** Discards the state of jobs and shards that this controller no longer owns. */
  void discardUnowned() {
    dirtyJobs.removeIf(job -> !isCurrentRun(job));
    logs.values().removeIf(log -> cluster.ownedShards.getLong(log.shard) != log.ownershipStamp);
  }

  private boolean isCurrentLog(ShardLog log) {
    return logs.get(log.shard) == log
        && cluster.ownedShards.getLong(log.shard) == log.ownershipStamp;
  }

  /**
   * Writes what is due: final states of jobs, placements, and completions that have waited long
   * enough.
   */
  void flush() {
    long now = cluster.now();
    for (JobRun job : cluster.jobs.values()) {
      withdrawUnsent(job);
      if (!job.finishing && (job.isComplete() || (job.cancelled && job.placed.isEmpty()))) {
        recordEnd(job);
      }
    }
    dirtyJobs.removeIf(job -> job.record.dirtySince < 0 || !isCurrentRun(job));
    int backlog = 0;
    for (String shard : List.copyOf(cluster.ownedShards.keySet())) {
      ShardLog log = logs.computeIfAbsent(shard, s -> new ShardLog(cluster, s));
      if (log.ownershipStamp != cluster.ownedShards.getLong(shard)) {
        log = new ShardLog(cluster, shard);
        logs.put(shard, log);
      }
      ShardLog dueLog = log;
      List<JobRun> jobsToWrite = jobsWithChanges(shard);
      if (log.writeInFlight) {
        continue;
      }
      boolean hasWriteBudget = cluster.store.availableWrites() > 0;
      boolean startsDue =
          jobsToWrite.stream()
              .anyMatch(
                  job ->
                      job.record.urgent
                          && (now >= dueAt(job, dueLog) || (hasWriteBudget && isProd(job))));
      // One write starts many tasks. Starts are therefore written at their usual interval, whatever
      // other writes need of the budget.
      if (startsDue || jobsToWrite.stream().anyMatch(job -> now >= dueAt(job, dueLog))) {
        backlog++;
        if (startsDue || hasWriteBudget) {
          write(log, jobsToWrite, now);
        }
      } else if (hasWriteBudget) {
        checkpointPages(log);
      }
    }
    cluster.store.setBacklog(backlog);
  }

  private static boolean isProd(JobRun job) {
    return job.spec.rank() == JobSpec.Rank.PROD;
  }

  /**
   * Jobs of a shard with unrecorded changes: urgent ones of rank PROD first, then other urgent
   * ones, then the rest; in each group the oldest changes come first.
   */
  private List<JobRun> jobsWithChanges(String shard) {
    List<JobRun> jobsToWrite = new ArrayList<>();
    for (JobRun job : dirtyJobs) {
      if (job.shard.equals(shard) && !job.record.hasUpdateInFlight() && !job.finishing) {
        jobsToWrite.add(job);
      }
    }
    jobsToWrite.sort(
        Comparator.comparing((JobRun job) -> !(job.record.urgent && isProd(job)))
            .thenComparing(job -> !job.record.urgent)
            .thenComparingLong(job -> job.record.dirtySince));
    return jobsToWrite;
  }

  /**
   * When the changes of a job should be written. That write includes those of all other jobs of the
   * shard.
   */
  private static long dueAt(JobRun job, ShardLog log) {
    return job.record.urgent
        ? Math.max(job.record.dirtySince, log.lastWriteAt + Constants.LOG_WRITE_PAUSE_MS)
        : job.record.dirtySince + Constants.COMPLETION_WRITE_DELAY_MS;
  }

  // ---- the log ----

  /** The oldest log entry that some page of the shard does not include. */
  private long oldestUncoveredEntry(String shard) {
    long oldest = Long.MAX_VALUE;
    for (JobRun job : cluster.jobs.values()) {
      if (job.shard.equals(shard)) {
        oldest = Math.min(oldest, job.record.oldestUncoveredEntry());
      }
    }
    return oldest;
  }

  private void write(ShardLog log, List<JobRun> jobs, long now) {
    if (!log.hasCurrentSlot()) {
      log.advanceSlot(oldestUncoveredEntry(log.shard));
    }
    int maxSlotBytes = Math.min(log.maxSlotBytes(), cluster.settings.logSlotBytes());
    int maxGuards = Constants.GUARDS_PER_OP * cluster.settings.maxTxnOps() - 2;
    long entryNumber = log.nextEntryNumber();
    List<JobUpdate> updates = new ArrayList<>();
    List<ObjectNode> entries = new ArrayList<>();
    Map<String, Long> conditionGuards = new HashMap<>();
    List<String> cancelKeys = new ArrayList<>();
    int usedBytes = log.currentSlotBytes();
    for (JobRun job : jobs) {
      JobUpdate update = job.record.nextUpdate(Integer.MAX_VALUE);
      ObjectNode entry = update.toLogEntry(entryNumber);
      int entryBytes = entry.toString().length() + 1;
      if (usedBytes + entryBytes > maxSlotBytes) {
        if (!entries.isEmpty()) {
          break;
        }
        if (!log.isCurrentSlotEmpty()) {
          log.advanceSlot(oldestUncoveredEntry(log.shard));
          usedBytes = log.currentSlotBytes();
        }
        if (usedBytes + entryBytes > maxSlotBytes) {
          update = job.record.nextUpdate(Settings.maxTasksPerLogEntry(maxSlotBytes));
          entry = update.toLogEntry(entryNumber);
          entryBytes = entry.toString().length() + 1;
        }
      }
      if (update.hasStarts()) {
        if (!startConditions.guardsHold(job)) {
          continue; // Its starts will be withdrawn, as their guards have changed.
        }
        if (cancelKeys.size() + conditionGuards.size() + job.startGuards.size() >= maxGuards) {
          break;
        }
        conditionGuards.putAll(job.startGuards);
        cancelKeys.add(Wire.key(Replica.CANCELS, job.id));
      }
      usedBytes += entryBytes;
      updates.add(update);
      entries.add(entry);
    }
    ObjectNode slot = log.currentSlotWith(entries);
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, log.shard), log.ownershipStamp)
            .guard(log.currentSlotKey(), log.currentSlotStamp())
            .put(log.currentSlotKey(), slot);
    if (updates.isEmpty()) {
      return;
    }
    cancelKeys.forEach(key -> txn.guard(key, 0));
    conditionGuards.forEach(txn::guard);
    updates.forEach(jobUpdate -> jobUpdate.job().record.beginUpdate(jobUpdate));
    log.writeInFlight = true;
    log.lastWriteAt = now;
    cluster.store.commit(
        cancelKeys.isEmpty() ? Urgency.LAZY : Urgency.START,
        txn,
        result -> {
          switch (result.outcome()) {
            case OK -> onWriteCommitted(log, entryNumber, slot, result.revision(), updates);
            case REFUSED -> onWriteRejected(log, updates);
            case INVALID -> {
              log.onSlotTooLarge();
              onWriteRejected(log, updates);
            }
            case CONFLICT -> {
              onConflict(result.failedKeys());
              reread(log, entryNumber, slot, updates);
            }
            default -> reread(log, entryNumber, slot, updates);
          }
        });
  }

  private void onWriteCommitted(
      ShardLog log, long entryNumber, JsonNode slot, long stamp, List<JobUpdate> updates) {
    if (!isCurrentLog(log)) {
      return;
    }
    log.writeInFlight = false;
    log.lastSettledEntry = entryNumber;
    log.setCurrentSlot(slot, stamp);
    Set<Machine> affectedMachines = new LinkedHashSet<>();
    for (JobUpdate jobUpdate : updates) {
      if (isCurrentRun(jobUpdate.job())) {
        jobUpdate
            .job()
            .record
            .commitUpdate(entryNumber)
            .forEach(placement -> affectedMachines.add(placement.machine));
      }
    }
    cluster.placementDue = true;
    recordedListener.accept(affectedMachines);
  }

  private void onWriteRejected(ShardLog log, List<JobUpdate> updates) {
    if (!isCurrentLog(log)) {
      return;
    }
    log.writeInFlight = false;
    for (JobUpdate jobUpdate : updates) {
      if (isCurrentRun(jobUpdate.job())) {
        jobUpdate.job().record.abortUpdate(cluster.now());
        dirtyJobs.add(jobUpdate.job());
      }
    }
  }

  /**
   * Reads a slot to learn the outcome of a write. A write without an answer may be applied late:
   * the stamp of the slot then differs from the one read here, and the next write to it fails and
   * is resolved here as well. Nothing else is written to the log before the slot has been read. A
   * new owner continues our entry numbers, so an entry with our number may be the new owner's.
   */
  private void reread(ShardLog log, long entryNumber, JsonNode written, List<JobUpdate> updates) {
    cluster.store.get(
        log.currentSlotKey(),
        answer -> {
          if (!isCurrentLog(log)) {
            return;
          }
          try {
            if (answer.status() == 200 || answer.status() == 404) {
              long stamp = StateStore.stamp(answer);
              JsonNode slot = StateStore.data(answer);
              log.setCurrentSlot(slot, stamp);
              if (log.isRecorded(written)) {
                onWriteCommitted(log, entryNumber, slot, stamp, updates);
              } else {
                onWriteRejected(log, updates);
              }
              return;
            }
          } catch (MalformedException e) {
            LOG.info("malformed answer for log slot {}: {}", log.currentSlotKey(), e.getMessage());
          }
          cluster.env.after(
              Constants.REREAD_DELAY_MS, () -> reread(log, entryNumber, written, updates));
        });
  }

  // ---- pages ----

  /**
   * Writes pages of the jobs that need the oldest slots of the log, so that these slots can be
   * reused.
   */
  private void checkpointPages(ShardLog log) {
    long oldest = oldestUncoveredEntry(log.shard);
    if (log.usedSlots(oldest) <= cluster.settings.logSlots()) {
      return;
    }
    List<JobPage> candidates = new ArrayList<>();
    for (JobRun job : cluster.jobs.values()) {
      if (job.shard.equals(log.shard) && !job.finishing) {
        job.record.knownPages().stream()
            .filter(candidate -> candidate.firstUncoveredEntry > 0 && !candidate.outcomeUnknown)
            .forEach(candidates::add);
      }
    }
    candidates.sort(Comparator.comparingLong(page -> page.firstUncoveredEntry));
    int maxPages = Math.min(cluster.store.availableWrites(), cluster.settings.maxTxnOps());
    Txn txn = new Txn().guard(Wire.key(Replica.SHARDS, log.shard), log.ownershipStamp);
    List<JobPage> pages = new ArrayList<>();
    int txnBytes = 0;
    for (JobPage page : candidates) {
      ObjectNode record = page.record(log.lastSettledEntry).toNode();
      int pageBytes = record.toString().length();
      if (pageBytes > cluster.settings.maxValueBytes()) {
        continue; // A page of the time of higher limits; it shrinks as its tasks end.
      }
      txnBytes += pageBytes;
      if (pages.size() >= maxPages || (!pages.isEmpty() && txnBytes > Constants.MAX_TXN_BYTES)) {
        break;
      }
      String key = Wire.key(Replica.PAGES, page.name());
      txn.guard(key, page.stamp).put(key, record);
      pages.add(page);
    }
    if (pages.isEmpty()) {
      return;
    }
    log.writeInFlight = true;
    pages.forEach(page -> page.outcomeUnknown = true);
    cluster.store.commit(
        Urgency.LAZY,
        txn,
        result -> {
          if (isCurrentLog(log)) {
            log.writeInFlight = false;
          }
          LOG.debug("{} pages of shard {} written: {}", pages.size(), log.shard, result.outcome());
          for (JobPage page : pages) {
            if (result.ok()) {
              page.stamp = result.revision();
              page.firstUncoveredEntry = 0;
              page.outcomeUnknown = false;
            } else {
              reread(page);
            }
          }
        });
  }

  private void onConflict(List<String> failedKeys) {
    String cancelKeyPrefix = Wire.key(Replica.CANCELS, "");
    for (String key : failedKeys) {
      if (key.startsWith(cancelKeyPrefix)) {
        JobRun job = cluster.jobs.get(key.substring(cancelKeyPrefix.length()));
        if (job != null) {
          job.cancel();
        }
      }
    }
    LOG.info("write refused, failed guards: {}; reading the latest changes", failedKeys);
    cluster.feed.barrier(ok -> cluster.placementDue = true);
  }

  /**
   * Withdraws placements that are marked for stop and whose start order was never sent; the worker
   * need not be asked.
   */
  private void withdrawUnsent(JobRun job) {
    if (!job.withdrawalPending) {
      return;
    }
    job.withdrawalPending = false;
    for (Placement placement : List.copyOf(job.placed.values())) {
      if (placement.stopRequested && !placement.orderSent) {
        if (job.record.hasUpdateInFlight()) {
          job.withdrawalPending = true;
        } else {
          job.removePlacement(placement);
          markDirty(job, placement.task, false);
        }
      }
    }
  }

  /**
   * Reads the stamp of a page whose write was not answered or has failed. The write may still be
   * applied late; then either its guard or the guard of the next write fails.
   */
  private void reread(JobPage page) {
    page.outcomeUnknown = true;
    cluster.store.get(
        Wire.key(Replica.PAGES, page.name()),
        answer -> {
          if (!isCurrentRun(page.job())) {
            return;
          }
          if (answer.status() != 200 && answer.status() != 404) {
            cluster.env.after(Constants.REREAD_DELAY_MS, () -> reread(page));
            return;
          }
          try {
            page.stamp = StateStore.stamp(answer);
            page.outcomeUnknown = false;
          } catch (MalformedException e) {
            LOG.info("malformed answer for page {}: {}", page.name(), e.getMessage());
            cluster.env.after(Constants.REREAD_DELAY_MS, () -> reread(page));
          }
        });
  }

  /** Replaces the record of a job by its final state; for most jobs this takes a single change. */
  private void recordEnd(JobRun job) {
    List<JobPage> pages = job.record.knownPages();
    if (job.record.hasUpdateInFlight() || pages.stream().anyMatch(page -> page.outcomeUnknown)) {
      return;
    }
    boolean isCancelled = job.cancelled;
    // Pages of a large job that do not fit into one transaction are removed later by
    // removeOrphanedPages().
    List<JobPage> storedPages =
        pages.stream()
            .filter(page -> page.stamp > 0)
            .limit(cluster.settings.maxTxnOps() - Constants.JOB_END_OPS)
            .toList();
    job.finishing = true;
    ObjectNode endRecord =
        Cbor.map()
            .put(Replica.STATUS, isCancelled ? Wire.CANCELLED : Wire.DONE)
            .put("done", job.doneTaskCount());
    String jobKey = Wire.key(Replica.JOBS, job.id);
    String cancelKey = Wire.key(Replica.CANCELS, job.id);
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, job.shard), cluster.ownedShards.getLong(job.shard))
            .guard(jobKey, cluster.replica.stamp(Replica.JOBS, job.id))
            .guard(cancelKey, cluster.replica.stamp(Replica.CANCELS, job.id))
            .put(jobKey, endRecord);
    if (isCancelled) {
      txn.remove(cancelKey);
    }
    for (JobPage page : storedPages) {
      String key = Wire.key(Replica.PAGES, page.name());
      txn.guard(key, page.stamp).remove(key);
    }
    cluster.store.commit(
        Urgency.FINISH,
        txn,
        result -> {
          if (result.ok()) {
            LOG.info(
                "job {} is {} after {} ms",
                job.id,
                isCancelled ? Wire.CANCELLED : Wire.DONE,
                cluster.env.wallMillis() - job.acceptedAt);
            dirtyJobs.remove(job);
            return;
          }
          LOG.info(
              "final state of job {} not written: {} {}",
              job.id,
              result.outcome(),
              result.failedKeys());
          storedPages.forEach(this::reread);
          cluster.feed.barrier(
              ok -> {
                cluster.onCancellation(job.id);
                job.finishing = false;
              });
        });
  }

  /**
   * Removes pages of jobs that have ended, a limited number at a time. Called on the leader only.
   */
  void removeOrphanedPages() {
    Txn txn = new Txn();
    for (String name : cluster.replica.items(Replica.PAGES).keySet()) {
      String id = name.substring(0, name.lastIndexOf('/'));
      if (cluster.replica.get(Replica.JOBS, id) == null
          && cluster.replica.get(Replica.ENDED, id) != null
          && txn.size() < cluster.settings.maxTxnOps()) {
        String key = Wire.key(Replica.PAGES, name);
        txn.guard(key, cluster.replica.stamp(Replica.PAGES, name)).remove(key);
      }
    }
    if (txn.size() > 0) {
      cluster.store.commit(
          Urgency.LAZY,
          txn,
          result -> LOG.debug("removal of pages of ended jobs: {}", result.outcome()));
    }
  }
}
