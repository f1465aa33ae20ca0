package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.Resources;
import dunlincroft.sim.SimWorker.Task;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Checks the rules of the PROTOCOL document from outside: by the tasks on the machines, and by the
 * answers to users.
 */
final class InvariantChecks {
  private final SimCluster cluster;
  final List<String> violations = new ArrayList<>();
  final Map<String, Set<String>> completedTasks = new HashMap<>();
  final Map<String, Long> cancelConfirmedAt = new HashMap<>();
  final Set<String> cancelRequested = new HashSet<>();
  final Set<String> accepted = new HashSet<>();
  final Map<String, String> finalStates = new HashMap<>();
  private final Map<String, Long> finalStateAt = new HashMap<>();
  private final Map<String, Long> acceptedAt = new HashMap<>();

  /** When users first submitted their jobs, and when the first task of each job ran. */
  private final Map<String, Long> submittedAt = new HashMap<>();

  private final Map<String, Long> firstStartAt = new HashMap<>();

  /** Services all of whose replicas have run at the same time. */
  private final Set<String> fullyRunningServices = new HashSet<>();

  int starts;

  /**
   * For each task that started after the user got the confirmation of the cancellation: how long
   * after it.
   */
  final List<Long> startedAfterCancelMs = new ArrayList<>();

  /** Once all faults have ended, no job may go without a successful answer for longer than this. */
  static final long MAX_UNANSWERED_MS = 75_000;

  private static final long LARGEST_START_WITHIN_MS = 240_000;

  /** When the last fault ends; before that, missing answers are not counted. */
  private long faultsEndAt = Long.MAX_VALUE;

  private final Map<String, Long> lastAnswerAt = new HashMap<>();
  private final ReportedProgress reportedProgress = new ReportedProgress();
  private final Set<String> reportedForgotten = new HashSet<>();

  private String windowClass;
  private long windowFrom;
  private long windowTo;

  /** Starts of tasks of the class that is restricted to a time window. */
  int windowClassStarts;

  /** Tasks stopped by a kill order. */
  int stoppedTasks;

  /** Worker leases that expired, and the tasks that were lost with them. */
  int expiredLeases;

  long tasksLostToLease;

  /** Attempts of tasks that can only fail. */
  int failingAttempts;

  /** Starts after a confirmed cancellation. */
  final StartsAfterCancellation startsAfterCancellation;

  private final StarvationCheck starvationCheck;

  /**
   * Jobs left waiting although capacity was free; each violates the rule {@code left_waiting} as
   * well.
   */
  final List<String> starvedJobs = new ArrayList<>();

  InvariantChecks(SimCluster cluster) {
    this.cluster = cluster;
    startsAfterCancellation = new StartsAfterCancellation(cluster);
    starvationCheck = new StarvationCheck(cluster, this);
  }

  /** The machine of each placed task of a job, including tasks that still fetch their image. */
  List<SimWorker> placedOn(String ref) {
    return placed(ref).stream().map(placement -> placement.worker).toList();
  }

  void recordViolation(String rule, String detail) {
    violations.add(cluster.clock.now() + " " + rule + ": " + detail);
  }

  /** A task that occupies capacity on a machine. */
  private record PlacedTask(SimWorker worker, Task task) {}

  private final Map<String, List<PlacedTask>> placedTasks = new HashMap<>();

  /** The tasks of a job that are on machines now, including those that still fetch their image. */
  private List<PlacedTask> placed(String ref) {
    List<PlacedTask> list = placedTasks.computeIfAbsent(ref, r -> new ArrayList<>());
    list.removeIf(
        placement ->
            cluster.cloud.machines.get(placement.worker.host) != placement.worker
                || !placement.worker.hasActive(placement.task));
    return list;
  }

