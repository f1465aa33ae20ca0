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

/** A stand-in for a worker, by the protocol: fence, tenure, lease, orders, reports. */
final class SimWorker {
  /** A task on the machine. */
  static final class Task {
    final JobSpec spec;
    final String piece;
    final long attempt;
    final long orderLeftAt;
    String status = "fetching";
    String cause;

    Task(JobSpec spec, String piece, long attempt, long orderLeftAt) {
      this.spec = spec;
      this.piece = piece;
      this.attempt = attempt;
      this.orderLeftAt = orderLeftAt;
    }

    boolean on() {
      return !status.equals("exited");
    }
  }

  /** What the simulation adds to orders: their sender, and when they left. */
  static final String FROM = "simFrom";

  static final String LEFT_AT = "simLeftAt";

  /** So long a worker waits for the answer to a report. */
  private static final long ANSWER_MS = 4000;

  private final SimCluster cluster;
  final String host;
  final String address;
  final String hall;
  final boolean cheap;
  final Resources room;
  final Map<String, Task> tasks = new LinkedHashMap<>();
  boolean gone;
  private boolean up;
  private boolean begun;
  boolean hanging;
  boolean sick;

  /** Its reports arrive; answers and commands don't reach it. */
  private boolean deaf;

  /** It can open connections to no controller; direct commands reach it. */
  private boolean mute;

  /** Planted: its tasks outlive its lease. */
  boolean keepsTasks;

  /** Moments at which reports left whose answers it did not get, while it is deaf. */
  final List<Long> unanswered = new ArrayList<>();

  private long tenure = 1;
  private long counter;
  private long fence;
  private long leaseFrom;
  private int node;
  private boolean waiting;
  private long reports;

  /** The node whose answer last renewed the lease, and when. */
  int renewedBy = -1;

  long renewedAt = -1;

  /** The node to which the first report was sent; -1: none yet. */
  int heardBy = -1;

  /** Copies of reports that came after newer ones, and those of them of an earlier session. */
  int oldCopies;

  int copiesOfEarlierSessions;

  private final List<Runnable> whenAwake = new ArrayList<>();

  SimWorker(SimCluster cluster, String host, String hall, boolean cheap, Resources room) {
    this.cluster = cluster;
    this.host = host;
    this.address = host;
    this.hall = hall;
    this.cheap = cheap;
    this.room = room;
    this.node = cluster.random.nextInt(cluster.nodeCount());
  }

  /** The machine is up. */
  void start() {
    if (!gone && !up) {
      up = true;
      leaseFrom = cluster.clock.now();
      cluster.net.serve(address, this::handle);
      if (!begun) {
        begun = true;
        loop();
        lease();
      }
    }
  }

  void die() {
    gone = true;
    tasks.clear();
    cluster.net.close(address);
  }

  /** Stops answering and acting, with all that is on it, and goes on later. */
  void hang(long ms) {
    hanging = true;
    cluster.clock.after(
        ms,
        () -> {
          hanging = false;
          checkLease();
          cluster.checks.wentOn(this);
          List<Runnable> late = List.copyOf(whenAwake);
          whenAwake.clear();
          late.forEach(Runnable::run);
        });
  }

  void deafen(long ms) {
    deaf = true;
    unanswered.clear();
    cluster.clock.after(ms, () -> deaf = false);
  }

  void mute(long ms) {
    mute = true;
    cluster.clock.after(ms, () -> mute = false);
  }

  /** Ends and is back under its old name, with nothing of what it knew. */
  void restart(long ms) {
    if (gone || !up) {
      return;
    }
    up = false;
    tasks.clear();
    whenAwake.clear();
    reports++;
    waiting = false;
    cluster.net.close(address);
    cluster.clock.after(
        ms,
        () -> {
          tenure = 1;
          counter = 0;
          fence = 0;
          start();
        });
  }

  private void lease() {
    if (gone) {
      return;
    }
    if (!hanging && up) {
      checkLease();
    }
    cluster.clock.after(200, this::lease);
  }

  private void checkLease() {
    if (cluster.clock.now() - leaseFrom > cluster.leaseMs && !keepsTasks) {
      cluster.checks.leasesEnded++;
      cluster.checks.endedByLease += tasks.values().stream().filter(Task::on).count();
      tasks.clear();
      tenure++;
      counter = 0;
      leaseFrom = cluster.clock.now();
    }
  }

