package dunlincroft.coordination;

import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.TaskState;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * What the log and the pages hold of a job, and what they do not hold yet. Its news are sent to the
 * log one batch at a time: later ones wait for the outcome of those before.
 */
final class JobRecord {
  private final JobRun job;

  /** What the log and the pages say: where tasks may be, and which are done. */
  private final Int2ObjectOpenHashMap<Placement> recorded = new Int2ObjectOpenHashMap<>();

  private final BitSet recordedDone = new BitSet();

  /** Tasks whose state differs from the record, and since when the first of them does; -1: none. */
  private final BitSet changed = new BitSet();

  long dirtySince = -1;

  /** A start waits to be recorded. */
  boolean urgent;

  /** News that are on their way to the log, or null. */
  private JobUpdate inFlight;

  private final JobPage[] pages;

  JobRecord(JobRun job) {
    this.job = job;
    this.pages = new JobPage[(job.spec.pieces() + job.pageTasks - 1) / job.pageTasks];
  }

  JobRun job() {
    return job;
  }

  private JobPage page(int task) {
    return pageAt(task / job.pageTasks);
  }

  JobPage pageAt(int index) {
    if (pages[index] == null) {
      pages[index] = new JobPage(this, index);
    }
    return pages[index];
  }

  void dirty(int task, long nowMs, boolean forStart) {
    changed.set(task);
    dirtySince = dirtySince < 0 ? nowMs : dirtySince;
    urgent |= forStart;
  }

  /** Whether what we know of a task is what is recorded of it. */
  boolean clean(int task) {
    return !changed.get(task) && (inFlight == null || !inFlight.tasks.get(task));
  }

  boolean updateInFlight() {
    return inFlight != null;
  }

  /** Takes the news, of so many tasks at the most, to be recorded. */
  JobUpdate nextUpdate(int most) {
    BitSet tasks = new BitSet();
    BitSet isDone = new BitSet();
    List<Placement> places = new ArrayList<>();
    int n = 0;
    for (int task = changed.nextSetBit(0);
        task >= 0 && n < most;
        task = changed.nextSetBit(task + 1)) {
      n++;
      tasks.set(task);
      if (job.done.get(task)) {
        isDone.set(task);
      } else if (job.placed.get(task) != null) {
        places.add(job.placed.get(task));
      }
    }
    return new JobUpdate(job, tasks, isDone, places);
  }

  /** News leave for the log: until their outcome is known, none of the job follow. */
  void send(JobUpdate news) {
    inFlight = news;
    changed.andNot(news.tasks);
    dirtySince = changed.isEmpty() ? -1 : dirtySince;
    urgent &= !changed.isEmpty();
  }

  /** The news were certainly not recorded, or may yet be: later ones say all of it again. */
  void unsent(long nowMs) {
    inFlight.tasks.stream().forEach(task -> dirty(task, nowMs, true));
    inFlight = null;
  }

  /** The news are recorded. Returns the placements whose orders may leave now. */
  List<Placement> settle(long number) {
    JobUpdate news = inFlight;
    inFlight = null;
    news.tasks.stream().forEach(recorded::remove);
    recordedDone.andNot(news.tasks);
    recordedDone.or(news.done);
    List<Placement> starting = new ArrayList<>();
    for (Placement p : news.places) {
      recorded.put(p.task, p);
      if (!p.recorded) {
        p.recorded = true;
        starting.add(p);
      }
    }
    for (int task = news.tasks.nextSetBit(0); task >= 0; task = news.tasks.nextSetBit(task + 1)) {
      job.recorded(task, recorded.containsKey(task));
      JobPage page = page(task);
      page.oldest = page.oldest == 0 ? number : page.oldest;
    }
    job.forgetMachinesBut(recorded.values());
    return starting;
  }

  /** Takes over what the records say. */
  void load(JobIndex.Job from) {
    recordedDone.or(from.doneTasks());
    for (int number : from.pageNumbers()) {
      pageAt(number).oldest = from.oldestUncovered(number);
    }
  }

  /** A record names this placement. */
  void names(Placement p) {
    recorded.put(p.task, p);
  }

  boolean hasManyPages() {
    return pages.length > 1;
  }

  /** Whether something is not recorded yet, or not known to be. */
  boolean hasChanges() {
    return inFlight != null || !changed.isEmpty();
  }

  /** What the log has recorded of the tasks of a page. */
  TaskState stateOf(JobPage page) {
    int first = page.index * job.pageTasks;
    int end = Math.min(first + job.pageTasks, job.spec.pieces());
    List<TaskState.Place> places = new ArrayList<>();
    for (int task = first; task < end; task++) {
      Placement p = recorded.get(task);
      if (p != null) {
        places.add(new TaskState.Place(task - first, p.machine.host, p.attempt));
      }
    }
    return new TaskState(recordedDone.get(first, end), new BitSet(), places, job.faulty);
  }

  /** The first entry of the log that some page does not hold; Long.MAX_VALUE: none. */
  long oldestMissing() {
    long oldest = Long.MAX_VALUE;
    for (JobPage page : pages) {
      if (page != null && page.oldest > 0) {
        oldest = Math.min(oldest, page.oldest);
      }
    }
    return oldest;
  }

  /** Pages of which something is recorded, here or in the log. */
  List<JobPage> knownPages() {
    List<JobPage> known = new ArrayList<>();
    for (JobPage page : pages) {
      if (page != null) {
        known.add(page);
      }
    }
    return known;
  }
}