  /** A run order took effect: the task now occupies capacity and may run. */
  void onTaskPlaced(SimWorker worker, Task task) {
    startsAfterCancellation.onStart(worker, task);
    String owner = task.spec.team();
    placed(task.spec.ref()).add(new PlacedTask(worker, task));
    starvationCheck.onTaskPlaced(task.spec.ref());
    Resources limit = cluster.settings.teams().get(owner).limit();
    if (limit.cpu() > cluster.totalMilliCpus()) {
      return;
    }
    List<PlacedTask> all = new ArrayList<>();
    for (String ref : List.copyOf(placedTasks.keySet())) {
      if (cluster.specOf(ref).team().equals(owner)) {
        all.addAll(placed(ref));
      }
    }
    Resources sum = Resources.NONE;
    for (PlacedTask each : all) {
      sum = sum.plus(each.task.spec.resources());
    }
    if (!sum.fitsInto(limit)) {
      recordViolation(
          "quota", owner + " uses " + sum + ": " + all.stream().map(PlacedTask::toString).toList());
    }
  }

  /** The task's image has been fetched, and the task runs. */
  void onTaskStarted(SimWorker worker, Task task) {
    starts++;
    JobSpec spec = task.spec;
    firstStartAt.computeIfAbsent(spec.ref(), ref -> cluster.clock.now());
    if (spec.isService() && running(spec.ref()) == spec.taskCount()) {
      fullyRunningServices.add(spec.ref());
    }
    int inZone = 0;
    for (PlacedTask each : placed(spec.ref())) {
      Task otherTask = each.task;
      if (otherTask.status.equals("fetching")) {
        continue;
      }
      if (otherTask != task && otherTask.name.equals(task.name)) {
        recordViolation("ran_twice", task.name + " on " + worker.host + " and " + each.worker.host);
      }
      if (each.worker.zone.equals(worker.zone)) {
        inZone++;
      } else if (spec.sameZone()) {
        recordViolation("wrong_place", task.name + " in another zone than " + otherTask.name);
      }
    }
    if (!spec.allows(SimCluster.MACHINE_TYPE, worker.zone, worker.spot)
        || inZone > spec.maxTasksPerZone()) {
      recordViolation("wrong_place", task.name + " on " + worker.host);
    }
    checkCancelled(worker, task);
    if (cancelConfirmedAt.containsKey(spec.ref())) {
      startedAfterCancelMs.add(cluster.clock.now() - cancelConfirmedAt.get(spec.ref()));
    }
    checkMigrationZone(worker, task);
    if (spec.jobclass().equals(windowClass)) {
      windowClassStarts++;
      long now = cluster.clock.now();
      if (now < windowFrom || now > windowTo) {
        recordViolation("outside_window", task.name + " on " + worker.host);
      }
    }
  }

  /** Whether a phase of the migration ledger lets a task start in a zone. */
  interface ZoneRule {
    boolean allows(String phase, String zone);
  }

  private ZoneRule zoneRule;
  private String zoneRulePrefix;
  private String currentPhase = "";
  private String previousPhase = "";
  private long phaseSince;

  /**
   * Tasks of jobs with this prefix may start only in zones that the phase of the migration record
   * allows.
   */
  void restrictToZones(String prefix, ZoneRule allowed) {
    zoneRulePrefix = prefix;
    zoneRule = allowed;
  }

  private void readPhase() {
    JsonNode record = cluster.state.dataUnder("d/migrations/").get("core");
    String recordedPhase = record == null ? "" : record.path("phase").asText();
    if (!recordedPhase.equals(currentPhase)) {
      previousPhase = currentPhase;
      currentPhase = recordedPhase;
      phaseSince = cluster.clock.now();
    }
  }

  private void checkMigrationZone(SimWorker worker, Task task) {
    if (zoneRule == null || !task.spec.ref().startsWith(zoneRulePrefix)) {
      return;
    }
    readPhase();
    // A start that was recorded before a change of phase may still take effect while its
    // order is in flight.
    boolean allowedBefore =
        cluster.clock.now() - phaseSince < START_IN_FLIGHT_MS
            && zoneRule.allows(previousPhase, worker.zone);
    if (!currentPhase.isEmpty() && !zoneRule.allows(currentPhase, worker.zone) && !allowedBefore) {
      recordViolation("wrong_side", task.name + " in " + worker.zone + " in " + currentPhase);
    }
  }

