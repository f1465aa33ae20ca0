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
  private final Int2ObjectOpenHashMap<Placement> recordedPlacements = new Int2ObjectOpenHashMap<>();

  private final BitSet recordedDone = new BitSet();

  /** Tasks whose state differs from the record, and since when the first of them does; -1: none. */
  private final BitSet dirtyTasks = new BitSet();

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

  private JobPage pageOf(int task) {
    return pageAt(task / job.pageTasks);
  }

  JobPage pageAt(int index) {
    if (pages[index] == null) {
      pages[index] = new JobPage(this, index);
    }
    return pages[index];
  }

  void markDirty(int task, long nowMs, boolean isStart) {
    dirtyTasks.set(task);
    dirtySince = dirtySince < 0 ? nowMs : dirtySince;
    urgent |= isStart;
  }

  /** Whether what we know of a task is what is recorded of it. */
  boolean isClean(int task) {
    return !dirtyTasks.get(task) && (inFlight == null || !inFlight.tasks.get(task));
  }

  boolean hasUpdateInFlight() {
    return inFlight != null;
  }

  /** Takes the news, of so many tasks at the most, to be recorded. */
  JobUpdate nextUpdate(int maxTasks) {
    BitSet tasks = new BitSet();
    BitSet completedTasks = new BitSet();
    List<Placement> placements = new ArrayList<>();
    int count = 0;
    for (int task = dirtyTasks.nextSetBit(0);
        task >= 0 && count < maxTasks;
        task = dirtyTasks.nextSetBit(task + 1)) {
      count++;
      tasks.set(task);
      if (job.done.get(task)) {
        completedTasks.set(task);
      } else if (job.placed.get(task) != null) {
        placements.add(job.placed.get(task));
      }
    }
    return new JobUpdate(job, tasks, completedTasks, placements);
  }

  /** News leave for the log: until their outcome is known, none of the job follow. */
  void beginUpdate(JobUpdate update) {
    inFlight = update;
    dirtyTasks.andNot(update.tasks);
    dirtySince = dirtyTasks.isEmpty() ? -1 : dirtySince;
    urgent &= !dirtyTasks.isEmpty();
  }

  /** The news were certainly not recorded, or may yet be: later ones say all of it again. */
  void abortUpdate(long nowMs) {
    inFlight.tasks.stream().forEach(task -> markDirty(task, nowMs, true));
    inFlight = null;
  }

  /** The news are recorded. Returns the placements whose orders may leave now. */
  List<Placement> commitUpdate(long entryNumber) {
    JobUpdate update = inFlight;
    inFlight = null;
    update.tasks.stream().forEach(recordedPlacements::remove);
    recordedDone.andNot(update.tasks);
    recordedDone.or(update.done);
    List<Placement> startable = new ArrayList<>();
    for (Placement placement : update.placements) {
      recordedPlacements.put(placement.task, placement);
      if (!placement.recorded) {
        placement.recorded = true;
        startable.add(placement);
      }
    }
    for (int task = update.tasks.nextSetBit(0);
        task >= 0;
        task = update.tasks.nextSetBit(task + 1)) {
      job.onTaskRecorded(task, recordedPlacements.containsKey(task));
      JobPage page = pageOf(task);
      page.firstUncoveredEntry =
          page.firstUncoveredEntry == 0 ? entryNumber : page.firstUncoveredEntry;
    }
    job.removeUnreferencedMachines(recordedPlacements.values());
    return startable;
  }

  /** Takes over what the records say. */
  void load(JobIndex.Job recordedJob) {
    recordedDone.or(recordedJob.doneTasks());
    for (int pageNumber : recordedJob.pageNumbers()) {
      pageAt(pageNumber).firstUncoveredEntry = recordedJob.oldestUncovered(pageNumber);
    }
  }

  /** A record names this placement. */
  void addRecordedPlacement(Placement placement) {
    recordedPlacements.put(placement.task, placement);
  }

  boolean hasManyPages() {
    return pages.length > 1;
  }

  /** Whether something is not recorded yet, or not known to be. */
  boolean hasUnrecordedChanges() {
    return inFlight != null || !dirtyTasks.isEmpty();
  }

  /** What the log has recorded of the tasks of a page. */
  TaskState stateOf(JobPage page) {
    int first = page.index * job.pageTasks;
    int end = Math.min(first + job.pageTasks, job.spec.pieces());
    List<TaskState.Place> places = new ArrayList<>();
    for (int task = first; task < end; task++) {
      Placement placement = recordedPlacements.get(task);
      if (placement != null) {
        places.add(new TaskState.Place(task - first, placement.machine.host, placement.attempt));
      }
    }
    return new TaskState(recordedDone.get(first, end), new BitSet(), places, job.faulty);
  }

  /** The first entry of the log that some page does not hold; Long.MAX_VALUE: none. */
  long oldestUncoveredEntry() {
    long oldest = Long.MAX_VALUE;
    for (JobPage page : pages) {
      if (page != null && page.firstUncoveredEntry > 0) {
        oldest = Math.min(oldest, page.firstUncoveredEntry);
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
