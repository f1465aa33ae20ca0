package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.conditions.Condition.CutOffAction;
import dunlincroft.conditions.MigrationSides;
import dunlincroft.protocol.JobSpec;
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A job as its owner runs it: which tasks are done, placed or waiting. */
final class JobRun {
  /** How tasks of a job are stopped, and what becomes of work that they have not saved. */
  enum StopMode {
    /** They may save it first, if the job says so. */
    SAVE_FIRST,
    /** Their time is over: no saving begins, and one under way may end. */
    WITHOUT_SAVING,
    /** The job is cancelled, and nobody wants it: a saving under way is cut short too. */
    ABANDON
  }

  final String id;
  final JobSpec spec;
  final String shard;
  final int pageTasks;
  final long acceptedAt;
  final BitSet done = new BitSet();
  final Int2ObjectLinkedOpenHashMap<Placement> placed = new Int2ObjectLinkedOpenHashMap<>();
  final Object2IntOpenHashMap<String> tasksPerZone = new Object2IntOpenHashMap<>();

  /** Whether it may go to spot machines, once somebody asked. */
  Boolean spotAllowed;

  /** What the operators let one of its tasks lose, once somebody asked. */
  long preemptLossMs = -1;

  /** Where it stands in the order of the present round; worked out once for each. */
  double slack;

  boolean isGuaranteed;

  /** What its starts must be guarded by, as a condition said when they were decided. */
  Map<String, Long> startGuards = Map.of();

  /** When its tasks must be over, in milliseconds of the time of day; Long.MAX_VALUE: whenever. */
  long deadlineMs = Long.MAX_VALUE;

  /** Its starts may not be executed late. */
  boolean noLateStart;

  /** The sides that its tasks are shared out over; null: none. */
  MigrationSides migrationSides;

  /** The side for which places are sought at present. */
  private int sideFilter = -1;

  /** How its tasks are stopped. */
  private StopMode stopMode = StopMode.SAVE_FIRST;

  /** When it was accepted, if it has waited too long for that order; else Long.MAX_VALUE. */
  long overdueAcceptedAt = Long.MAX_VALUE;

  /** What it wants of a machine, for the memory of what found no room in a round. */
  Scheduler.PlacementRequest placementRequest;

  /** Its shard and team, as one text: whose part of the limit it counts against. */
  final String limitKey;

  /** What is recorded of it, and what is not yet. */
  final JobRecord record;

  /** Tasks that are placed or done; and how many, as every round asks for each job. */
  private final BitSet placedOrDone = new BitSet();

  private int placedOrDoneCount;
  private int doneCount;

  /**
   * Tasks that count against the team's limit: placed now, or still named by a record. A holder
   * that takes over runs what records name; were room given away before the record lets go of it,
   * the records together could exceed the limit.
   */
  private final BitSet chargedTasks = new BitSet();

  private int chargedCount;

  /** Machines that a record may name. */
  private final Set<Machine> referencedMachines = new HashSet<>();

  boolean cancelled;

  boolean finishing;

  /** Some placement has been told to go since withdrawUnsent last found none to take back. */
  boolean withdrawalPending;

  /** Failures in a row, and when the next try may be made. */
  private int consecutiveFailures;

  long retryAtMs;

  /** Some machine is kept from the job since a task of it failed there. */
  boolean everFailed;

  /** Machines that it failed on; none once a task of it has run, as the fault is not the job's. */
  private final Set<String> failedHosts = new HashSet<>();

  /** A task of it has run for a while, or to its end, since this holder began. */
  private boolean hasRun;

  /** Fails wherever it goes, as far as is known: it gets one machine at a time until it is not. */
  boolean faulty;

  /** Since when a task waits without room; -1: none does. */
  long waitingSince = -1;

  /** No look for tasks to stop before this: each goes over all machines. */
  long nextPreemptionAt;

  JobRun(String id, JobSpec spec, String shard, int pageTasks, long acceptedAt) {
    this.id = id;
    this.spec = spec;
    this.shard = shard;
    this.pageTasks = pageTasks;
    this.acceptedAt = acceptedAt;
    this.limitKey = limitKey(shard, spec.owner());
    this.record = new JobRecord(this);
  }

  static String limitKey(String shard, String team) {
    return shard + "/" + team;
  }

  int chargedTaskCount() {
    return chargedCount;
  }

  private void setCharged(int task, boolean value) {
    if (chargedTasks.get(task) != value) {
      chargedTasks.set(task, value);
      chargedCount += value ? 1 : -1;
    }
  }

  private void setPlacedOrDone(int task, boolean value) {
    if (placedOrDone.get(task) != value) {
      placedOrDone.set(task, value);
      placedOrDoneCount += value ? 1 : -1;
    }
  }

  /** Whether any task of it is placed or done. */
  boolean hasStarted() {
    return placedOrDoneCount > 0;
  }

  /** Tasks that are done. */
  int doneTaskCount() {
    return doneCount;
  }

  // ---- the record ----

  void markDirty(int task, long nowMs, boolean isStart) {
    record.markDirty(task, nowMs, isStart);
  }

  /** Takes over what the records say. */
  void load(JobIndex.Job recordedJob) {
    faulty = recordedJob.faulty();
    hasRun = !faulty && recordedJob.doneCount() > 0;
    recordedJob.doneTasks().stream().forEach(this::markDone);
    record.load(recordedJob);
  }

  /** A placement that a record names. */
  void placeRecorded(Placement placement) {
    placement.recorded = true;
    place(placement);
    record.addRecordedPlacement(placement);
  }