  /**
   * Time for an order, its repetition in the answer to the next heartbeat, and the image fetch that
   * follows.
   */
  private static final long START_IN_FLIGHT_MS = 8000;

  /** The zones of the running tasks of a job. */
  List<String> zones(String ref) {
    return workersRunning(ref).stream().map(worker -> worker.zone).toList();
  }

  /** Tasks of a class may start only from one time to another, by the simulated time. */
  void restrictToWindow(String jobclass, long from, long to) {
    windowClass = jobclass;
    windowFrom = from;
    windowTo = to;
  }

  /** Number of running tasks of a job on other machines than these. */
  int runningElsewhere(String ref, List<SimWorker> excluded) {
    return (int) workersRunning(ref).stream().filter(worker -> !excluded.contains(worker)).count();
  }

  /** Whether a task runs on another machine than this one. */
  boolean runsElsewhere(String taskName, String host) {
    return placed(taskName.substring(0, taskName.indexOf('/'))).stream()
        .anyMatch(each -> each.task.name.equals(taskName) && !each.worker.host.equals(host));
  }

  /** Number of tasks of a job that run now. */
  int running(String ref) {
    return workersRunning(ref).size();
  }

  /** The machines that run tasks of a job. */
  List<SimWorker> machinesRunning(String ref) {
    return workersRunning(ref);
  }

  /** The machine of each running task of a job. */
  private List<SimWorker> workersRunning(String ref) {
    return placed(ref).stream()
        .filter(placement -> placement.task.status.equals("running"))
        .map(placement -> placement.worker)
        .toList();
  }

  private void checkCancelled(SimWorker worker, Task task) {
    Long confirmedAt = cancelConfirmedAt.get(task.spec.ref());
    if (confirmedAt != null
        && cluster.clock.now() - confirmedAt > cluster.settings.maxCancellationS() * 1000) {
      recordViolation("ran_cancelled", task.name + " on " + worker.host);
    }
  }

  /**
   * Checks that no task on a machine belongs to a job that was cancelled too long ago; also called
   * when a hung machine resumes.
   */
  void onWorkerResumed(SimWorker worker) {
    for (Task task : worker.tasks.values()) {
      if (task.isActive()) {
        checkCancelled(worker, task);
      }
    }
  }

  void setFaultsEnd(long endMs) {
    faultsEndAt = endMs;
  }

  /**
   * Every accepted job that nobody cancelled must get a successful answer to some query in time.
   */
  private void checkForgotten() {
    long now = cluster.clock.now();
    for (String ref : accepted) {
      if (now <= faultsEndAt || cancelRequested.contains(ref) || reportedForgotten.contains(ref)) {
        continue;
      }
      long unansweredMs = now - Math.max(faultsEndAt, lastAnswerAt.getOrDefault(ref, 0L));
      if (unansweredMs > MAX_UNANSWERED_MS) {
        reportedForgotten.add(ref);
        recordViolation("forgotten", ref + " has no answer for " + unansweredMs + " ms");
      }
    }
  }

  /**
   * Milliseconds from a user's first request until a task of the job ran; a very large number if
   * none has.
   */
  long startDelayMs(String ref) {
    return firstStartAt.getOrDefault(ref, Long.MAX_VALUE / 4) - submittedAt.get(ref);
  }

  void onSubmission(JobSpec spec) {
    submittedAt.put(spec.ref(), cluster.clock.now());
  }

