package dunlincroft.coordination;

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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the state of jobs ahead of what it allows: placements before their orders leave, ends
 * before users are told. Every write is guarded by the shard's stamp, so that a node that lost the
 * shard writes nothing more.
 */
final class Ledger {
  private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

  private final World world;
  private final Set<JobRun.Page> dirty = new LinkedHashSet<>();
  private Consumer<Collection<Machine>> onRecorded = machines -> {};
  private int inFlight;

  Ledger(World world) {
    this.world = world;
  }

  /** Told which machines have orders after a write. */
  void onRecorded(Consumer<Collection<Machine>> then) {
    onRecorded = then;
  }

  void dirty(JobRun job, int task, boolean forStart) {
    JobRun.Page page = job.page(task);
    page.dirty(world.now(), forStart);
    dirty.add(page);
  }

  /**
   * True for a page of the job as we run it now. After a shard was lost and won back the job is
   * rebuilt from its record; a page from before, whose write was still out, must never be written
   * again: it would undo what another holder recorded, and its tasks would run twice.
   */
  private boolean ours(JobRun.Page page) {
    return world.jobs.get(page.job().id) == page.job();
  }

  /** Makes what waits to be recorded of a job urgent: its room or zones are wanted. */
  void hasten(JobRun job) {
    for (JobRun.Page page : job.knownPages()) {
      if (page.dirtySince >= 0) {
        page.urgent = true;
      }
    }
  }

  /** Drops what is no longer ours to write. */
  void forget() {
    dirty.removeIf(page -> !ours(page));
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
    List<JobRun.Page> due = due(now);
    world.store.backlog(due.size());
    while (!due.isEmpty() && inFlight < Constants.WRITES_OUT) {
      int services = (int) due.stream().takeWhile(page -> page.urgent && prod(page)).count();
      int most = Math.max(world.store.writesFree(), services);
      if (most == 0) {
        return; // A page that waits costs no more when more of its tasks have moved on.
      }
      writeSome(due, Math.min(most, world.settings.txnOps()), now);
    }
  }

  private static boolean prod(JobRun.Page page) {
    return page.job().spec.rank() == JobSpec.Rank.PROD;
  }

  /** Since when a page should have been written. */
  private static long dueAt(JobRun.Page page) {
    return page.urgent
        ? Math.max(page.notBefore, page.dirtySince)
        : page.dirtySince + Constants.LAZY_WRITE_MS;
  }

  /** What should be written by now: services that start, then what has waited longest. */
  private List<JobRun.Page> due(long now) {
    List<JobRun.Page> due = new ArrayList<>();
    for (JobRun.Page page : dirty) {
      if (!page.inFlight && !page.uncertain && !page.job().finishing && now >= dueAt(page)) {
        due.add(page);
      }
    }
    due.sort(
        Comparator.comparing((JobRun.Page page) -> !(page.urgent && prod(page)))
            .thenComparingLong(Ledger::dueAt));
    return due;
  }

  /** Takes pages of the first one's shard off the list and writes them in one transaction. */
  private void writeSome(List<JobRun.Page> due, int most, long now) {
    String shard = due.get(0).job().shard;
    Txn txn = new Txn().guard(Wire.key(Replica.SHARDS, shard), world.held.getLong(shard));
    List<JobRun.Page> pages = new ArrayList<>();
    List<List<Placement>> placements = new ArrayList<>();
    int bytes = 0;
    boolean starts = false;
    for (JobRun.Page page : due) {
      JobRun job = page.job();
      if (!job.shard.equals(shard)) {
        continue;
      }
      List<Placement> places = page.placements();
      bytes += Constants.PAGE_ENTRY_BYTES * (places.size() + 8);
      if (!pages.isEmpty() && bytes > Constants.TXN_BYTES) {
        break;
      }
      String key = Wire.key(Replica.PAGES, page.name());
      txn.guard(key, page.stamp).put(key, page.record().toNode());
      if (page.urgent) {
        starts = true;
        txn.guard(Wire.key(Replica.CANCELS, job.id), 0);
        if (page.stamp == 0) {
          txn.guard(Wire.key(Replica.JOBS, job.id), world.replica.stamp(Replica.JOBS, job.id));
        }
      }
      pages.add(page);
      placements.add(places);
      if (pages.size() >= most) {
        break;
      }
    }
    due.removeAll(pages);
    for (JobRun.Page page : pages) {
      dirty.remove(page);
      page.inFlight = true;
      page.urgent = false;
      page.dirtySince = -1;
      page.notBefore = prod(page) ? now : now + Constants.PAGE_PAUSE_MS;
    }
    inFlight++;
    world.store.commit(
        starts ? Urgency.START : Urgency.LAZY,
        txn,
        result -> written(shard, pages, placements, result));
  }