  private void loop() {
    if (gone) {
      return;
    }
    if (!hanging && !waiting && up) {
      report();
    }
    cluster.clock.after(1000 + cluster.random.nextInt(800), this::loop);
  }

  /** The session: it moves on each time the lease ends. */
  long tenure() {
    return tenure;
  }

  /** The highest token that it has seen. */
  long fence() {
    return fence;
  }

  private ObjectNode view() {
    counter++;
    ObjectNode map =
        Cbor.map()
            .put("host", host)
            .put("endpoint", address)
            .put("flavour", SimCluster.TYPE)
            .put("hall", hall)
            .put("lendable", cheap)
            .put("tenure", tenure)
            .put("counter", counter)
            .put("fence", fence);
    ArrayNode pieces = map.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode item =
          pieces
              .addObject()
              .put("piece", task.piece)
              .put("try", task.attempt)
              .put("status", task.status);
      if (task.cause != null) {
        item.put("cause", task.cause);
      }
    }
    return map;
  }

  private void report() {
    waiting = true;
    long mine = ++reports;
    long sentAt = cluster.clock.now();
    long sentTenure = tenure;
    byte[] report = Cbor.bytes(view());
    long sentCounter = counter;
    if (mute) {
      int tried = node;
      cluster.clock.after(
          ANSWER_MS, () -> answered(mine, sentAt, sentTenure, tried, Env.Reply.NONE));
      return;
    }
    if (cluster.random.nextDouble() < cluster.copies) {
      cluster.clock.after(
          1000 + cluster.random.nextInt((int) cluster.copiesWithinMs - 1000),
          () -> {
            oldCopies += tenure != sentTenure || counter > sentCounter ? 1 : 0;
            copiesOfEarlierSessions += tenure != sentTenure ? 1 : 0;
            cluster.net.call(address, hello(cluster.anyNode(), report), reply -> {});
          });
    }
    int to = node;
    heardBy = heardBy < 0 ? to : heardBy;
    if (cluster.heldReports.holds(this, report, sentTenure, sentCounter)) {
      cluster.clock.after(ANSWER_MS, () -> answered(mine, sentAt, sentTenure, to, Env.Reply.NONE));
      return;
    }
    cluster.net.call(
        address, hello(to, report), reply -> answered(mine, sentAt, sentTenure, to, reply));
  }

  /** Whether something newer than such a report has left since. */
  boolean isOlder(long thatTenure, long thatCounter) {
    return tenure != thatTenure || counter > thatCounter;
  }

  boolean isOfEarlierSession(long thatTenure) {
    return tenure != thatTenure;
  }

  private Env.Call hello(int to, byte[] report) {
    return new Env.Call(cluster.nodeAddress(to), "POST", "/hello", report, ANSWER_MS);
  }

  private void answered(long mine, long sentAt, long sentTenure, int to, Env.Reply reply) {
    if (gone || mine != reports) {
      return;
    }
    if (deaf && reply.status() != 0) {
      unanswered.add(sentAt);
      cluster.clock.after(
          sentAt + ANSWER_MS - cluster.clock.now(),
          () -> answered(mine, sentAt, sentTenure, to, Env.Reply.NONE));
      return;
    }
    waiting = false;
    if (hanging) {
      return;
    }
    try {
      JsonNode body = reply.body().length == 0 ? Cbor.map() : Cbor.parse(reply.body());
      if (reply.status() == 200) {
        if (body.path("fence").asLong() >= fence && sentTenure == tenure) {
          fence = body.path("fence").asLong();
          leaseFrom = Math.max(leaseFrom, sentAt);
          renewedBy = to;
          renewedAt = cluster.clock.now();
          execute(body, false);
        }
      } else if (reply.status() == 421 && body.hasNonNull("steward")) {
        node = cluster.nodeIndex(body.path("steward").asText());
      } else {
        node = (node + 1) % cluster.nodeCount();
      }
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void handle(String method, String path, ObjectNode body, SimNet.Answer out) {
    if (gone || deaf || !up) {
      return;
    }
    if (hanging) {
      whenAwake.add(() -> handle(method, path, body, out));
      return;
    }
    if (path.equals("/status")) {
      out.send(200, view());
      return;
    }
    boolean ok = body.path("fence").asLong() >= fence && body.path("tenure").asLong() == tenure;
    if (ok) {
      fence = body.path("fence").asLong();
      execute(body, true);
    }
    out.send(ok ? 200 : 409, view());
  }

  private static String key(String piece, long attempt) {
    return piece + "#" + attempt;
  }

  /** Whether it is up, hears what it is told, and runs what it is given. */
  boolean takesWork() {
    return up && !gone && !hanging && !deaf && !sick;
  }

  /** What its tasks leave free. */
  Resources free() {
    return room.minus(used());
  }

  boolean hasService() {
    return tasks.values().stream().anyMatch(task -> task.on() && task.spec.isService());
  }

  private Resources used() {
    Resources sum = Resources.NONE;
    for (Task task : tasks.values()) {
      if (task.on()) {
        sum = sum.plus(task.spec.resources());
      }
    }
    return sum;
  }

  private void execute(JsonNode body, boolean direct) {
    String from = body.path(FROM).asText();
    long leftAt = body.path(LEFT_AT).asLong();
    for (JsonNode order : body.path("orders")) {
      String piece = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      Task task = tasks.get(key(piece, attempt));
      String verb = order.path("verb").asText();
      boolean matters = verb.equals("run") ? task == null : isOn(task, verb.equals("kill"));
      if (matters) {
        cluster.orders.add(
            new OrderLog.Done(
                cluster.clock.now(), leftAt, from, host, verb, piece, attempt, direct),
            tenure);
      }
      switch (verb) {
        case "run" -> {
          if (task == null) {
            run(piece, attempt, leftAt);
          }
        }
        case "kill" -> {
          if (task != null && task.on()) {
            cluster.checks.stopped++;
            exit(task, "stopped");
          }
        }
        case "reap" -> {
          if (task != null && !task.on()) {
            tasks.remove(key(piece, attempt));
          }
        }
        default -> throw new IllegalStateException("verb " + order);
      }
    }
  }

  private static boolean isOn(Task task, boolean on) {
    return task != null && task.on() == on;
  }

  private void run(String piece, long attempt, long leftAt) {
    JobSpec spec = cluster.uploaded(piece.substring(0, piece.indexOf('/')));
    Task task = new Task(spec, piece, attempt, leftAt);
    boolean busy = tasks.values().stream().anyMatch(t -> t.on() && t.piece.equals(piece));
    boolean fits = spec != null && used().plus(spec.resources()).fitsInto(room);
    tasks.put(key(piece, attempt), task);
    if (spec == null) {
      exit(task, "unknown");
      return;
    }
    if (busy || !fits) {
      exit(task, busy ? "in_use" : "full");
      return;
    }
    cluster.cloud.used.add(host);
    cluster.checks.onMachine(this, task);
    cluster.clock.after(200 + cluster.random.nextInt(1500), () -> begin(task));
  }

  boolean alive(Task task) {
    return !gone && tasks.get(key(task.piece, task.attempt)) == task && task.on();
  }

  private void begin(Task task) {
    if (hanging) {
      whenAwake.add(() -> begin(task));
    } else if (alive(task)) {
      boolean broken = cluster.broken.contains(task.spec.ref());
      cluster.checks.brokenTries += broken ? 1 : 0;
      if (sick || broken) {
        exit(task, "error");
        return;
      }
      task.status = "running";
      cluster.checks.started(this, task);
      if (!task.spec.isService()) {
        cluster.clock.after(runMs(task), () -> end(task));
      }
    }
  }

  /** A class of jobs whose tasks end far apart. */
  static final String APART = "apart";

  private static long runMs(Task task) {
    long ms = (long) (task.spec.estimatedRunS() * 1000);
    int number = Integer.parseInt(task.piece.substring(task.piece.indexOf('/') + 1));
    return task.spec.jobclass().equals(APART) ? ms * (1 + 4 * number) : ms;
  }

  private void end(Task task) {
    if (hanging) {
      whenAwake.add(() -> end(task));
    } else if (alive(task)) {
      cluster.checks.completed(task);
      exit(task, "done");
    }
  }

  private void exit(Task task, String cause) {
    task.status = "exited";
    task.cause = cause;
  }
}