  /**
   * Entries of a job too large for one slot may disagree on where its tasks are: wait for the last.
   */
  boolean mustAwaitLog() {
    return record.hasManyPages()
        && (spec.spread() || spec.samePlace())
        && record.hasUnrecordedChanges();
  }

  /** A task was recorded: it counts against the limit while a record names a machine for it. */
  void onTaskRecorded(int task, boolean namesMachine) {
    setCharged(task, namesMachine || placed.containsKey(task));
  }

  /** Lets go of machines that neither a record nor a placement names any more. */
  void removeUnreferencedMachines(Collection<Placement> recorded) {
    Set<Machine> referenced = new HashSet<>();
    recorded.forEach(placement -> referenced.add(placement.machine));
    placed.values().forEach(placement -> referenced.add(placement.machine));
    referencedMachines.removeIf(
        machine -> !referenced.contains(machine) && machine.recordedJobs.remove(this));
  }

  /** A task failed on a machine. Returns whether that speaks against the machine. */
  boolean onTaskFailed(String host, long nowMs) {
    consecutiveFailures++;
    everFailed = true;
    if (!hasRun) {
      failedHosts.add(host);
      faulty |= failedHosts.size() >= Constants.JOB_FAULTY_AFTER;
    }
    int backoffSteps = consecutiveFailures - Constants.JOB_PAUSED_AFTER;
    if (faulty || backoffSteps >= 0) {
      long backoffMs = Constants.JOB_RETRY_MS << Math.max(0, Math.min(10, backoffSteps));
      retryAtMs = nowMs + Math.min(Constants.JOB_RETRY_MAX_MS, backoffMs);
    }
    return hasRun;
  }

  /** A task has run for a while or to its end. Returns whether the job was taken for faulty. */
  boolean onTaskRan() {
    boolean wasFaulty = faulty;
    hasRun = true;
    faulty = false;
    consecutiveFailures = 0;
    failedHosts.clear();
    return wasFaulty;
  }

  /** The job is over: no record of it names a machine. */
  void detachFromMachines() {
    referencedMachines.forEach(machine -> machine.recordedJobs.remove(this));
  }

  int waitingTaskCount() {
    return spec.pieces() - placedOrDoneCount;
  }

  /** Looks for places for the tasks of one side alone; -1: for all. Returns how many wait. */
  int filterBySide(int side) {
    sideFilter = side;
    int count = 0;
    for (int task = nextWaitingTask(0);
        task >= 0 && sideFilter >= 0;
        task = nextWaitingTask(task + 1)) {
      count++;
    }
    return sideFilter < 0 ? waitingTaskCount() : count;
  }

  /** The first waiting task from {@code from} on, of the side that is sought for, or -1. */
  int nextWaitingTask(int from) {
    int task = placedOrDone.nextClearBit(from);
    while (sideFilter >= 0 && task < spec.pieces() && migrationSides.sideOf(task) != sideFilter) {
      task = placedOrDone.nextClearBit(task + 1);
    }
    return task < spec.pieces() ? task : -1;
  }

  /** Whether a machine is of the side that is sought for. */
  boolean matchesSideFilter(Machine machine) {
    return sideFilter < 0 || belongsToSide(sideFilter, machine);
  }

  /** Whether a task is where its side is. */
  boolean isOnAssignedSide(Placement placement) {
    return migrationSides == null
        || belongsToSide(migrationSides.sideOf(placement.task), placement.machine);
  }

  private boolean belongsToSide(int side, Machine machine) {
    return migrationSides.contains(
        side, machine.host, machine.typeLabel, machine.zone, machine.preemptible);
  }

  /** Marks a placement as one that is to go. */
  void markForStop(Placement placement) {
    placement.stopRequested = true;
    withdrawalPending = true;
  }

  /** Takes back starts that are not recorded yet: what they were decided by has changed. */
  void markUnrecordedForStop() {
    for (Placement placement : placed.values()) {
      if (!placement.recorded) {
        markForStop(placement);
      }
    }
  }

  StopMode stopMode() {
    return stopMode;
  }

  /** What a condition makes of its tasks now; null: nothing. A cancelled job stays so. */
  void applyConditionEnd(CutOffAction end) {
    if (stopMode != StopMode.ABANDON) {
      stopMode = end == CutOffAction.STOP ? StopMode.WITHOUT_SAVING : StopMode.SAVE_FIRST;
    }
  }

  /** Its record says that it is cancelled. */
  void cancel() {
    cancelled = true;
    abandon();
  }

  /** It is cancelled, by its record or as its user was told by another controller. */
  void abandon() {
    stopMode = StopMode.ABANDON;
    markAllForStop();
  }

  void markAllForStop() {
    placed.values().forEach(this::markForStop);
  }

  void place(Placement placement) {
    placed.put(placement.task, placement);
    setCharged(placement.task, true);
    setPlacedOrDone(placement.task, true);
    tasksPerZone.addTo(placement.machine.zone, 1);
    placement.machine.add(placement);
    referencedMachines.add(placement.machine);
    placement.machine.recordedJobs.add(this);
  }

  /** Takes a placement away: the task is proven not to be on the machine any more. */
  void removePlacement(Placement placement) {
    if (placed.get(placement.task) == placement) {
      placed.remove(placement.task);
      setPlacedOrDone(placement.task, false);
      tasksPerZone.addTo(placement.machine.zone, -1);
      placement.machine.remove(placement);
    }
  }

  void markDone(int task) {
    doneCount += done.get(task) ? 0 : 1;
    done.set(task);
    setPlacedOrDone(task, true);
  }

  boolean isComplete() {
    return !spec.daemon() && doneCount == spec.pieces();
  }
}