  /** Jobs grouped by class and by team, and the largest tenth of each class, at least one job. */
  private Map<String, List<String>> groups() {
    Map<String, List<String>> groups = new HashMap<>();
    for (String ref : submittedAt.keySet()) {
      if (!cluster.failingJobs.contains(ref)) {
        JobSpec spec = cluster.specOf(ref);
        groups.computeIfAbsent("class " + spec.jobclass(), g -> new ArrayList<>()).add(ref);
        groups.computeIfAbsent("team " + spec.team(), g -> new ArrayList<>()).add(ref);
      }
    }
    for (String group : List.copyOf(groups.keySet())) {
      if (group.startsWith("class ")) {
        List<String> bySize = new ArrayList<>(groups.get(group));
        bySize.sort(Comparator.comparingInt(ref -> -cluster.specOf(ref).taskCount()));
        groups.put("largest of " + group, bySize.subList(0, (bySize.size() + 9) / 10));
      }
    }
    return groups;
  }

  /**
   * The minimum, over all groups (each class, each team, the largest jobs of each class), of the
   * share of jobs of which a task ran within {@code withinMs} of the first request. Only jobs that
   * were requested at least that long ago count.
   */
  double minStartedShare(long withinMs) {
    return minShare(
        ref -> cluster.clock.now() - submittedAt.get(ref) >= withinMs,
        ref -> firstStartAt.getOrDefault(ref, Long.MAX_VALUE) - submittedAt.get(ref) <= withinMs);
  }

  /**
   * The same minimum for jobs that have ended, or, for services, have had all replicas running at
   * the same time.
   */
  double minDoneShare() {
    return minShare(
        ref -> true,
        ref ->
            cluster.specOf(ref).isService()
                ? fullyRunningServices.contains(ref)
                : finalStates.containsKey(ref));
  }

  private double minShare(Predicate<String> isCounted, Predicate<String> isServed) {
    double minimum = 1;
    for (List<String> group : groups().values()) {
      long counted = group.stream().filter(isCounted).count();
      if (counted > 0) {
        double share = (double) group.stream().filter(isCounted).filter(isServed).count() / counted;
        minimum = Math.min(minimum, share);
      }
    }
    return minimum;
  }

  /** The largest jobs of each class of which no task had started within four minutes. */
  List<String> largestStartedLate() {
    return groups().entrySet().stream()
        .filter(group -> group.getKey().startsWith("largest"))
        .flatMap(group -> group.getValue().stream())
        .filter(ref -> cluster.clock.now() - submittedAt.get(ref) >= LARGEST_START_WITHIN_MS)
        .filter(
            ref ->
                firstStartAt.getOrDefault(ref, Long.MAX_VALUE) - submittedAt.get(ref)
                    > LARGEST_START_WITHIN_MS)
        .toList();
  }

  void onTaskCompleted(Task task) {
    Set<String> completedOfJob =
        completedTasks.computeIfAbsent(task.spec.ref(), ref -> new HashSet<>());
    if (completedOfJob.add(task.name) && completedOfJob.size() == task.spec.taskCount()) {
      cluster.requestBursts.onLastTaskEnded(task.spec);
    }
  }

  /** Checks all machines and records; called once a second. */
  void checkAll() {
    cluster.cloud.machines.values().forEach(this::onWorkerResumed);
    checkRecords();
    checkForgotten();
    if (cluster.clock.now() > faultsEndAt) {
      starvationCheck.check();
    }
    if (zoneRule != null) {
      readPhase();
    }
  }

  /**
   * Notes machines that no longer exist, had left all blocks, and are in a block again. No rule
   * forbids this: a stale listing of the cloud still contains machines that another controller has
   * just released. It must not happen through a lease, which {@link LateLeaseWriteTest} asserts.
   */
  private void trackReturnedMachines(Set<String> inBlocks) {
    for (String host : inBlocks) {
      if (seenInBlocks.add(host)) {
        continue;
      }
      if (leftAllBlocks.contains(host)) {
        returnedMachines.add(host);
      }
    }
    for (String host : seenInBlocks) {
      if (!inBlocks.contains(host) && !cluster.cloud.machines.containsKey(host)) {
        leftAllBlocks.add(host);
      }
    }
  }

