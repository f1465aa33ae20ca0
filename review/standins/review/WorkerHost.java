package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** A machine with its worker, as the protocol page describes it. */
final class WorkerHost {
  /** A task on the machine. */
  private static final class Piece {
    final String id;
    final long attempt;
    final JsonNode spec;
    String status = "fetching";
    String cause;
    boolean stored;
    long dueAt;
    boolean present;

    Piece(String id, long attempt, JsonNode spec) {
      this.id = id;
      this.attempt = attempt;
      this.spec = spec;
    }

    boolean exited() {
      return status.equals("exited");
    }
  }

  private final Deployment deployment;
  final String host;
  private final String type;
  private final String hall;
  private final boolean lendable;
  private final Map<String, Net.Server> servers = new TreeMap<>();
  private final Map<String, Piece> pieces = new LinkedHashMap<>();
  private final Map<String, Long> images = new LinkedHashMap<>();
  private long tenure = 1;
  private long counter;
  private long fence;
  private long renewedAt = now();
  private long fencedChangeAt;
  private int target;
  private boolean changed = true;
  private boolean ended;

  WorkerHost(Deployment deployment, String host, String type, String hall, boolean lendable)
      throws IOException {
    this.deployment = deployment;
    this.host = host;
    this.type = type;
    this.hall = hall;
    this.lendable = lendable;
    target = ThreadLocalRandom.current().nextInt(deployment.nodes.size());
    for (String node : deployment.nodes) {
      servers.put(
          node,
          new Net.Server((method, path, query, body) -> handle(node, method, path, query, body)));
    }
    Net.daemon(this::reportLoop, host);
    Net.daemon(this::taskLoop, host);
  }

  String zone() {
    return hall;
  }

