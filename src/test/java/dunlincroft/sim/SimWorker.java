package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Resources;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates a worker according to the protocol: fence token, session, lease, orders, and heartbeats
 * that carry a report of its state and tasks.
 */
final class SimWorker {
  /** An attempt of a task on this machine. */
  static final class Task {
    final JobSpec spec;
    final String name;
    final long attempt;
    final long orderSentAt;
    String status = "fetching";
    String cause;

    Task(JobSpec spec, String name, long attempt, long orderSentAt) {
      this.spec = spec;
      this.name = name;
      this.attempt = attempt;
      this.orderSentAt = orderSentAt;
    }

    boolean isActive() {
      return !status.equals("exited");
    }
  }

  /** Fields that the simulation adds to orders: their sender, and when they were sent. */
  static final String SENDER = "simFrom";

  static final String SENT_AT = "simLeftAt";

  /** Timeout of a worker heartbeat. */
  private static final long ANSWER_TIMEOUT_MS = 4000;

  private final SimCluster cluster;
  final String host;
  final String address;
  final String zone;
  final boolean spot;
  final Resources capacity;
  final Map<String, Task> tasks = new LinkedHashMap<>();
  boolean terminated;
  private boolean isUp;
  private boolean loopsStarted;
  boolean hung;
  boolean faulty;

  /** Its heartbeats arrive; answers and commands don't reach it. */
  private boolean inboundLost;

  /** It cannot open connections to any controller; direct commands reach it. */
  private boolean outboundBlocked;

  /** Deliberate fault, for tests of the checks: its tasks go on when its lease expires. */
  boolean keepsTasksAfterLease;

  /** Send times of heartbeats whose answers were lost while {@link #inboundLost} was set. */
  final List<Long> unansweredHeartbeatTimes = new ArrayList<>();

  private long session = 1;
  private long counter;
  private long fenceToken;
  private long leaseStartedAt;
  private int targetNode;
  private boolean awaitingAnswer;
  private long heartbeatCount;

  /** The node whose answer last renewed the lease, and when; -1: none yet. */
  int renewedBy = -1;

  long renewedAt = -1;

  /** The node to which the first heartbeat was sent; -1: none yet. */
  int firstContactedNode = -1;

  /**
   * Copies of heartbeats delivered after a newer heartbeat was sent, and those of them from an
   * earlier session.
   */
  int staleCopies;

  int staleCopiesOfEarlierSessions;

  private final List<Runnable> deferredWhileHung = new ArrayList<>();

  SimWorker(SimCluster cluster, String host, String zone, boolean spot, Resources capacity) {
    this.cluster = cluster;
    this.host = host;
    this.address = host;
    this.zone = zone;
    this.spot = spot;
    this.capacity = capacity;
    this.targetNode = cluster.random.nextInt(cluster.nodeCount());
  }

  /** Boots the machine, or starts the worker process again after a restart. */
  void start() {
    if (!terminated && !isUp) {
      isUp = true;
      leaseStartedAt = cluster.clock.now();
      cluster.net.serve(address, this::handle);
      if (!loopsStarted) {
        loopsStarted = true;
        heartbeatRegularly();
        checkLeaseRegularly();
      }
    }
  }

  void terminate() {
    terminated = true;
    tasks.clear();
    cluster.net.close(address);
  }

  /**
   * Hangs the machine with all its tasks for {@code ms}; what came meanwhile is processed
   * afterwards.
   */
  void hang(long ms) {
    hung = true;
    cluster.clock.after(
        ms,
        () -> {
          hung = false;
          checkLease();
          cluster.checks.onWorkerResumed(this);
          List<Runnable> deferred = List.copyOf(deferredWhileHung);
          deferredWhileHung.clear();
          deferred.forEach(Runnable::run);
        });
  }

  void loseInbound(long ms) {
    inboundLost = true;
    unansweredHeartbeatTimes.clear();
    cluster.clock.after(ms, () -> inboundLost = false);
  }

  void blockOutbound(long ms) {
    outboundBlocked = true;
    cluster.clock.after(ms, () -> outboundBlocked = false);
  }

  /**
   * Ends the worker process and starts it under the same name after {@code ms}, without its former
   * state.
   */
  void restart(long ms) {
    if (terminated || !isUp) {
      return;
    }
    isUp = false;
    tasks.clear();
    deferredWhileHung.clear();
    heartbeatCount++;
    awaitingAnswer = false;
    cluster.net.close(address);
    cluster.clock.after(
        ms,
        () -> {
          session = 1;
          counter = 0;
          fenceToken = 0;
          start();
        });
  }

  private void checkLeaseRegularly() {
    if (terminated) {
      return;
    }
    if (!hung && isUp) {
      checkLease();
    }
    cluster.clock.after(200, this::checkLeaseRegularly);
  }