  /** Machines that came back into a block after they had been released. */
  final Set<String> returnedMachines = new HashSet<>();

  private final Set<String> seenInBlocks = new HashSet<>();
  private final Set<String> leftAllBlocks = new HashSet<>();

  /**
   * The tasks of a job must be recorded only on machines of the job's own shard, so that the next
   * owner of the shard finds them.
   */
  private void checkRecords() {
    Map<String, JsonNode> jobs = openJobs();
    Map<String, JsonNode> shards = new HashMap<>();
    cluster
        .state
        .dataUnder("d/blocks/")
        .forEach(
            (name, block) ->
                block
                    .path("hosts")
                    .fieldNames()
                    .forEachRemaining(
                        host -> {
                          if (shards.put(host, block.path("shard")) != null) {
                            recordViolation("two_blocks", host);
                          }
                        }));
    trackReturnedMachines(shards.keySet());
    recordedHosts(jobs)
        .forEach(
            (taskName, host) -> {
              JsonNode shard = shards.get(host);
              JsonNode job = jobs.get(taskName.substring(0, taskName.indexOf('/')));
              if (shard != null && !shard.equals(job.path("shard"))) {
                recordViolation("wrong_shard", taskName + " on " + host);
              }
            });
  }

  private Map<String, JsonNode> openJobs() {
    Map<String, JsonNode> jobs = cluster.state.dataUnder("d/jobs/");
    jobs.values().removeIf(job -> job.has("status"));
    return jobs;
  }

  /** Number of tasks of a job that are recorded on any of these machines. */
  long recordedTasksOn(List<SimWorker> machines, String ref) {
    Map<String, JsonNode> jobs = openJobs();
    List<String> hosts = machines.stream().map(worker -> worker.host).toList();
    return recordedHosts(jobs).entrySet().stream()
        .filter(each -> each.getKey().startsWith(ref + "/") && hosts.contains(each.getValue()))
        .count();
  }

  /** Hosts by task, according to the pages and the log entries that are newer than their page. */
  private Map<String, String> recordedHosts(Map<String, JsonNode> jobs) {
    Map<String, String> hosts = new HashMap<>();
    Map<String, Long> pageUpTo = new HashMap<>();
    cluster
        .state
        .dataUnder("d/pages/")
        .forEach(
            (name, page) -> {
              String ref = name.substring(0, name.lastIndexOf('/'));
              int number = Integer.parseInt(name.substring(name.lastIndexOf('/') + 1));
              JsonNode job = jobs.get(ref);
              if (job != null) {
                pageUpTo.put(name, page.path("upTo").asLong());
                int first = number * job.path("pageTasks").asInt();
                readPlacements(page, first, ref, hosts);
              }
            });
    List<JsonNode> entries = new ArrayList<>();
    cluster
        .state
        .dataUnder("d/logs/")
        .values()
        .forEach(slot -> slot.path("log").forEach(entries::add));
    entries.sort(Comparator.comparingLong(entry -> entry.path("n").asLong()));
    for (JsonNode entry : entries) {
      String ref = entry.path("job").asText();
      JsonNode job = jobs.get(ref);
      if (job == null) {
        continue;
      }
      int pageTasks = job.path("pageTasks").asInt();
      Map<String, String> changes = new HashMap<>();
      readRanges(entry.path("done"), ref, changes);
      readRanges(entry.path("free"), ref, changes);
      readPlacements(entry, 0, ref, changes);
      changes.forEach(
          (taskName, host) -> {
            int task = Integer.parseInt(taskName.substring(taskName.indexOf('/') + 1));
            if (entry.path("n").asLong()
                > pageUpTo.getOrDefault(ref + "/" + task / pageTasks, 0L)) {
              hosts.put(taskName, host);
            }
          });
    }
    hosts.values().removeIf(Objects::isNull);
    return hosts;
  }