  /** The address at which a controller reaches this machine. */
  String endpoint(String node) {
    return servers.get(node).address();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  synchronized void end(String why) {
    ended = true;
    pieces.values().forEach(piece -> leave(piece, why));
    pieces.clear();
    servers.values().forEach(Net.Server::close);
  }

  private void leave(Piece piece, String why) {
    if (piece.present) {
      piece.present = false;
      deployment.taskLeft(piece.id, host, piece.attempt, why);
    }
  }

  // ---- tasks ----

  private void taskLoop() {
    while (true) {
      Net.sleep(50);
      long hangFrom = now();
      while (now() < hangUntil) {
        Net.sleep(20);
      }
      long hung = now() - hangFrom;
      synchronized (this) {
        if (ended) {
          return;
        }
        pieces.values().forEach(p -> p.dueAt = p.dueAt == Long.MAX_VALUE ? p.dueAt : p.dueAt + hung);
        if (now() - renewedAt > deployment.leaseMs) {
          if (!pieces.isEmpty()) {
            deployment.record(host + " lease ends, session " + tenure);
          }
          pieces.values().forEach(piece -> leave(piece, "lease ended"));
          pieces.clear();
          tenure++;
          counter = 0;
          renewedAt = now();
          changed = true;
        }
        for (Piece piece : pieces.values()) {
          if (!piece.exited() && now() >= piece.dueAt) {
            advance(piece);
          }
        }
      }
    }
  }

  private void advance(Piece piece) {
    changed = true;
    if (piece.status.equals("fetching")) {
      if (deployment.finished.contains(piece.id)) {
        piece.present = true;
        deployment.taskStarted(piece.id, host, piece.attempt);
        exit(piece, "done");
        return;
      }
      piece.status = "running";
      piece.present = true;
      deployment.taskStarted(piece.id, host, piece.attempt);
      piece.dueAt =
          piece.spec.path("shape").asText().equals("daemon")
              ? Long.MAX_VALUE
              : now() + (long) (piece.spec.path("runS").asDouble() * 1000);
    } else if (piece.status.equals("saving")) {
      piece.stored = true;
      exit(piece, "stopped");
    } else {
      deployment.finished.add(piece.id);
      exit(piece, "done");
    }
  }

  private void exit(Piece piece, String cause) {
    piece.status = "exited";
    piece.cause = cause;
    changed = true;
    leave(piece, cause);
  }

  private void execute(JsonNode order) {
    String id = order.path("piece").asText();
    long attempt = order.path("try").asLong();
    Piece known = pieces.get(id + " " + attempt);
    switch (order.path("verb").asText()) {
      case "run":
        if (known == null) {
          start(id, attempt);
        }
        break;
      case "kill":
        if (known != null && !known.exited()) {
          boolean saves =
              known.status.equals("running")
                  && known.spec.path("snapshotS").asDouble() > 0
                  && order.path("windDownS").asDouble() >= known.spec.path("flushS").asDouble();
          if (saves) {
            known.status = "saving";
            known.dueAt = now() + (long) (known.spec.path("flushS").asDouble() * 1000);
          } else if (!known.status.equals("saving") || order.path("windDownS").asDouble() == 0) {
            exit(known, "stopped");
          }
        }
        break;
      case "reap":
        if (known != null && known.exited()) {
          pieces.remove(id + " " + attempt);
        }
        break;
      default:
    }
  }

  private void start(String id, long attempt) {
    JsonNode spec = deployment.specs.get(id.substring(0, id.lastIndexOf('/')));
    Piece piece = new Piece(id, attempt, spec);
    boolean inUse = pieces.values().stream().anyMatch(p -> p.id.equals(id) && !p.exited());
    pieces.put(id + " " + attempt, piece);
    changed = true;
    if (spec == null) {
      piece.status = "exited";
      piece.cause = "unknown";
      return;
    }
    if (inUse) {
      piece.status = "exited";
      piece.cause = "in_use";
      return;
    }
    double cpus = 0;
    double ram = 0;
    for (Piece each : pieces.values()) {
      if (!each.exited()) {
        cpus += each.spec.path("cpus").asDouble();
        ram += each.spec.path("ramGb").asDouble();
      }
    }
    if (cpus > deployment.plan.typeCpus || ram > deployment.plan.typeRamGb) {
      piece.status = "exited";
      piece.cause = "full";
      return;
    }
    long ready =
        images.computeIfAbsent(
            spec.path("bundle").asText(),
            b -> now() + (long) (spec.path("imageGb").asDouble() * 1000));
    piece.dueAt = Math.max(now(), ready);
  }

  // ---- messages ----

  private ObjectNode report(String node) {
    counter++;
    ObjectNode map =
        Net.map()
            .put("host", host)
            .put("endpoint", endpoint(node))
            .put("flavour", type)
            .put("hall", hall)
            .put("lendable", lendable)
            .put("tenure", tenure)
            .put("counter", counter)
            .put("fence", fence)
            .putNull("warningS");
    ArrayNode list = map.putArray("pieces");
    for (Piece piece : pieces.values()) {
      ObjectNode item =
          list.addObject()
              .put("piece", piece.id)
              .put("try", piece.attempt)
              .put("status", piece.status);
      if (piece.cause != null) {
        item.put("cause", piece.cause);
      }
      if (piece.stored) {
        item.put("stored", true);
      }
    }
    return map;
  }

  private void raiseFence(long token) {
    if (token > fence) {
      fence = token;
      if (now() - fencedChangeAt > deployment.leaseMs / 2) {
        fencedChangeAt = now();
        changed = true;
      }
    }
  }

  private Net.Answer handle(
      String node, String method, String path, Map<String, String> query, byte[] body) {
    if (Math.random() < deployment.lateCommandShare && path.equals("/commands")) {
      Net.daemon(
          () -> {
            Net.sleep(2000 + (long) (Math.random() * 14000));
            execute(node, path, body);
          },
          "late");
      Net.sleep(3000);
      return null;
    }
    if (now() < deafUntil) {
      Net.sleep(3000);
      return null;
    }
    while (now() < hangUntil) {
      Net.sleep(20);
    }
    if (deployment.isCut(node, this)) {
      while (deployment.isCut(node, this)) {
        Net.sleep(20);
      }
      execute(node, path, body);
      return null;
    }
    return execute(node, path, body);
  }

  /** Until when answers and direct requests to this machine are lost. */
  volatile long deafUntil;

  /** Until when the machine hangs; requests wait and are carried out when it goes on. */
  volatile long hangUntil;

  private synchronized Net.Answer execute(String node, String path, byte[] body) {
    if (ended) {
      return null;
    }
    if (path.equals("/status")) {
      return new Net.Answer(200, report(node));
    }
    ObjectNode command = Net.parse(body);
    if (command == null || !command.has("fence") || !command.has("tenure")) {
      return new Net.Answer(400, Net.map());
    }
    if (command.path("fence").asLong() < fence || command.path("tenure").asLong() != tenure) {
      return new Net.Answer(409, report(node));
    }
    raiseFence(command.path("fence").asLong());
    command.path("orders").forEach(order -> log("direct", order));
    command.path("orders").forEach(this::execute);
    return new Net.Answer(200, report(node));
  }

  private void log(String way, JsonNode order) {
    deployment.recordQuietly(
        host + " " + way + " order " + order.path("verb").asText() + " "
            + order.path("piece").asText() + " try " + order.path("try").asLong());
  }

  private void reportLoop() {
    while (true) {
      while (now() < hangUntil) {
        Net.sleep(20);
      }
      ObjectNode report;
      long sentAt;
      long session;
      String node;
      synchronized (this) {
        if (ended) {
          return;
        }
        changed = false;
        node = deployment.nodes.get(target % deployment.nodes.size());
        report = report(node);
        sentAt = now();
        session = tenure;
      }
      if (Math.random() < deployment.lateReportShare) {
        ObjectNode copy = report;
        Net.daemon(
            () -> {
              Net.sleep(2000 + (long) (Math.random() * 40000));
              deployment.nodes.forEach(
                  n -> Net.call(deployment.listen.get(n), "POST", "/hello", copy, 4000));
            },
            "copy");
      }
      Net.Answer answer = hello(node, report);
      while (now() < hangUntil) {
        Net.sleep(20);
      }
      boolean next = false;
      synchronized (this) {
        if (ended) {
          return;
        }
        if (now() < deafUntil || now() - sentAt > 4000) {
          next = true;
        } else if (answer.status() == 200 && answer.body() != null) {
          boolean valid = answer.body().path("fence").asLong(-1) >= fence;
          if (valid && session == tenure) {
            renewedAt = sentAt;
            raiseFence(answer.body().path("fence").asLong());
            answer.body().path("orders").forEach(order -> log("answer", order));
            answer.body().path("orders").forEach(this::execute);
          }
        } else {
          String steward = answer.text("steward");
          int index = steward == null ? -1 : deployment.nodes.indexOf(steward);
          if (answer.status() == 421 && index >= 0 && !steward.equals(node)) {
            target = index;
          } else {
            next = true;
          }
        }
      }
      if (next) {
        target = (target + 1) % deployment.nodes.size();
        Net.sleep(1000);
      } else if (answer.status() == 200) {
        pause();
      }
    }
  }

  private Net.Answer hello(String node, ObjectNode report) {
    if (!deployment.isCut(node, this)) {
      return Net.call(deployment.listen.get(node), "POST", "/hello", report, 4000);
    }
    Net.daemon(
        () -> {
          while (deployment.isCut(node, this)) {
            Net.sleep(20);
          }
          Net.call(deployment.listen.get(node), "POST", "/hello", report, 4000);
        },
        "held");
    Net.sleep(4000);
    return new Net.Answer(0, null);
  }

  private void pause() {
    long from = now();
    double interval =
        deployment.reportMs * (0.75 + 0.5 * ThreadLocalRandom.current().nextDouble());
    while (now() - from < interval) {
      Net.sleep(50);
      synchronized (this) {
        if (ended || (changed && now() - from >= 500)) {
          return;
        }
      }
    }
  }

  /** Whether a task with these needs fits beside what is on the machine. */
  synchronized boolean hasRoom(double cpus, double ramGb) {
    double freeCpus = deployment.plan.typeCpus;
    double freeRam = deployment.plan.typeRamGb;
    for (Piece piece : pieces.values()) {
      if (!piece.exited()) {
        freeCpus -= piece.spec.path("cpus").asDouble();
        freeRam -= piece.spec.path("ramGb").asDouble();
      }
    }
    return !ended && cpus <= freeCpus && ramGb <= freeRam;
  }
}
