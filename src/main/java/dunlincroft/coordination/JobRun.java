package dunlincroft.coordination;

import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.PageRecord;
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A job as its owner runs it: which tasks are done, placed or waiting. */
final class JobRun {
  /** A durable part of the job: the record of a run of its tasks. */
  final class Page {
    final int index;
    long stamp;
    boolean inFlight;
    boolean uncertain;

    /** Since when it differs from its record; -1: it does not. */
    long dirtySince = -1;

    /** A start waits for this write. */
    boolean urgent;

    /** Machines that the record may name. */
    private final Set<Machine> hosts = new HashSet<>();

    /** Not written again before this. */
    long notBefore;

    Page(int index) {
      this.index = index;
    }

    JobRun job() {
      return JobRun.this;
    }

    String name() {
      return JobIndex.pageName(id, index);
    }

    boolean clean() {
      return dirtySince < 0 && !inFlight && !uncertain;
    }

    void dirty(long nowMs, boolean forStart) {
      if (dirtySince < 0) {
        dirtySince = nowMs;
      }
      urgent |= forStart;
    }

    int first() {
      return index * pageTasks;
    }

    List<Placement> placements() {
      List<Placement> found = new ArrayList<>();
      int end = Math.min(first() + pageTasks, spec.pieces());
      if (placed.size() < end - first()) {
        placed
            .values()
            .forEach(
                p -> {
                  if (p.task >= first() && p.task < end) {
                    found.add(p);
                  }
                });
      } else {
        for (int task = first(); task < end; task++) {
          Placement p = placed.get(task);
          if (p != null) {
            found.add(p);
          }
        }
      }
      return found;
    }

    PageRecord record() {
      int end = Math.min(first() + pageTasks, spec.pieces());
      List<PageRecord.Place> places = new ArrayList<>();
      for (Placement p : placements()) {
        places.add(new PageRecord.Place(p.task - first(), p.machine.host, p.attempt));
      }
      return new PageRecord(done.get(first(), end), places);
    }
  }

  final String id;
  final JobSpec spec;
  final String shard;
  final int pageTasks;
  final long acceptedAt;
  final BitSet done = new BitSet();
  final Int2ObjectLinkedOpenHashMap<Placement> placed = new Int2ObjectLinkedOpenHashMap<>();
  final Object2IntOpenHashMap<String> perZone = new Object2IntOpenHashMap<>();
  private final BitSet busy = new BitSet();

  /**
   * Tasks that count against the team's limit: placed now, or still named by a record. A holder
   * that takes over runs what records name; were room given away before the record lets go of it,
   * the records together could exceed the limit.
   */
  private final BitSet booked = new BitSet();

  private final Page[] pages;
  boolean cancelled;
  boolean finishing;

  /** Some placement has been told to go since withdrawUnsent last found none to take back. */
  boolean halting;

  /** Failures in a row, and when the next try may be made. */
  int failures;

  long retryAtMs;
  boolean everFailed;

  /** Since when a task waits without room; -1: none does. */
  long waitingSince = -1;

  /** No look for tasks to stop before this: each goes over all machines. */
  long nextPreempt;

  JobRun(String id, JobSpec spec, String shard, int pageTasks, long acceptedAt) {
    this.id = id;
    this.spec = spec;
    this.shard = shard;
    this.pageTasks = pageTasks;
    this.acceptedAt = acceptedAt;
    this.pages = new Page[(spec.pieces() + pageTasks - 1) / pageTasks];
  }

  Page page(int task) {
    return pageAt(task / pageTasks);
  }

  Page pageAt(int index) {
    if (pages[index] == null) {
      pages[index] = new Page(index);
    }
    return pages[index];
  }

  int booked() {
    return booked.cardinality();
  }

  /** A page was written: of its tasks only those that it named then, or are placed now, count. */
  void settle(Page page, List<Placement> named) {
    booked.clear(page.first(), page.first() + pageTasks);
    named.forEach(p -> booked.set(p.task));
    Set<Machine> still = new HashSet<>();
    named.forEach(p -> still.add(p.machine));
    for (Placement p : page.placements()) {
      booked.set(p.task);
      still.add(p.machine);
    }
    page.hosts.removeIf(machine -> !still.contains(machine) && machine.named.remove(page));
  }

  /** The job is over: no record of it names a machine. */
  void forget() {
    for (Page page : knownPages()) {
      page.hosts.forEach(machine -> machine.named.remove(page));
    }
  }

  /**
   * Records of several pages may still name tasks elsewhere than they are: wait until they agree.
   */
  boolean unsettled() {
    return pages.length > 1
        && (spec.spread() || spec.samePlace())
        && knownPages().stream().anyMatch(page -> !page.clean());
  }

  /** Pages that exist in the state service or are on their way there. */
  List<Page> knownPages() {
    List<Page> known = new ArrayList<>();
    for (Page page : pages) {
      if (page != null) {
        known.add(page);
      }
    }
    return known;
  }

  int waiting() {
    return spec.pieces() - busy.cardinality();
  }

  /** The first waiting task from {@code from} on, or -1. */
  int nextWaiting(int from) {
    int task = busy.nextClearBit(from);
    return task < spec.pieces() ? task : -1;
  }

  /** Marks a placement as one that is to go. */
  void halt(Placement p) {
    p.stop = true;
    halting = true;
  }

  void haltAll() {
    placed.values().forEach(this::halt);
  }

  void place(Placement p) {
    placed.put(p.task, p);
    booked.set(p.task);
    busy.set(p.task);
    perZone.addTo(p.machine.hall, 1);
    p.machine.add(p);
    Page page = page(p.task);
    page.hosts.add(p.machine);
    p.machine.named.add(page);
  }

  /** Takes a placement away: the task is proven not to be on the machine any more. */
  void clear(Placement p) {
    if (placed.get(p.task) == p) {
      placed.remove(p.task);
      busy.clear(p.task);
      perZone.addTo(p.machine.hall, -1);
      p.machine.remove(p);
    }
  }

  void finish(int task) {
    done.set(task);
    busy.set(task);
  }

  boolean complete() {
    return !spec.daemon() && done.cardinality() == spec.pieces();
  }
}
