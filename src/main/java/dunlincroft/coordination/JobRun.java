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

/** An unfinished job at the owner of its shard: which of its tasks are done, placed or waiting. */
final class JobRun {
  /** How tasks of a job are stopped, and whether they may save their work first. */
  enum StopMode {
    /** Tasks save their work first, if the job supports it. */
    SAVE_FIRST,
    /**
     * The time in which tasks may run is over: no task begins to save, but a save in progress may
     * finish.
     */
    WITHOUT_SAVING,
    /** The job is cancelled and its results are not needed: a save in progress is aborted, too. */
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

  /** Whether its tasks may run on spot machines; null until it is first needed. */
  Boolean spotAllowed;

  /**
   * Work in milliseconds that one of its tasks may lose by preemption, as the operators allow; -1
   * until it is first needed.
   */
  long preemptLossMs = -1;

  /**
   * Seconds for which it can still wait and meet its deadline; computed once for each scheduling
   * round.
   */
  double slack;

  /** Whether the job is within its team's guarantee in the present round. */
  boolean isGuaranteed;

  /**
   * Keys and stamps that guard the writes of its starts, as a condition required when the starts
   * were decided.
   */
  Map<String, Long> startGuards = Map.of();

  /**
   * When its tasks must have ended, in milliseconds of wall-clock time; Long.MAX_VALUE: no limit.
   */
  long deadlineMs = Long.MAX_VALUE;

  /** Its starts must not be executed late, and are therefore not sent as direct commands. */
  boolean noLateStart;

  /** Assignment of its tasks to the two sides of a migration; null: none. */
  MigrationSides migrationSides;

  /** The migration side that placement is limited to at present; -1: no limit. */
  private int sideFilter = -1;

  private StopMode stopMode = StopMode.SAVE_FIRST;

  /**
   * Acceptance time of a job that is overdue and goes before the usual order; else Long.MAX_VALUE.
   */
  long overdueAcceptedAt = Long.MAX_VALUE;

  /** Its requirements on a machine, by which a round remembers what found no free capacity. */
  Scheduler.PlacementRequest placementRequest;

  /** Shard and team, as one key: the job counts against this shard's share of the team's limit. */
  final String limitKey;

  /** The recorded state, and the changes that are not recorded yet. */
  final JobRecord record;

  /**
   * Tasks that are placed or done. They are counted as well, because every scheduling round needs
   * their number for each job.
   */
  private final BitSet placedOrDone = new BitSet();

  private int placedOrDoneCount;
  private int doneCount;

  /**
   * Tasks that count against the team's limit: those that are placed now and those that a record
   * still names. An owner that takes over runs the tasks that records name; if capacity were given
   * away before the record was updated, all records together could exceed the limit.
   */
  private final BitSet chargedTasks = new BitSet();

  private int chargedCount;

  /** Machines that a record or a placement of the job may name. */
  private final Set<Machine> referencedMachines = new HashSet<>();

  boolean cancelled;

  /** The final state is being written. */
  boolean finishing;

  /**
   * A placement was marked for stop since {@code PlacementLog.withdrawUnsent} last found none to
   * withdraw.
   */
  boolean withdrawalPending;

  /** Failures in a row, which determine the delay before the next attempt. */
  private int consecutiveFailures;

  /** Earliest time of the next attempt after failures. */
  long retryAtMs;

  /** Some machine is excluded for the job because a task of it failed there. */
  boolean everFailed;

  /** Whether a machine on which no task of it failed could run it, and the round that asked. */
  boolean hasTrustedMachine;

  long trustCheckedAtMs = -1;

  /**
   * Machines on which its tasks failed; empty once a task of it has run, as the fault is then not
   * the job's.
   */
  private final Set<String> failedHosts = new HashSet<>();

  /**
   * Whether a task of it has run for a while, or to its end, since this owner acquired the shard.
   */
  private boolean hasRun;

  /**
   * Considered faulty: its tasks have failed on several machines and run on none. It runs one task
   * at a time until one of them runs well.
   */
  boolean faulty;

  /** Since when a task waits for free capacity; -1: none does. */
  long waitingSince = -1;

  /** When a task of it was last placed, in milliseconds; 0: never. */
  long lastPlacedAtMs;

  /** Earliest time of the next search for tasks to preempt, as each search scans all machines. */
  long nextPreemptionAt;

