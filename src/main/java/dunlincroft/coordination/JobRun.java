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
  final Object2IntOpenHashMap<String> perZone = new Object2IntOpenHashMap<>();

  /** Whether it may go to spot machines, once somebody asked. */
  Boolean spot;

  /** What the operators let one of its tasks lose, once somebody asked. */
  long preemptLossMs = -1;

  /** Where it stands in the order of the present round; worked out once for each. */
  double slack;

  boolean within;

  /** What its starts must be guarded by, as a condition said when they were decided. */
  Map<String, Long> guards = Map.of();

  /** When its tasks must be over, in milliseconds of the time of day; Long.MAX_VALUE: whenever. */
  long endsByMs = Long.MAX_VALUE;

  /** Its starts may not be executed late. */
  boolean strict;

  /** The sides that its tasks are shared out over; null: none. */
  MigrationSides sides;

  /** The side for which places are sought at present. */
  private int side = -1;

  /** How its tasks are stopped. */
  private StopMode stopMode = StopMode.SAVE_FIRST;

  /** When it was accepted, if it has waited too long for that order; else Long.MAX_VALUE. */
  long overdueSince = Long.MAX_VALUE;

  /** What it wants of a machine, for the memory of what found no room in a round. */
  Scheduler.PlacementRequest wish;

  /** Its shard and team, as one text: whose part of the limit it counts against. */
  final String limitKey;

  /** What is recorded of it, and what is not yet. */
  final JobRecord record;

  /** Tasks that are placed or done; and how many, as every round asks for each job. */
  private final BitSet busy = new BitSet();

  private int busyCount;
  private int doneCount;

  /**
   * Tasks that count against the team's limit: placed now, or still named by a record. A holder
   * that takes over runs what records name; were room given away before the record lets go of it,
   * the records together could exceed the limit.
   */
  private final BitSet booked = new BitSet();

  private int bookedCount;

  /** Machines that a record may name. */
  private final Set<Machine> hosts = new HashSet<>();

  boolean cancelled;

  boolean finishing;

  /** Some placement has been told to go since withdrawUnsent last found none to take back. */
  boolean halting;

  /** Failures in a row, and when the next try may be made. */
  private int failures;

  long retryAtMs;

  /** Some machine is kept from the job since a task of it failed there. */
  boolean everFailed;

  /** Machines that it failed on; none once a task of it has run, as the fault is not the job's. */
  private final Set<String> failedOn = new HashSet<>();

  /** A task of it has run for a while, or to its end, since this holder began. */
  private boolean ran;

  /** Fails wherever it goes, as far as is known: it gets one machine at a time until it is not. */
  boolean faulty;

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
    this.limitKey = limitKey(shard, spec.owner());
    this.record = new JobRecord(this);
  }

  static String limitKey(String shard, String team) {
    return shard + "/" + team;
  }

  int booked() {
    return bookedCount;
  }

  private void book(int task, boolean is) {
    if (booked.get(task) != is) {
      booked.set(task, is);
      bookedCount += is ? 1 : -1;
    }
  }

  private void busy(int task, boolean is) {
    if (busy.get(task) != is) {
      busy.set(task, is);
      busyCount += is ? 1 : -1;
    }
  }

  /** Whether any task of it is placed or done. */
  boolean begun() {
    return busyCount > 0;
  }

  /** Tasks that are done. */
  int doneTasks() {
    return doneCount;
  }

  // ---- the record ----

  void dirty(int task, long nowMs, boolean forStart) {
    record.dirty(task, nowMs, forStart);
  }

  /** Takes over what the records say. */
  void load(JobIndex.Job from) {
    faulty = from.faulty();
    ran = !faulty && from.doneCount() > 0;
    from.doneTasks().stream().forEach(this::finish);
    record.load(from);
  }

  /** A placement that a record names. */
  void placeRecorded(Placement p) {
    p.recorded = true;
    place(p);
    record.names(p);
  }

  /**
   * Entries of a job too large for one slot may disagree on where its tasks are: wait for the last.
   */
  boolean unsettled() {
    return record.hasManyPages() && (spec.spread() || spec.samePlace()) && record.hasChanges();
  }

  /** A task was recorded: it counts against the limit while a record names a machine for it. */
  void recorded(int task, boolean named) {
    book(task, named || placed.containsKey(task));
  }

  /** Lets go of machines that neither a record nor a placement names any more. */
  void forgetMachinesBut(Collection<Placement> recorded) {
    Set<Machine> still = new HashSet<>();
    recorded.forEach(p -> still.add(p.machine));
    placed.values().forEach(p -> still.add(p.machine));
    hosts.removeIf(machine -> !still.contains(machine) && machine.recordedJobs.remove(this));
  }

  /** A task failed on a machine. Returns whether that speaks against the machine. */
  boolean failed(String host, long nowMs) {
    failures++;
    everFailed = true;
    if (!ran) {
      failedOn.add(host);
      faulty |= failedOn.size() >= Constants.JOB_FAULTY_AFTER;
    }
    int pauses = failures - Constants.JOB_PAUSED_AFTER;
    if (faulty || pauses >= 0) {
      long pause = Constants.JOB_RETRY_MS << Math.max(0, Math.min(10, pauses));
      retryAtMs = nowMs + Math.min(Constants.JOB_RETRY_MAX_MS, pause);
    }
    return ran;
  }

  /** A task has run for a while or to its end. Returns whether the job was taken for faulty. */
  boolean ranWell() {
    boolean was = faulty;
    ran = true;
    faulty = false;
    failures = 0;
    failedOn.clear();
    return was;
  }

  /** The job is over: no record of it names a machine. */
  void forget() {
    hosts.forEach(machine -> machine.recordedJobs.remove(this));
  }

  int waiting() {
    return spec.pieces() - busyCount;
  }

  /** Looks for places for the tasks of one side alone; -1: for all. Returns how many wait. */
  int seek(int wanted) {
    side = wanted;
    int n = 0;
    for (int task = nextWaiting(0); task >= 0 && side >= 0; task = nextWaiting(task + 1)) {
      n++;
    }
    return side < 0 ? waiting() : n;
  }

  /** The first waiting task from {@code from} on, of the side that is sought for, or -1. */
  int nextWaiting(int from) {
    int task = busy.nextClearBit(from);
    while (side >= 0 && task < spec.pieces() && sides.sideOf(task) != side) {
      task = busy.nextClearBit(task + 1);
    }
    return task < spec.pieces() ? task : -1;
  }

  /** Whether a machine is of the side that is sought for. */
  boolean seeks(Machine machine) {
    return side < 0 || has(side, machine);
  }

  /** Whether a task is where its side is. */
  boolean onItsSide(Placement p) {
    return sides == null || has(sides.sideOf(p.task), p.machine);
  }

  private boolean has(int wanted, Machine machine) {
    return sides.contains(
        wanted, machine.host, machine.typeLabel, machine.zone, machine.preemptible);
  }

  /** Marks a placement as one that is to go. */
  void halt(Placement p) {
    p.stopRequested = true;
    halting = true;
  }

  /** Takes back starts that are not recorded yet: what they were decided by has changed. */
  void haltUnrecorded() {
    for (Placement p : placed.values()) {
      if (!p.recorded) {
        halt(p);
      }
    }
  }

  StopMode stopMode() {
    return stopMode;
  }

  /** What a condition makes of its tasks now; null: nothing. A cancelled job stays so. */
  void endedBy(CutOffAction end) {
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
    haltAll();
  }

  void haltAll() {
    placed.values().forEach(this::halt);
  }

  void place(Placement p) {
    placed.put(p.task, p);
    book(p.task, true);
    busy(p.task, true);
    perZone.addTo(p.machine.zone, 1);
    p.machine.add(p);
    hosts.add(p.machine);
    p.machine.recordedJobs.add(this);
  }

  /** Takes a placement away: the task is proven not to be on the machine any more. */
  void clear(Placement p) {
    if (placed.get(p.task) == p) {
      placed.remove(p.task);
      busy(p.task, false);
      perZone.addTo(p.machine.zone, -1);
      p.machine.remove(p);
    }
  }

  void finish(int task) {
    doneCount += done.get(task) ? 0 : 1;
    done.set(task);
    busy(task, true);
  }

  boolean complete() {
    return !spec.daemon() && doneCount == spec.pieces();
  }
}
