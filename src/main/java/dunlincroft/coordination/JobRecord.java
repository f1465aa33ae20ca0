package dunlincroft.coordination;

import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.TaskState;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * What the log and the pages record of a job, and which changes are not recorded yet. Changes are
 * written to the log in one batch at a time: later ones wait for the outcome of the batch before.
 */
final class JobRecord {
  private final JobRun job;

  /**
   * State according to the log and the pages: tasks that may be on a machine, and tasks that are
   * done.
   */
  private final Int2ObjectOpenHashMap<Placement> recordedPlacements = new Int2ObjectOpenHashMap<>();

  private final BitSet recordedDone = new BitSet();

  /** Tasks whose state differs from the recorded state. */
  private final BitSet dirtyTasks = new BitSet();

  /** When the first of the dirty tasks changed; -1: there are none. */
  long dirtySince = -1;

  /** Changes should be written soon: a start waits for it, or capacity that it frees is needed. */
  boolean urgent;

  /** The update that is being written to the log, or null. */
  private JobUpdate inFlight;

  private final JobPage[] pages;

  JobRecord(JobRun job) {
    this.job = job;
    this.pages = new JobPage[(job.spec.taskCount() + job.pageTasks - 1) / job.pageTasks];
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

  /** Marks the state of a task as changed. A start makes the job's changes urgent. */
  void markDirty(int task, long nowMs, boolean isStart) {
    dirtyTasks.set(task);
    dirtySince = dirtySince < 0 ? nowMs : dirtySince;
    urgent |= isStart;
  }

  /** Whether the recorded state of a task is its current state. */
  boolean isClean(int task) {
    return !dirtyTasks.get(task) && (inFlight == null || !inFlight.tasks.get(task));
  }

  boolean hasUpdateInFlight() {
    return inFlight != null;
  }

  /** Collects the changes of at most {@code maxTasks} tasks for the log. */
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

  /**
   * Marks an update as being written: until its outcome is known, no other update of the job
   * follows.
   */
  void beginUpdate(JobUpdate update) {
    inFlight = update;
    dirtyTasks.andNot(update.tasks);
    dirtySince = dirtyTasks.isEmpty() ? -1 : dirtySince;
    urgent &= !dirtyTasks.isEmpty();
  }

  /**
   * The update was not recorded, or may still be applied late: its tasks become dirty again, so
   * that a later update repeats all of it.
   */
  void abortUpdate(long nowMs) {
    inFlight.tasks.stream().forEach(task -> markDirty(task, nowMs, true));
    inFlight = null;
  }

  /**
   * The update is recorded under an entry number. Returns the placements whose start orders may be
   * sent now.
   */
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

  /** Restores the recorded state from the records. */
  void load(JobIndex.Job recordedJob) {
    recordedDone.or(recordedJob.doneTasks());
    for (int pageNumber : recordedJob.pageNumbers()) {
      pageAt(pageNumber).firstUncoveredEntry = recordedJob.oldestUncovered(pageNumber);
    }
  }

  /** Adds a placement that a record names. */
  void addRecordedPlacement(Placement placement) {
    recordedPlacements.put(placement.task, placement);
  }

  boolean hasManyPages() {
    return pages.length > 1;
  }

  /** Whether some change is not recorded yet, or not known to be recorded. */
  boolean hasUnrecordedChanges() {
    return inFlight != null || !dirtyTasks.isEmpty();
  }

  /** The recorded state of the tasks of a page. */
  TaskState stateOf(JobPage page) {
    int first = page.index * job.pageTasks;
    int end = Math.min(first + job.pageTasks, job.spec.taskCount());
    List<TaskState.TaskPlacement> places = new ArrayList<>();
    for (int task = first; task < end; task++) {
      Placement placement = recordedPlacements.get(task);
      if (placement != null) {
        places.add(
            new TaskState.TaskPlacement(task - first, placement.machine.host, placement.attempt));
      }
    }
    return new TaskState(recordedDone.get(first, end), new BitSet(), places, job.faulty);
  }

  /** Number of the oldest log entry that some page does not include; Long.MAX_VALUE: none. */
  long oldestUncoveredEntry() {
    long oldest = Long.MAX_VALUE;
    for (JobPage page : pages) {
      if (page != null && page.firstUncoveredEntry > 0) {
        oldest = Math.min(oldest, page.firstUncoveredEntry);
      }
    }
    return oldest;
  }

  /** Pages of whose tasks something is recorded, in the page itself or in the log. */
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
