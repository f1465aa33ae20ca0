package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A worker, as the page of the protocol has it. */
final class Worker {
  private static final class Task {
    String piece;
    long attempt;
    Job job;
    String status;
    String cause;
    boolean stored;
    double until;
    boolean present;
  }

  final String host;
  final String flavour;
  final String zone;
  final boolean lendable;
  final String endpoint;
  private final World world;
  private final HttpServer server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Map<String, Double> fetches = new HashMap<>();
  private final Random random = new Random();
  private long tenure = 1;
  private long counter;
  private long fence;
  private double leaseFrom = Record.now();
  private double nextReport = Record.now();
  private double lastReport = -1;
  private boolean changed;
  private boolean inFlight;
  private int node;
  private double fenceChangeAt;
  private volatile boolean gone;
  volatile boolean sick;
  volatile boolean hung;
  volatile boolean cut;
  volatile double takenAt = -1;

  /** When an answer last renewed the lease. */
  volatile double answeredAt;

  Worker(World world, String host, String flavour, String zone, boolean lendable)
      throws IOException {
    this.world = world;
    this.host = host;
    this.flavour = flavour;
    this.zone = zone;
    this.lendable = lendable;
    this.node = random.nextInt(world.controllers.size());
    int port = Wire.freePort();
    endpoint = Wire.HOST + ":" + port;
    server =
        Wire.serve(
            port,
            (exchange, body) -> {
              while ((hung || cut) && !gone) {
                Wire.pause(50);
              }
              if (gone) {
                exchange.close();
              } else if (exchange.getRequestURI().getPath().equals("/commands")) {
                if (Math.random() < world.lateCommands) {
                  Wire.pause((long) (2000 + 14_000 * Math.random()));
                  int late = command(body, Wire.map());
                  Record.say("%s: a command carried out late, %d", this.host, late);
                  exchange.close();
                  return;
                }
                ObjectNode answer = Wire.map();
                int status = command(body, answer);
                Wire.answer(exchange, status, answer);
              } else {
                Wire.answer(exchange, 200, answerReport());
              }
            });
    Wire.THREADS.execute(this::live);
  }

  boolean is(String other) {
    return host.equals(other);
  }

  /** The machine and all that is on it are gone. */
  synchronized void end(String why) {
    if (!gone) {
      gone = true;
      tasks.values().forEach(task -> leave(task, why));
      Wire.THREADS.execute(() -> server.stop(0));
    }
  }

  boolean isGone() {
    return gone;
  }

  private void live() {
    while (!gone) {
      Wire.pause(20);
      if (hung) {
        continue;
      }
      synchronized (this) {
        checkLease();
        step();
        double now = Record.now();
        boolean due = now >= nextReport || (changed && now - lastReport >= 0.5);
        if (due && !inFlight && now >= nextReport - 100 && !gone) {
          inFlight = true;
          changed = false;
          lastReport = now;
          nextReport = now + world.reportS * (0.75 + random.nextDouble() / 2);
          ObjectNode report = report();
          long sentTenure = tenure;
          int to = node;
          Wire.THREADS.execute(() -> send(report, to, sentTenure, now));
        }
      }
    }
  }

  private double retryAt;

  private void send(ObjectNode report, int to, long sentTenure, double sentAt) {
    Wire.pause((long) ((retryAt - Record.now()) * 1000));
    Wire.Answer answer = new Wire.Answer(0, Wire.map(), 0);
    if (cut) {
      Wire.pause(4000);
    } else {
      answer = Wire.call("POST", world.controllers.get(to).listen, "/hello", report, 4000);
    }
    if (cut) {
      answer = new Wire.Answer(0, Wire.map(), 0);
    }
    while (hung) {
      Wire.pause(20);
    }
    synchronized (this) {
      inFlight = false;
      double now = Record.now();
      if (now - sentAt > 4.5) {
        answer = new Wire.Answer(0, Wire.map(), 0);
      }
      if (answer.status() == 200) {
        accept(answer.body(), sentTenure, sentAt);
        return;
      }
      if (answer.status() == 421 && answer.body().path("steward").isTextual()) {
        int steward = world.indexOf(answer.body().path("steward").asText());
        if (steward >= 0 && steward != to) {
          node = steward;
          changed = true;
          lastReport = now - 0.5;
          return;
        }
      }
      node = (to + 1) % world.controllers.size();
      retryAt = now + 1;
      changed = true;
    }
  }

  private void accept(ObjectNode body, long sentTenure, double sentAt) {
    long token = body.path("fence").asLong(-1);
    if (sentTenure != tenure || token < fence) {
      return;
    }
    leaseFrom = Math.max(leaseFrom, sentAt);
    answeredAt = Record.now();
    see(token);
    execute(body.path("orders"));
  }

  private void see(long token) {
    if (token > fence) {
      fence = token;
      if (Record.now() - fenceChangeAt > world.leaseS / 2) {
        fenceChangeAt = Record.now();
        changed = true;
      }
    }
  }

  private synchronized int command(ObjectNode body, ObjectNode answer) {
    checkLease();
    step();
    if (!body.has("fence") || !body.has("tenure")) {
      return 400;
    }
    int status = 409;
    if (body.path("fence").asLong() >= fence && body.path("tenure").asLong() == tenure) {
      see(body.path("fence").asLong());
      execute(body.path("orders"));
      status = 200;
    }
    answer.setAll(report());
    return status;
  }

  private synchronized ObjectNode answerReport() {
    checkLease();
    step();
    return report();
  }