  private void checkLease() {
    if (cluster.clock.now() - leaseStartedAt > cluster.leaseMs && !keepsTasksAfterLease) {
      cluster.checks.expiredLeases++;
      cluster.checks.tasksLostToLease += tasks.values().stream().filter(Task::isActive).count();
      tasks.clear();
      session++;
      counter = 0;
      leaseStartedAt = cluster.clock.now();
    }
  }

  private void heartbeatRegularly() {
    if (terminated) {
      return;
    }
    if (!hung && !awaitingAnswer && isUp) {
      sendHeartbeat();
    }
    cluster.clock.after(1000 + cluster.random.nextInt(800), this::heartbeatRegularly);
  }

  /** The session number; it is incremented each time the lease expires. */
  long session() {
    return session;
  }

  /** The highest fence token that it has seen. */
  long fenceToken() {
    return fenceToken;
  }

  private ObjectNode statusReport() {
    counter++;
    ObjectNode map =
        Cbor.map()
            .put("host", host)
            .put("endpoint", address)
            .put("flavour", SimCluster.MACHINE_TYPE)
            .put("hall", zone)
            .put("lendable", spot)
            .put("tenure", session)
            .put("counter", counter)
            .put("fence", fenceToken);
    ArrayNode tasksNode = map.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode item =
          tasksNode
              .addObject()
              .put("piece", task.name)
              .put("try", task.attempt)
              .put("status", task.status);
      if (task.cause != null) {
        item.put("cause", task.cause);
      }
    }
    return map;
  }

  private void sendHeartbeat() {
    awaitingAnswer = true;
    long heartbeatNumber = ++heartbeatCount;
    long sentAt = cluster.clock.now();
    long sentSession = session;
    byte[] report = Cbor.bytes(statusReport());
    long sentCounter = counter;
    if (outboundBlocked) {
      int contacted = targetNode;
      cluster.clock.after(
          ANSWER_TIMEOUT_MS,
          () -> onAnswer(heartbeatNumber, sentAt, sentSession, contacted, Env.Reply.NONE));
      return;
    }
    if (cluster.random.nextDouble() < cluster.heartbeatCopyShare) {
      cluster.clock.after(
          1000 + cluster.random.nextInt((int) cluster.maxCopyDelayMs - 1000),
          () -> {
            staleCopies += session != sentSession || counter > sentCounter ? 1 : 0;
            staleCopiesOfEarlierSessions += session != sentSession ? 1 : 0;
            cluster.net.call(address, heartbeatCall(cluster.randomNode(), report), reply -> {});
          });
    }
    int to = targetNode;
    firstContactedNode = firstContactedNode < 0 ? to : firstContactedNode;
    if (cluster.delayedHeartbeats.intercept(this, report, sentSession, sentCounter)) {
      cluster.clock.after(
          ANSWER_TIMEOUT_MS,
          () -> onAnswer(heartbeatNumber, sentAt, sentSession, to, Env.Reply.NONE));
      return;
    }
    cluster.net.call(
        address,
        heartbeatCall(to, report),
        reply -> onAnswer(heartbeatNumber, sentAt, sentSession, to, reply));
  }

  /** Whether a newer heartbeat than the one with this session and counter has been sent since. */
  boolean isOlder(long thatSession, long thatCounter) {
    return session != thatSession || counter > thatCounter;
  }

  boolean isOfEarlierSession(long thatSession) {
    return session != thatSession;
  }

  private Env.Call heartbeatCall(int to, byte[] report) {
    return new Env.Call(cluster.nodeAddress(to), "POST", "/hello", report, ANSWER_TIMEOUT_MS);
  }

  private void onAnswer(
      long heartbeatNumber, long sentAt, long sentSession, int to, Env.Reply reply) {
    if (terminated || heartbeatNumber != heartbeatCount) {
      return;
    }
    if (inboundLost && reply.status() != 0) {
      unansweredHeartbeatTimes.add(sentAt);
      cluster.clock.after(
          sentAt + ANSWER_TIMEOUT_MS - cluster.clock.now(),
          () -> onAnswer(heartbeatNumber, sentAt, sentSession, to, Env.Reply.NONE));
      return;
    }
    awaitingAnswer = false;
    if (hung) {
      return;
    }
    try {
      JsonNode body = reply.body().length == 0 ? Cbor.map() : Cbor.parse(reply.body());
      if (reply.status() == 200) {
        if (body.path("fence").asLong() >= fenceToken && sentSession == session) {
          fenceToken = body.path("fence").asLong();
          leaseStartedAt = Math.max(leaseStartedAt, sentAt);
          renewedBy = to;
          renewedAt = cluster.clock.now();
          execute(body, false);
        }
      } else if (reply.status() == 421 && body.hasNonNull("steward")) {
        targetNode = cluster.nodeIndex(body.path("steward").asText());
      } else {
        targetNode = (targetNode + 1) % cluster.nodeCount();
      }
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void handle(String method, String path, ObjectNode body, SimNet.Responder responder) {
    if (terminated || inboundLost || !isUp) {
      return;
    }
    if (hung) {
      deferredWhileHung.add(() -> handle(method, path, body, responder));
      return;
    }
    if (path.equals("/status")) {
      responder.send(200, statusReport());
      return;
    }
    boolean accepted =
        body.path("fence").asLong() >= fenceToken && body.path("tenure").asLong() == session;
    if (accepted) {
      fenceToken = body.path("fence").asLong();
      execute(body, true);
    }
    responder.send(accepted ? 200 : 409, statusReport());
  }

  private static String key(String taskName, long attempt) {
    return taskName + "#" + attempt;
  }

  /** Whether it is up, receives messages, and can run tasks. */
  boolean isAvailable() {
    return isUp && !terminated && !hung && !inboundLost && !faulty;
  }

  /** The capacity that its tasks leave free. */
  Resources freeCapacity() {
    return capacity.minus(usedCapacity());
  }

  private Resources usedCapacity() {
    Resources sum = Resources.NONE;
    for (Task task : tasks.values()) {
      if (task.isActive()) {
        sum = sum.plus(task.spec.resources());
      }
    }
    return sum;
  }

  private void execute(JsonNode body, boolean direct) {
    cluster.onOrdersAccepted.accept(this, body);
    String sender = body.path(SENDER).asText();
    long sentAtMs = body.path(SENT_AT).asLong();
    for (JsonNode order : body.path("orders")) {
      String taskName = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      Task task = tasks.get(key(taskName, attempt));
      String verb = order.path("verb").asText();
      boolean takesEffect =
          verb.equals("run") ? task == null : existsWithActivity(task, verb.equals("kill"));
      if (takesEffect) {
        cluster.orderLog.add(
            new OrderLog.ExecutedOrder(
                cluster.clock.now(), sentAtMs, sender, host, verb, taskName, attempt, direct),
            session);
      }
      switch (verb) {
        case "run" -> {
          if (task == null) {
            startTask(taskName, attempt, sentAtMs);
          }
        }
        case "kill" -> {
          if (task != null && task.isActive()) {
            cluster.checks.stoppedTasks++;
            exitTask(task, "stopped");
          }
        }
        case "reap" -> {
          if (task != null && !task.isActive()) {
            tasks.remove(key(taskName, attempt));
          }
        }
        default -> throw new IllegalStateException("unknown verb in order " + order);
      }
    }
  }

  private static boolean existsWithActivity(Task task, boolean active) {
    return task != null && task.isActive() == active;
  }

  private void startTask(String taskName, long attempt, long sentAtMs) {
    JobSpec spec = cluster.specOf(taskName.substring(0, taskName.indexOf('/')));
    Task task = new Task(spec, taskName, attempt, sentAtMs);
    boolean busy = tasks.values().stream().anyMatch(t -> t.isActive() && t.name.equals(taskName));
    boolean fits = spec != null && usedCapacity().plus(spec.resources()).fitsInto(capacity);
    tasks.put(key(taskName, attempt), task);
    if (spec == null) {
      exitTask(task, "unknown");
      return;
    }
    if (busy || !fits) {
      exitTask(task, busy ? "in_use" : "full");
      return;
    }
    cluster.cloud.usedHosts.add(host);
    cluster.checks.onTaskPlaced(this, task);
    cluster.clock.after(200 + cluster.random.nextInt(1500), () -> beginRunning(task));
  }

  /** Whether it knows this attempt, ended or not. */
  boolean holds(String taskName, long attempt) {
    return tasks.containsKey(key(taskName, attempt));
  }

  boolean hasActive(Task task) {
    return !terminated && tasks.get(key(task.name, task.attempt)) == task && task.isActive();
  }

  private void beginRunning(Task task) {
    if (hung) {
      deferredWhileHung.add(() -> beginRunning(task));
    } else if (hasActive(task)) {
      boolean failing = cluster.failingJobs.contains(task.spec.ref());
      cluster.checks.failingAttempts += failing ? 1 : 0;
      if (faulty || failing) {
        exitTask(task, "error");
        return;
      }
      task.status = "running";
      cluster.checks.onTaskStarted(this, task);
      if (!task.spec.isService()) {
        cluster.clock.after(runMs(task), () -> completeTask(task));
      }
    }
  }

  /** A class of jobs whose tasks have widely differing run times. */
  static final String STAGGERED_CLASS = "apart";

  private static long runMs(Task task) {
    long ms = (long) (task.spec.estimatedRunS() * 1000);
    int number = Integer.parseInt(task.name.substring(task.name.indexOf('/') + 1));
    return task.spec.jobclass().equals(STAGGERED_CLASS) ? ms * (1 + 4 * number) : ms;
  }

  private void completeTask(Task task) {
    if (hung) {
      deferredWhileHung.add(() -> completeTask(task));
    } else if (hasActive(task)) {
      cluster.checks.onTaskCompleted(task);
      exitTask(task, "done");
    }
  }

  private void exitTask(Task task, String cause) {
    task.status = "exited";
    task.cause = cause;
  }
}