  JobRun(String id, JobSpec spec, String shard, int pageTasks, long acceptedAt) {
    this.id = id;
    this.spec = spec;
    this.shard = shard;
    this.pageTasks = pageTasks;
    this.acceptedAt = acceptedAt;
    this.limitKey = limitKey(shard, spec.team());
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

  int doneTaskCount() {
    return doneCount;
  }

  // ---- the record ----

  void markDirty(int task, long nowMs, boolean isStart) {
    record.markDirty(task, nowMs, isStart);
  }

  /** Restores the state from the records. */
  void load(JobIndex.Job recordedJob) {
    faulty = recordedJob.faulty();
    hasRun = !faulty && recordedJob.doneCount() > 0;
    recordedJob.doneTasks().stream().forEach(this::markDone);
    record.load(recordedJob);
  }

  /** Adds a placement that a record names. */
  void placeRecorded(Placement placement) {
    placement.recorded = true;
    place(placement);
    record.addRecordedPlacement(placement);
  }

  /**
   * Whether placement must wait until all changes are recorded. The entries of a job that is too
   * large for one slot of the log may disagree on where its tasks are, which matters to a job that
   * is spread over zones or kept in one place.
   */
  boolean mustAwaitLog() {
    return record.hasManyPages()
        && (spec.spreadZones() || spec.sameZone())
        && record.hasUnrecordedChanges();
  }

  /**
   * The state of a task was recorded. It counts against the limit while a record names a machine
   * for it.
   */
  void onTaskRecorded(int task, boolean namesMachine) {
    setCharged(task, namesMachine || placed.containsKey(task));
  }

  /** Removes machines that neither a record nor a placement names any more. */
  void removeUnreferencedMachines(Collection<Placement> recorded) {
    Set<Machine> referenced = new HashSet<>();
    recorded.forEach(placement -> referenced.add(placement.machine));
    placed.values().forEach(placement -> referenced.add(placement.machine));
    referencedMachines.removeIf(
        machine -> !referenced.contains(machine) && machine.recordedJobs.remove(this));
  }

  /**
   * Counts a failed task and delays the next attempt. Returns whether the failure counts against
   * the machine, which it does if a task of the job has run well before.
   */
  boolean onTaskFailed(String host, long nowMs) {
    consecutiveFailures++;
    everFailed = true;
    if (!hasRun) {
      failedHosts.add(host);
      faulty |= failedHosts.size() >= Constants.FAULTY_JOB_MACHINES;
    }
    int backoffSteps = consecutiveFailures - Constants.JOB_BACKOFF_FAILURES;
    if (faulty || backoffSteps >= 0) {
      long backoffMs = Constants.JOB_BACKOFF_MS << Math.max(0, Math.min(10, backoffSteps));
      retryAtMs = nowMs + Math.min(Constants.MAX_JOB_BACKOFF_MS, backoffMs);
    }
    return hasRun;
  }

  /**
   * A task has run for a while or to its end. Returns whether the job was considered faulty until
   * now.
   */
  boolean onTaskRan() {
    boolean wasFaulty = faulty;
    hasRun = true;
    faulty = false;
    consecutiveFailures = 0;
    failedHosts.clear();
    return wasFaulty;
  }

  /** The job has ended: no record of it names a machine any more. */
  void detachFromMachines() {
    referencedMachines.forEach(machine -> machine.recordedJobs.remove(this));
  }

  int waitingTaskCount() {
    return spec.taskCount() - placedOrDoneCount;
  }

  /**
   * Limits placement to the tasks of one migration side; -1: no limit. Returns the number of
   * waiting tasks within this limit.
   */
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

  /** The first waiting task from {@code from} on that passes the side filter, or -1. */
  int nextWaitingTask(int from) {
    int task = placedOrDone.nextClearBit(from);
    while (sideFilter >= 0
        && task < spec.taskCount()
        && migrationSides.sideOf(task) != sideFilter) {
      task = placedOrDone.nextClearBit(task + 1);
    }
    return task < spec.taskCount() ? task : -1;
  }

  /** Whether a machine passes the side filter. */
  boolean matchesSideFilter(Machine machine) {
    return sideFilter < 0 || belongsToSide(sideFilter, machine);
  }

  /** Whether a task is on a machine of the migration side that it belongs to. */
  boolean isOnAssignedSide(Placement placement) {
    return migrationSides == null
        || belongsToSide(migrationSides.sideOf(placement.task), placement.machine);
  }

  private boolean belongsToSide(int side, Machine machine) {
    return migrationSides.contains(
        side, machine.host, machine.typeLabel, machine.zone, machine.preemptible);
  }

  /** Marks a placement to be stopped, or to be withdrawn if its start was not sent yet. */
  void markForStop(Placement placement) {
    placement.stopRequested = true;
    withdrawalPending = true;
  }

  /**
   * Withdraws starts that are not recorded yet, because the conditions on which they were decided
   * have changed.
   */
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

  /**
   * Sets how tasks are stopped according to a condition; null: no condition applies. A cancelled
   * job stays cancelled.
   */
  void applyConditionEnd(CutOffAction end) {
    if (stopMode != StopMode.ABANDON) {
      stopMode = end == CutOffAction.STOP ? StopMode.WITHOUT_SAVING : StopMode.SAVE_FIRST;
    }
  }

  /** Cancels the job, as its record says. */
  void cancel() {
    cancelled = true;
    abandon();
  }

  /**
   * Stops all tasks without saving: the job is cancelled, by its record or by what another
   * controller told its user.
   */
  void abandon() {
    stopMode = StopMode.ABANDON;
    markAllForStop();
  }

  void markAllForStop() {
    placed.values().forEach(this::markForStop);
  }

  void place(Placement placement) {
    placed.put(placement.task, placement);
    lastPlacedAtMs = Math.max(lastPlacedAtMs, placement.placedAtMs);
    setCharged(placement.task, true);
    setPlacedOrDone(placement.task, true);
    tasksPerZone.addTo(placement.machine.zone, 1);
    placement.machine.add(placement);
    referencedMachines.add(placement.machine);
    placement.machine.recordedJobs.add(this);
  }

  /** Removes a placement whose task is proven to be absent from the machine. */
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
    return !spec.isService() && doneCount == spec.taskCount();
  }
}