  private void checkLease() {
    double now = Record.now();
    if (now - leaseFrom > world.leaseS) {
      Record.say("%s: lease over, session %d ends", host, tenure);
      tasks.values().forEach(task -> leave(task, "lease over"));
      tasks.clear();
      fetches.clear();
      tenure++;
      leaseFrom = now;
      changed = true;
    }
  }

  private ObjectNode report() {
    ObjectNode map = Wire.map();
    map.put("host", host).put("endpoint", endpoint).put("flavour", flavour).put("hall", zone);
    map.put("lendable", lendable).put("tenure", tenure).put("counter", ++counter);
    map.put("fence", fence);
    map.put("warningS", takenAt < 0 ? null : (Double) Math.max(0, takenAt - Record.now()));
    ArrayNode list = map.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode each = list.addObject().put("piece", task.piece).put("try", task.attempt);
      each.put("status", task.status);
      if (task.cause != null) {
        each.put("cause", task.cause);
      }
      if (task.stored) {
        each.put("stored", true);
      }
    }
    return map;
  }

  private void execute(JsonNode orders) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      String key = piece + " " + attempt;
      Task task = tasks.get(key);
      switch (order.path("verb").asText()) {
        case "run" -> {
          if (task == null) {
            run(key, piece, attempt);
          }
        }
        case "kill" -> {
          if (task != null) {
            kill(task, order.path("windDownS").asDouble());
          }
        }
        default -> {
          if (task != null && task.status.equals("exited")) {
            tasks.remove(key);
          }
        }
      }
    }
  }

  private void run(String key, String piece, long attempt) {
    Task task = new Task();
    task.piece = piece;
    task.attempt = attempt;
    task.job = world.jobs.get(piece.substring(0, piece.lastIndexOf('/')));
    tasks.put(key, task);
    changed = true;
    if (task.job == null) {
      exit(task, "unknown");
      return;
    }
    double cpus = world.type.cpus;
    double ram = world.type.ramGb;
    for (Task other : tasks.values()) {
      if (other != task && !"exited".equals(other.status)) {
        cpus -= other.job.cpus;
        ram -= other.job.ramGb;
        if (other.piece.equals(piece)) {
          exit(task, "in_use");
          return;
        }
      }
    }
    if (cpus < task.job.cpus - 1e-9 || ram < task.job.ramGb - 1e-9) {
      exit(task, "full");
      return;
    }
    task.status = "fetching";
    Record.say("%s: run %s try %d", host, piece, attempt);
    step();
  }

  private void kill(Task task, double windDownS) {
    if (task.status.equals("exited")) {
      return;
    }
    Record.say("%s: kill %s try %d", host, task.piece, task.attempt);
    boolean saves = task.job.snapshotS > 0 && windDownS >= task.job.flushS;
    if (task.status.equals("running") && saves) {
      task.status = "saving";
      task.until = Record.now() + task.job.flushS;
      changed = true;
    } else if (!task.status.equals("saving") || windDownS == 0) {
      exit(task, "stopped");
    }
  }

  private void exit(Task task, String cause) {
    leave(task, cause);
    task.status = "exited";
    task.cause = cause;
    changed = true;
  }

  private void leave(Task task, String why) {
    if (task.present) {
      task.present = false;
      Record.say("%s: %s try %d ends, %s", host, task.piece, task.attempt, why);
      world.runs.left(task.piece, host, why);
    } else if (!why.equals("done") && !"exited".equals(task.status)) {
      Record.say("%s: %s try %d does not run, %s", host, task.piece, task.attempt, why);
    }
  }

  /** Carries out what is due: fetches, ends and saves. */
  private void step() {
    double now = Record.now();
    List<String> ready = new ArrayList<>();
    fetches.forEach(
        (image, at) -> {
          if (now >= at) {
            ready.add(image);
          }
        });
    ready.forEach(fetches::remove);
    images.addAll(ready);
    for (Task task : List.copyOf(tasks.values())) {
      switch (task.status) {
        case "fetching" -> {
          if (!images.contains(task.job.image)) {
            fetches.computeIfAbsent(
                task.job.image, image -> now + task.job.imageGb / world.type.pullGbPerS);
          } else {
            begin(task, now);
          }
        }
        case "running" -> {
          if (now >= task.until) {
            world.done.add(task.piece);
            exit(task, "done");
          }
        }
        case "saving" -> {
          if (now >= task.until) {
            task.stored = true;
            exit(task, "stopped");
          }
        }
        default -> {}
      }
    }
  }

  private void begin(Task task, double now) {
    task.present = true;
    world.runs.came(task.piece, host, zone, lendable);
    Record.say("%s: %s try %d starts", host, task.piece, task.attempt);
    if (world.done.contains(task.piece)) {
      exit(task, "done");
    } else if (sick) {
      exit(task, "error");
    } else {
      task.status = "running";
      changed = true;
      task.until = task.job.service ? Double.MAX_VALUE : now + task.job.runS;
    }
  }

  /** The cloud will take the machine in some seconds. */
  synchronized void warn(double seconds) {
    takenAt = Record.now() + seconds;
    changed = true;
  }

  synchronized boolean hasService() {
    return tasks.values().stream().anyMatch(t -> !"exited".equals(t.status) && t.job.service);
  }

  synchronized double freeCpus() {
    double cpus = world.type.cpus;
    for (Task task : tasks.values()) {
      cpus -= "exited".equals(task.status) ? 0 : task.job.cpus;
    }
    return cpus;
  }

  synchronized double freeRam() {
    double ram = world.type.ramGb;
    for (Task task : tasks.values()) {
      ram -= "exited".equals(task.status) ? 0 : task.job.ramGb;
    }
    return ram;
  }
}
