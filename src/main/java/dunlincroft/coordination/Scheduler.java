package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.conditions.MigrationSides;
import dunlincroft.coordination.Machine.ImageState;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places waiting tasks on machines. A task goes to the first suitable machine clockwise from the
 * hash of its image whose load, plus a random buffer of by default at most one task's resources,
 * stays within the load bound. The load is what the machine's last report and the placements
 * recorded since then add up to.
 */
final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  private final Reservations reservations = new Reservations();
  private final ClusterState cluster;
  private final PlacementLog placementLog;
  private final StartConditions startConditions;

  /** An overdue job first starts at most one in this many of its tasks. */
  private static final int OVERDUE_START_DIVISOR = 8;

  /**
   * How long work must have found no room before it may use what is reserved for services, in
   * milliseconds: longer than a machine takes to boot, shorter than work may wait beside room.
   */
  private static final long SERVICE_RESERVE_AFTER_MS = 60_000;

  /** Requests that found no machine in the current round. */
  private final List<PlacementRequest> unplaceable = new ArrayList<>();

  /** When the current round began. */
  private long roundStartMs;

  /** Whether any waiting task may fit on any machine in the current round. */
  private boolean anyMachineAvailable;

  /**
   * Ids of jobs within their teams' guarantees, refreshed every {@link
   * Constants#GUARANTEE_REFRESH_MS}.
   */
  private Set<String> cachedGuaranteedIds = Set.of();

  private long nextGuaranteeRefreshMs;

  Scheduler(ClusterState cluster, PlacementLog placementLog, StartConditions startConditions) {
    this.cluster = cluster;
    this.placementLog = placementLog;
    this.startConditions = startConditions;
  }

  /**
   * Runs one round over all waiting work, or over services (rank PROD) alone, which must not wait
   * for the pause after a long round. Returns the machines on which tasks are to be stopped.
   */
  Set<Machine> place(boolean servicesOnly) {
    long now = cluster.now();
    roundStartMs = now;
    Set<Machine> machinesWithStops = new LinkedHashSet<>();
    Map<String, Resources> remainingShares = new HashMap<>();
    Map<String, Resources> usageByLimit = new HashMap<>();
    Set<String> expeditedTeams = new HashSet<>();
    List<JobRun> waiting = new ArrayList<>();
    for (JobRun job : cluster.jobs.values()) {
      if (job.chargedTaskCount() > 0) {
        usageByLimit.merge(
            job.limitKey, job.spec.resources().times(job.chargedTaskCount()), Resources::plus);
      }
      if (job.cancelled || job.finishing || job.waitingTaskCount() == 0) {
        job.waitingSince = -1;
      } else if (now >= job.retryAtMs && (!servicesOnly || job.spec.rank() == Rank.PROD)) {
        if (startConditions.mayStart(job)) {
          waiting.add(job);
        } else {
          job.waitingSince = -1;
        }
      }
    }
    reservations.retainWaiting(waiting, servicesOnly);
    if (waiting.isEmpty()) {
      return machinesWithStops; // The usual case on controllers that own no machines.
    }
    Set<String> guaranteedIds = servicesOnly ? Set.of() : guaranteedJobIds();
    sort(waiting, guaranteedIds);
    unplaceable.clear();
    markAvailableMachines(waiting);
    for (JobRun job : waiting) {
      Resources remaining =
          remainingShares.computeIfAbsent(
              job.limitKey,
              key ->
                  cluster
                      .usableShare(job.spec.team(), job.shard)
                      .minus(usageByLimit.getOrDefault(key, Resources.NONE)));
      int maxStarts = job.spec.resources().countIn(remaining, job.waitingTaskCount());
      if (job.faulty) {
        maxStarts = Math.max(0, Math.min(maxStarts, 1 - job.placed.size()));
      }
      if (maxStarts < job.waitingTaskCount() && expeditedTeams.add(job.spec.team())) {
        placementLog.expedite(job.spec.team());
      }
      if (job.overdueAcceptedAt < Long.MAX_VALUE && !job.hasStarted()) {
        // An overdue job only needs to start: if a large one placed all its tasks now, it would
        // delay the jobs after it.
        maxStarts =
            Math.min(
                maxStarts,
                (job.spec.taskCount() + OVERDUE_START_DIVISOR - 1) / OVERDUE_START_DIVISOR);
      }
      if (job.mustAwaitLog()) {
        placementLog.expedite(job);
        maxStarts = 0;
      }
      int placed =
          maxStarts == 0
              ? 0
              : job.migrationSides == null
                  ? placeJob(job, maxStarts, now)
                  : placeByMigrationSide(job, maxStarts);
      if (placed > 0) {
        remainingShares.put(job.limitKey, remaining.minus(job.spec.resources().times(placed)));
      }
      if (placed == maxStarts) {
        job.waitingSince = -1;
        reservations.release(job);
        continue;
      }
      if (job.waitingSince < 0) {
        job.waitingSince = now;
      }
      if (placed < maxStarts) {
        preempt(job, maxStarts - placed, guaranteedIds, now, machinesWithStops);
      }
    }
    return machinesWithStops;
  }

  /**
   * Marks the machines on which the smallest waiting task may fit. The rest of the round skips all
   * other machines cheaply, as free capacity only shrinks within a round.
   */
  private void markAvailableMachines(List<JobRun> waiting) {
    Resources smallest = waiting.get(0).spec.resources();
    for (JobRun job : waiting) {
      smallest = job.spec.resources().cpu() < smallest.cpu() ? job.spec.resources() : smallest;
    }
    anyMachineAvailable = false;
    for (Machine machine : cluster.machines.values()) {
      machine.isCandidate =
          machine.type != null
              && machine.mayFit(smallest, cluster.reservedCpu(machine, true))
              && cluster.isUsable(machine, roundStartMs);
      anyMachineAvailable |= machine.isCandidate;
    }
  }

  // ---- order of waiting work ----

  /**
   * Ids of jobs that fit into their team's guarantee together with the team's earlier jobs.
   * Computed from the records of all shards: a guarantee belongs to the team, whichever nodes own
   * its jobs.
   */
  private Set<String> guaranteedJobIds() {
    if (roundStartMs >= nextGuaranteeRefreshMs) {
      nextGuaranteeRefreshMs = roundStartMs + Constants.GUARANTEE_REFRESH_MS;
      cachedGuaranteedIds = computeGuaranteedJobIds();
    }
    return cachedGuaranteedIds;
  }

  private Set<String> computeGuaranteedJobIds() {
    List<JobIndex.Job> byAge = new ArrayList<>(cluster.jobIndex.all().values());
    byAge.sort(Comparator.comparingLong((JobIndex.Job job) -> job.acceptedAt));
    Map<String, Resources> usageByTeam = new HashMap<>();
    Set<String> guaranteedIds = new HashSet<>();
    for (JobIndex.Job job : byAge) {
      Settings.Team team = cluster.settings.teams().get(job.spec.team());
      if (team == null
          || cluster.replica.get(Replica.CANCELS, job.spec.ref()) != null
          || !cluster.needsMachines(job.spec)) {
        continue;
      }
      long openTasks = job.runnableTasks();
      Resources sum =
          usageByTeam
              .getOrDefault(team.name(), Resources.NONE)
              .plus(job.spec.resources().times(openTasks));
      usageByTeam.put(team.name(), sum);
      if (sum.fitsInto(team.guarantee()) && !job.faulty()) {
        guaranteedIds.add(job.spec.ref());
      }
    }
    return guaranteedIds;
  }

  private static final Comparator<JobRun> ORDER =
      Comparator.comparing((JobRun job) -> job.spec.rank() != Rank.PROD)
          .thenComparingLong(job -> job.overdueAcceptedAt)
          .thenComparing(job -> !job.isGuaranteed)
          .thenComparingDouble(job -> job.slack)
          .thenComparing(job -> job.spec.rank())
          .thenComparingLong(job -> job.acceptedAt)
          .thenComparing(job -> job.id);

  private void sort(List<JobRun> waiting, Set<String> guaranteedIds) {
    long wallMs = cluster.env.wallMillis();
    for (JobRun job : waiting) {
      job.slack = slack(job, wallMs);
      job.isGuaranteed = guaranteedIds.contains(job.id);
      job.overdueAcceptedAt = isOverdue(job, wallMs) ? job.acceptedAt : Long.MAX_VALUE;
    }
    waiting.sort(ORDER);
  }

  /**
   * Whether a job has waited too long for its first start or, once started, for its last task. This
   * bounds the wait whatever rank, guarantee and slack other jobs have: otherwise a job that has
   * missed its deadline would starve behind jobs that can still meet theirs, and a large job behind
   * small ones.
   */
  private static boolean isOverdue(JobRun job, long wallMs) {
    long ageMs = wallMs - job.acceptedAt;
    return !job.faulty
        && ageMs > (job.hasStarted() ? Constants.FINISH_OVERDUE_MS : Constants.START_OVERDUE_MS);
  }

  /**
   * Seconds that a job can still wait and meet its deadline: the earliest of its own deadline, the
   * end set by start conditions, and the operators' target for its job class. A deadline that can
   * no longer be met is ignored, so that jobs which can still meet theirs come first.
   */
  private double slack(JobRun job, long wallMs) {
    double ageS = (wallMs - job.acceptedAt) / 1000.0;
    double slackS = job.spec.deadlineS() - job.spec.estimatedRunS() - ageS;
    if (job.deadlineMs < Long.MAX_VALUE) {
      slackS = Math.min(slackS, (job.deadlineMs - wallMs) / 1000.0 - job.spec.estimatedRunS());
    }
    if (slackS < -job.spec.estimatedRunS() / 2) {
      slackS = JobSpec.NO_DEADLINE;
    }
    for (Settings.Objective hope : cluster.settings.objectives()) {
      double secondsLeft = hope.completeWithinS() - job.spec.estimatedRunS() - ageS;
      if (hope.jobclass().equals(job.spec.jobclass())
          && secondsLeft > -job.spec.estimatedRunS() / 2) {
        slackS = Math.min(slackS, secondsLeft);
      }
    }
    return slackS;
  }

  // ---- choosing machines ----

  /** Free capacity for a job's tasks on a machine, or null if the machine is not suitable. */
  private Resources usableCapacity(JobRun job, Machine machine) {
    return machine.mayFit(job.spec.resources(), reservedCpu(job, machine))
            && isSuitable(job, machine)
        ? freeCapacity(job, machine)
        : null;
  }

  private boolean isAllowed(JobRun job, Machine machine) {
    return cluster.isUsable(machine, roundStartMs)
        && machine.shard.equals(job.shard)
        && cluster.allows(job, machine)
        && job.matchesSideFilter(machine);
  }

  private boolean isSuitable(JobRun job, Machine machine) {
    return isAllowed(job, machine)
        && (!machine.isDistrustedBy(job, roundStartMs) || !hasTrustedMachine(job));
  }

  /**
   * Whether some other machine could run the job's tasks, however full it is now. A job without any
   * goes back to the machines on which it has failed, with growing pauses.
   */
  private boolean hasTrustedMachine(JobRun job) {
    if (job.trustCheckedAtMs != roundStartMs) {
      job.trustCheckedAtMs = roundStartMs;
      job.hasTrustedMachine =
          cluster.machines.values().stream()
              .anyMatch(
                  machine ->
                      isAllowed(job, machine)
                          && job.spec.resources().fitsInto(machine.type.resources())
                          && !machine.isDistrustedBy(job, roundStartMs));
    }
    return job.hasTrustedMachine;
  }

  private Resources freeCapacity(JobRun job, Machine machine) {
    return machine.free().minus(new Resources(reservedCpu(job, machine), 0, 0));
  }

  private long reservedCpu(JobRun job, Machine machine) {
    return machine.type == null ? 0 : cluster.reservedCpu(machine, mayUseServiceReserve(job));
  }

  private PlacementRequest placementRequest(JobRun job) {
    boolean usesReserve = mayUseServiceReserve(job);
    if (job.placementRequest == null || job.placementRequest.usesReserve != usesReserve) {
      job.placementRequest = PlacementRequest.of(job, cluster.allowsSpot(job), usesReserve);
    }
    return job.placementRequest;
  }

  /**
   * Whether a job may use the capacity that is reserved for services: services may, and other work
   * that has found no room for so long that none can be rented for it. Services preempt it.
   */
  private boolean mayUseServiceReserve(JobRun job) {
    return job.spec.rank() == Rank.PROD
        || (job.waitingSince >= 0
            && roundStartMs - Math.max(job.waitingSince, job.lastPlacedAtMs)
                >= SERVICE_RESERVE_AFTER_MS);
  }

  /** Constraints and resources of work that found no machine in this round. */
  record PlacementRequest(
      String shard,
      boolean spot,
      boolean usesReserve,
      List<String> types,
      String zone,
      Resources resources) {
    static PlacementRequest of(JobRun job, boolean spot, boolean usesReserve) {
      JobSpec spec = job.spec;
      return new PlacementRequest(
          job.shard, spot, usesReserve, spec.machineTypes(), spec.requiredZone(), spec.resources());
    }

    /** Whether no machine for this request implies that there is none for the other one. */
    boolean covers(PlacementRequest other) {
      return shard.equals(other.shard)
          && spot == other.spot
          && usesReserve == other.usesReserve
          && Objects.equals(types, other.types)
          && Objects.equals(zone, other.zone)
          && resources.fitsInto(other.resources);
    }
  }

  /**
   * Places the tasks of each migration side on machines of that side; tasks without capacity there
   * wait.
   */
  private int placeByMigrationSide(JobRun job, int maxTasks) {
    int placed = 0;
    for (int side : new int[] {MigrationSides.OLD, MigrationSides.NEW}) {
      int waiting = Math.min(maxTasks - placed, job.filterBySide(side));
      // Unplaceable requests are remembered for both sides together, never for one side alone.
      placed += waiting == 0 ? 0 : placeJob(job, waiting, roundStartMs);
    }
    job.filterBySide(-1);
    return placed;
  }

  /** Places at most {@code maxTasks} tasks of a job. Returns how many it placed. */
  private int placeJob(JobRun job, int maxTasks, long now) {
    if (!anyMachineAvailable) {
      return 0;
    }
    PlacementRequest request = placementRequest(job);
    for (PlacementRequest other : unplaceable) {
      if (other.covers(request)) {
        return 0;
      }
    }
    List<Machine> ordered = candidates(job);
    if (ordered.isEmpty()) {
      if (!job.everFailed && job.migrationSides == null) {
        unplaceable.add(request); // A job that failed may use fewer machines than similar ones.
      }
      return 0;
    }
    int placed = 0;
    if (job.spec.sameZone() && job.spec.taskCount() > 1) {
      String zone = commonZone(job, ordered);
      ordered = ordered.stream().filter(machine -> machine.zone.equals(zone)).toList();
    }
    if (job.spec.spreadZones() && job.spec.taskCount() > 1) {
      Collection<List<Machine>> groups = groupByImageState(job, ordered);
      while (placed < maxTasks && placeSpread(job, groups, now)) {
        placed++;
      }
      return placed;
    }
    // With the random buffer first, then wherever exactly enough is free.
    for (boolean buffered : new boolean[] {true, false}) {
      for (List<Machine> machineGroup : groupByImageState(job, ordered)) {
        for (Machine machine : machineGroup) {
          if (placed == maxTasks) {
            return placed;
          }
          placed += fill(job, machine, maxTasks - placed, buffered, now);
        }
      }
    }
    return placed;
  }

  /**
   * Groups machines by how soon the image can be available there, in the ring's order within each
   * group. Concurrent fetches share a machine's bandwidth, so that all of them are late: a machine
   * that is already fetching another image is skipped, except for services that have waited for
   * some time.
   */
  private Collection<List<Machine>> groupByImageState(JobRun job, List<Machine> ordered) {
    Map<ImageState, List<Machine>> groups = new EnumMap<>(ImageState.class);
    for (Machine machine : ordered) {
      ImageState imageState = machine.imageState(job.spec.image());
      if (imageState != ImageState.CONTENDED || mayStartConcurrentFetch(job)) {
        groups.computeIfAbsent(imageState, w -> new ArrayList<>()).add(machine);
      }
    }
    return groups.values();
  }

  /**
   * Machines with free capacity for a task, clockwise from the image's hash. Work that may use spot
   * machines goes to those first and to machines with services last. Services are packed together,
   * so that other machines can be returned, but leave the capacity that the services of a lost zone
   * would need on machines that have their images.
   */
  private List<Machine> candidates(JobRun job) {
    boolean spot = cluster.allowsSpot(job);
    List<Machine> preferred = new ArrayList<>();
    List<Machine> acceptable = new ArrayList<>();
    List<Machine> lastResort = new ArrayList<>();
    for (Machine machine : cluster.preferenceList(job.spec.image())) {
      Resources free = machine.isCandidate ? usableCapacity(job, machine) : null;
      if (free == null || !job.spec.resources().fitsInto(free)) {
        continue;
      }
      if (job.spec.isService()) {
        boolean leavesFailoverCapacity = machine.leavesZoneFailoverCapacity(job.spec.resources());
        (!machine.hasService() ? acceptable : leavesFailoverCapacity ? preferred : lastResort)
            .add(machine);
      } else if (spot) {
        (machine.preemptible ? preferred : machine.hasService() ? lastResort : acceptable)
            .add(machine);
      } else {
        preferred.add(machine);
      }
    }
    preferred.addAll(acceptable);
    preferred.addAll(lastResort);
    return preferred;
  }

  /**
   * Whether a job has waited long enough to fetch its image on a machine that is already fetching
   * others.
   */
  private boolean mayStartConcurrentFetch(JobRun job) {
    return job.spec.rank() == Rank.PROD
        && job.waitingSince >= 0
        && roundStartMs - job.waitingSince > Constants.CONCURRENT_FETCH_AFTER_MS;
  }

  /**
   * Places as many tasks of a job on a machine as fit there, at most {@code maxTasks}. Returns how
   * many it placed.
   */
  private int fill(JobRun job, Machine machine, int maxTasks, boolean buffered, long now) {
    Resources free = usableCapacity(job, machine);
    if (free == null) {
      return 0;
    }
    if (buffered) {
      Resources perTask = job.spec.resources();
      double bufferFraction =
          cluster.env.random().nextDouble() * cluster.policy.maxPlacementBuffer(job.spec);
      free =
          free.minus(
              new Resources(
                  (long) (perTask.cpu() * bufferFraction),
                  (long) (perTask.gpu() * bufferFraction),
                  (long) (perTask.ram() * bufferFraction)));
    }
    int zoneLimit = job.spec.maxTasksPerZone() - job.tasksPerZone.getInt(machine.zone);
    int fitting = job.spec.resources().countIn(free, Math.min(maxTasks, zoneLimit));
    if (fitting <= 0) {
      return 0;
    }
    long attempt = cluster.nextAttempt(job.shard);
    int task = 0;
    for (int i = 0; i < fitting; i++) {
      task = job.nextWaitingTask(task);
      Placement placement = new Placement(job, task, machine, attempt, now);
      job.place(placement);
      machine.idleSinceMs = -1;
      placementLog.markDirty(job, task, true);
      LOG.debug("{} attempt {} placed on host {}", placement.taskName(), attempt, machine.host);
    }
    return fitting;
  }

  /**
   * Places one replica: in the zone with the fewest of the job's tasks first, and in the ring's
   * order within the zone.
   */
  private boolean placeSpread(JobRun job, Collection<List<Machine>> groups, long now) {
    List<String> zones =
        groups.stream()
            .flatMap(List::stream)
            .map(machine -> machine.zone)
            .distinct()
            .sorted(Comparator.comparingInt(job.tasksPerZone::getInt))
            .toList();
    for (List<Machine> machineGroup : groups) {
      for (String zone : zones) {
        for (Machine machine : machineGroup) {
          if (machine.zone.equals(zone) && fill(job, machine, 1, false, now) == 1) {
            return true;
          }
        }
      }
    }
    return false;
  }

  /** The zone of the job's placed tasks, or the zone in which most of its tasks fit. */
  private String commonZone(JobRun job, List<Machine> ordered) {
    for (Placement p : job.placed.values()) {
      return p.machine.zone;
    }
    Map<String, Integer> tasksPerZone = new HashMap<>();
    String best = ordered.get(0).zone;
    for (Machine machine : ordered) {
      Resources free = usableCapacity(job, machine);
      int tasksHere = free == null ? 0 : job.spec.resources().countIn(free, job.spec.taskCount());
      tasksPerZone.merge(machine.zone, tasksHere, Integer::sum);
      if (tasksPerZone.get(machine.zone) > tasksPerZone.getOrDefault(best, 0)) {
        best = machine.zone;
      }
    }
    return best;
  }

  // ---- preemption ----

  /**
   * Stops work of lower priority where that lets waiting work start, beginning with the least lost
   * work.
   */
  private void preempt(
      JobRun job,
      int tasksNeeded,
      Set<String> guaranteedIds,
      long now,
      Set<Machine> machinesWithStops) {
    boolean guaranteed = guaranteedIds.contains(job.id);
    long minWaitMs =
        job.spec.rank() == Rank.PROD
            ? Constants.SERVICE_PREEMPT_AFTER_MS
            : Constants.GUARANTEE_PREEMPT_AFTER_MS;
    if (now - job.waitingSince < minWaitMs
        || now < job.nextPreemptionAt
        || (job.spec.rank() != Rank.PROD && !guaranteed)) {
      return;
    }
    job.nextPreemptionAt =
        now + (job.spec.rank() == Rank.PROD ? minWaitMs : Constants.PREEMPT_PAUSE_MS);
    reservations.release(job);
    if (job.spec.spreadZones() && job.spec.taskCount() > 1) {
      // Capacity in a zone that already has its maximum of the job's tasks is of no use to the job.
      int remaining = tasksNeeded;
      for (String zone : zonesByTaskCount(job)) {
        int maxTasks =
            Math.min(remaining, job.spec.maxTasksPerZone() - job.tasksPerZone.getInt(zone));
        remaining -=
            maxTasks <= 0
                ? 0
                : preemptIn(zone, job, maxTasks, guaranteed, guaranteedIds, machinesWithStops);
      }
    } else {
      preemptIn(null, job, tasksNeeded, guaranteed, guaranteedIds, machinesWithStops);
    }
  }

  /** Zones of all machine types, those with the fewest tasks of a job first. */
  private List<String> zonesByTaskCount(JobRun job) {
    return cluster.machineTypes.values().stream()
        .flatMap(type -> type.zones().stream())
        .distinct()
        .sorted(Comparator.comparingInt(job.tasksPerZone::getInt))
        .toList();
  }

  /**
   * Preempts in one zone, or in all zones if {@code zone} is null. Returns how many tasks have
   * capacity there or will have it.
   */
  private int preemptIn(
      String zone,
      JobRun job,
      int tasksNeeded,
      boolean guaranteed,
      Set<String> guaranteedIds,
      Set<Machine> machinesWithStops) {
    // Keeps only as many of the possibly thousands of evictions as are needed, with the most
    // expensive one on top.
    PriorityQueue<Eviction> evictions =
        new PriorityQueue<>(Comparator.comparingLong(eviction -> -eviction.cost));
    int remaining = tasksNeeded;
    for (Machine machine : cluster.machines.values()) {
      if (remaining > 0
          && (zone == null || machine.zone.equals(zone))
          && isSuitable(job, machine)) {
        remaining -=
            addEvictions(
                job, machine, guaranteed, guaranteedIds, roundStartMs, remaining, evictions);
      }
    }
    while (evictions.size() > Math.max(0, remaining)) {
      evictions.poll();
    }
    for (Eviction eviction : evictions) {
      for (Placement p : eviction.victims) {
        LOG.info(
            "{} on host {} is preempted for job {} ({})",
            p.taskName(),
            p.machine.host,
            job.id,
            guaranteed ? "guarantee" : "rank");
        p.job.markForStop(p);
        cluster.metrics.count(Metrics.Event.PREEMPTION);
        machinesWithStops.add(p.machine);
      }
      reservations.reserve(job, eviction.victims.get(0).machine, 1);
    }
    return tasksNeeded - Math.max(0, remaining) + evictions.size();
  }

  /**
   * Tasks of one machine whose resources, together with what is free or being freed there, let one
   * more task of a job start. Smaller amounts freed on several machines would be used by jobs that
   * wait for less, and the job would have to preempt again.
   */
  private record Eviction(List<Placement> victims, long cost) {}

  /**
   * Cost of an eviction, for comparison only. Work of lower rank is cheaper. For services, a
   * machine that has the image is preferred before rank is compared, because a fetch delays the
   * service longer than redoing any work that yields to it takes. The lost work decides between
   * equals.
   */
  private static long cost(JobRun job, Rank rank, boolean hasImage, long lostMs) {
    long rankPenalty = Rank.values().length - 1 - rank.ordinal();
    long imagePenalty = hasImage ? 0 : 1;
    long order =
        job.spec.isService()
            ? imagePenalty * Rank.values().length + rankPenalty
            : 2 * rankPenalty + imagePenalty;
    return (order << LOST_WORK_BITS) + Math.min(lostMs, (1L << LOST_WORK_BITS) - 1);
  }

  /** Bits for the milliseconds of lost work in a cost, which is enough for some years. */
  private static final int LOST_WORK_BITS = 40;

  /**
   * Adds evictions on a machine that let tasks of a job start, one for each task, with the least
   * loss first, and keeps the {@code maxTasks} cheapest of all. Returns how many tasks fit there
   * without evictions.
   */
  private int addEvictions(
      JobRun job,
      Machine machine,
      boolean guaranteed,
      Set<String> guaranteedIds,
      long now,
      int maxTasks,
      PriorityQueue<Eviction> bestEvictions) {
    ImageState imageState = machine.imageState(job.spec.image());
    if (imageState == ImageState.CONTENDED && !mayStartConcurrentFetch(job)) {
      return 0;
    }
    Resources taskResources = job.spec.resources();
    Resources free = freeCapacity(job, machine).minus(reservations.reservedOn(machine));
    List<Placement> victims = new ArrayList<>();
    for (Placement p : machine.placements.values()) {
      if (p.stopRequested) {
        free = free.plus(p.job.spec.resources());
      } else if (mayPreempt(job, guaranteed, p, guaranteedIds, now)) {
        victims.add(p);
      }
    }
    int fittingTasks = Math.max(0, taskResources.countIn(free, Constants.MAX_TASKS_PER_JOB));
    reservations.reserve(job, machine, Math.min(fittingTasks, maxTasks));
    if (victims.isEmpty()) {
      return fittingTasks;
    }
    victims.forEach(p -> p.preemptionCost = cost(job, p.job.spec.rank(), true, lostWorkMs(p, now)));
    victims.sort(Comparator.comparingLong(p -> p.preemptionCost));
    free = free.minus(taskResources.times(fittingTasks));
    List<Placement> victimGroup = new ArrayList<>();
    long totalLostMs = 0;
    for (Placement p : victims) {
      victimGroup.add(p);
      totalLostMs += lostWorkMs(p, now);
      free = free.plus(p.job.spec.resources());
      if (taskResources.fitsInto(free)) {
        long cost = cost(job, p.job.spec.rank(), imageState == ImageState.CACHED, totalLostMs);
        if (bestEvictions.size() < maxTasks || cost < bestEvictions.peek().cost) {
          bestEvictions.add(new Eviction(List.copyOf(victimGroup), cost));
          if (bestEvictions.size() > maxTasks) {
            bestEvictions.poll();
          }
        }
        free = free.minus(taskResources);
        victimGroup.clear();
      }
    }
    return fittingTasks;
  }

  /**
   * Whether a placed task may be stopped for a job. Jobs of rank PROD may stop any lower rank; jobs
   * within their team's guarantee may stop tasks of other teams that are outside those teams'
   * guarantees and lose little work. Services are never stopped.
   */
  private boolean mayPreempt(
      JobRun job, boolean guaranteed, Placement p, Set<String> guaranteedIds, long now) {
    JobSpec victimSpec = p.job.spec;
    if (victimSpec.rank() == Rank.PROD || victimSpec.isService()) {
      return false;
    }
    if (job.spec.rank() == Rank.PROD) {
      return victimSpec.rank().compareTo(job.spec.rank()) > 0;
    }
    return guaranteed
        && !victimSpec.team().equals(job.spec.team())
        && !guaranteedIds.contains(p.job.id)
        && (canSaveState(p)
            ? victimSpec.saveDurationS() <= Constants.MAX_PREEMPT_SAVE_S
            : lostWorkMs(p, now) <= cluster.preemptLossMs(p.job));
  }

  private static boolean canSaveState(Placement p) {
    return p.job.spec.snapshotIntervalS() > 0;
  }

  /**
   * Milliseconds of work that stopping a task now loses; a task that saves its state loses only the
   * time to save it.
   */
  private static long lostWorkMs(Placement p, long now) {
    return canSaveState(p) ? (long) (p.job.spec.saveDurationS() * 1000) : now - p.placedAtMs;
  }
}