  private void written(
      String shard, List<JobRun.Page> pages, List<List<Placement>> placements, Txn.Result result) {
    inFlight--;
    Set<Machine> touched = new LinkedHashSet<>();
    for (int i = 0; i < pages.size(); i++) {
      JobRun.Page page = pages.get(i);
      page.inFlight = false;
      if (result.ok()) {
        page.stamp = result.epoch();
        page.job().settle(page, placements.get(i));
        for (Placement p : placements.get(i)) {
          if (!p.recorded) {
            p.recorded = true;
            touched.add(p.machine);
          }
        }
      } else if (ours(page)) {
        page.dirty(world.now(), true);
        dirty.add(page);
        if (result.outcome() != Txn.Outcome.REFUSED) {
          reread(page);
        }
      }
    }
    if (result.outcome() == Txn.Outcome.CONFLICT) {
      conflict(result.failed());
    }
    if (result.ok() && world.holds(shard)) {
      world.placeDue = true;
      onRecorded.accept(touched);
    }
  }

  private void conflict(List<String> failed) {
    String cancels = Wire.key(Replica.CANCELS, "");
    for (String key : failed) {
      if (key.startsWith(cancels)) {
        JobRun job = world.jobs.get(key.substring(cancels.length()));
        if (job != null) {
          job.cancelled = true;
          job.haltAll();
        }
      }
    }
    LOG.info("write refused by its guards {}: reading what changed", failed);
    world.feed.barrier(ok -> world.placeDue = true);
  }

  /** Unwanted placements that no order ever left for are taken back without asking the worker. */
  private void withdrawUnsent(JobRun job) {
    if (!job.halting) {
      return;
    }
    job.halting = false;
    for (Placement p : List.copyOf(job.placed.values())) {
      if (p.stop && !p.sent) {
        if (job.page(p.task).inFlight) {
          job.halting = true;
        } else {
          job.clear(p);
          dirty(job, p.task, false);
        }
      }
    }
  }

  /** A write without an answer may be applied late; its guard or ours then fails. Read, go on. */
  private void reread(JobRun.Page page) {
    page.uncertain = true;
    world.store.get(
        Wire.key(Replica.PAGES, page.name()),
        answer -> {
          if (!ours(page)) {
            return;
          }
          if (answer.status() != 200 && answer.status() != 404) {
            world.env.after(200, () -> reread(page));
            return;
          }
          try {
            page.stamp = StateStore.stamp(answer);
            page.uncertain = false;
          } catch (Malformed e) {
            LOG.info("page {}: {}", page.name(), e.getMessage());
            world.env.after(200, () -> reread(page));
          }
        });
  }

  /** The final state replaces the job in one transaction. */
  private void finish(JobRun job) {
    List<JobRun.Page> pages = job.knownPages();
    if (pages.stream().anyMatch(page -> page.inFlight || page.uncertain)) {
      return;
    }
    boolean withdrawn = job.cancelled;
    // What a large job has beyond one transaction is removed by sweep() afterwards.
    List<JobRun.Page> kept =
        pages.stream()
            .filter(page -> page.stamp > 0)
            .limit(Math.max(0, world.settings.txnOps() - 3))
            .toList();
    job.finishing = true;
    ObjectNode end =
        Cbor.map()
            .put("status", withdrawn ? Wire.WITHDRAWN : Wire.DONE)
            .put("done", job.done.cardinality());
    String jobKey = Wire.key(Replica.JOBS, job.id);
    String cancelKey = Wire.key(Replica.CANCELS, job.id);
    String endKey = Wire.key(Replica.ENDED, job.id);
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, job.shard), world.held.getLong(job.shard))
            .guard(jobKey, world.replica.stamp(Replica.JOBS, job.id))
            .guard(endKey, 0)
            .guard(cancelKey, world.replica.stamp(Replica.CANCELS, job.id))
            .put(endKey, end)
            .remove(jobKey);
    if (withdrawn) {
      txn.remove(cancelKey);
    }
    for (JobRun.Page page : kept) {
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
            pages.forEach(dirty::remove);
            return;
          }
          LOG.info("end of job {} not written: {} {}", job.id, result.outcome(), result.failed());
          kept.forEach(this::reread);
          world.feed.barrier(
              ok -> {
                world.cancelled(job.id);
                job.finishing = false;
              });
        });
  }

  /** Removes pages whose job is over, a few at a time. The leader does it. */
  void sweep() {
    Txn txn = new Txn();
    for (String name : world.replica.kind(Replica.PAGES).keySet()) {
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