  private static void readPlacements(
      JsonNode record, int first, String ref, Map<String, String> into) {
    for (JsonNode group : record.path("at")) {
      for (int i = 2; i < group.size(); i++) {
        into.put(ref + "/" + (first + group.get(i).asInt()), group.get(0).asText());
      }
    }
  }

  private static void readRanges(JsonNode ranges, String ref, Map<String, String> into) {
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      for (int task = ranges.get(i).asInt(); task < ranges.get(i + 1).asInt(); task++) {
        into.put(ref + "/" + task, null);
      }
    }
  }

  private static boolean happenedBefore(Map<String, Long> at, String ref, long sentAt) {
    return at.getOrDefault(ref, Long.MAX_VALUE) < sentAt;
  }

  /** The highest number of done tasks of a job in any answer to a user. */
  int maxDoneReported(String ref) {
    return reportedProgress.doneBefore(ref, Long.MAX_VALUE);
  }

  /**
   * Checks the answer to a job that can never run or lacks a field: it must be rejected with the
   * expected status and a reason.
   */
  void onRefusal(String ref, String reason, int expectedStatus, int status, boolean hasReason) {
    if (status == 200 || status == 201) {
      recordViolation("accepted_odd", ref + ": " + reason);
    } else if (status == 400 || status == 422 || status == 404) {
      if (status != expectedStatus || !hasReason) {
        recordViolation("unclear", ref + ": " + reason + " answered " + status);
      }
    }
  }

  /**
   * Checks the answer to a request that a user sent at {@code sentAt}, including the number of done
   * tasks.
   */
  void onAnswer(JobSpec spec, int status, JsonNode answer, long sentAt) {
    onAnswer(spec, status, answer.path("status").asText(), sentAt);
    if ((status == 200 || status == 201) && answer.has("done")) {
      int done = answer.path("done").asInt();
      int before = reportedProgress.doneBefore(spec.ref(), sentAt);
      if (done < before) {
        recordViolation("fewer_done", spec.ref() + " from " + before + " to " + done);
      }
      reportedProgress.onAnswer(spec.ref(), done, cluster.clock.now());
    }
  }

  /** Checks the job state in the answer to a request that a user sent at {@code sentAt}. */
  void onAnswer(JobSpec spec, int status, String state, long sentAt) {
    String ref = spec.ref();
    boolean acceptedBefore = happenedBefore(acceptedAt, ref, sentAt);
    if (status == 404 && acceptedBefore) {
      recordViolation("forgotten", ref);
    }
    if ((status == 400 || status == 422) && acceptedBefore) {
      recordViolation("forgotten", ref + " answered " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    boolean first = accepted.add(ref);
    lastAnswerAt.put(ref, cluster.clock.now());
    acceptedAt.putIfAbsent(ref, cluster.clock.now());
    String last = finalStates.get(ref);
    if (last != null && !last.equals(state) && happenedBefore(finalStateAt, ref, sentAt)) {
      recordViolation("went_back", ref + " from " + last + " to " + state);
    }
    if (state.equals("withdrawn") || state.equals("done")) {
      first |= finalStateAt.putIfAbsent(ref, cluster.clock.now()) == null;
    }
    if (first) {
      cluster.requestBursts.onNewState(spec, state);
    }
    if (state.equals("withdrawn")) {
      if (!cancelRequested.contains(ref)) {
        recordViolation("went_back", ref + " was not cancelled by its user");
      }
      finalStates.putIfAbsent(ref, state);
      cancelConfirmedAt.putIfAbsent(ref, cluster.clock.now());
    } else if (state.equals("done")) {
      finalStates.putIfAbsent(ref, state);
      if (completedTasks.getOrDefault(ref, Set.of()).size() < spec.taskCount()) {
        recordViolation("not_done", ref);
      }
    }
  }
}
