package rig;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** A small deployment: controllers, state service, cloud, workers and users on loopback. */
final class World {
  static final class Type {
    String label = "clyde-32";
    double cpus = 32;
    double ramGb = 64;
    double startupS = 15;
    double pullGbPerS = 2.0;
  }

  record Team(String name, double cpus, double cpusMax) {}

  final Type type = new Type();
  List<String> zones = List.of("dundee", "gyle", "leith");
  double reportS = 3;
  double leaseS = 21;
  double cancelS = 46;
  double rps = 90;
  double writeRps = 35;
  double valueKb = 16;
  int txnOps = 16;
  double cloudRps = 2;
  double listLagS = 6;
  double memoryMb = 263;

  /** Seconds after which the program ends in any case. */
  long limitSeconds = 117;

  /** Share of the direct commands that are held up and get no answer. */
  volatile double lateCommands;

  final List<Team> teams = new ArrayList<>();
  final List<Controller> controllers = new ArrayList<>();
  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  final Set<String> done = ConcurrentHashMap.newKeySet();
  final Map<String, Double> cancelled = new ConcurrentHashMap<>();
  final Map<String, String> finals = new ConcurrentHashMap<>();
  final Set<String> accepted = ConcurrentHashMap.newKeySet();
  final Runs runs = new Runs(this);
  StateService state;
  Cloud cloud;
  private Path folder;

  World() {
    teams.add(new Team("dealing-desk", 376, 1248));
    teams.add(new Team("settlement-clerks", 216, 440));
    teams.add(new Team("migration-squad", 376, 936));
    teams.add(new Team("compliance", 248, 936));
  }

  double limitOf(String team) {
    return teams.stream().filter(t -> t.name.equals(team)).findFirst().orElseThrow().cpusMax;
  }

  int indexOf(String node) {
    for (int i = 0; i < controllers.size(); i++) {
      if (controllers.get(i).name.equals(node)) {
        return i;
      }
    }
    return -1;
  }

  /** Starts the platform and the controllers. */
  void start(Path root) throws IOException {
    folder = Files.createTempDirectory("case");
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    Wire.THREADS.execute(
        () -> {
          Wire.pause(1000 * limitSeconds);
          Record.say("no case: out of time");
          System.exit(2);
        });
    List<String> sites = List.of("leith", "gyle", "dundee");
    for (int i = 0; i < 3; i++) {
      controllers.add(new Controller("croft-" + i, sites.get(i), root, folder));
    }
    state = new StateService(rps, writeRps, valueKb, txnOps);
    for (int i = 0; i < controllers.size(); i++) {
      state.listen(i, controllers.get(i).statePort);
    }
    int cloudPort = Wire.freePort();
    cloud = new Cloud(this, cloudPort);
    for (Controller controller : controllers) {
      Files.writeString(
          folder.resolve(controller.name + ".json"),
          Wire.JSON.writeValueAsString(settings(controller, cloudPort)));
      controller.start();
    }
  }

  private ObjectNode settings(Controller own, int cloudPort) {
    ObjectNode map = Wire.map();
    map.put("node_name", own.name).put("site", own.site);
    map.put("listen", own.listen).put("back", own.back);
    ArrayNode others = map.putArray("others");
    for (Controller other : controllers) {
      if (other != own) {
        others.addObject().put("node_name", other.name).put("site", other.site)
            .put("address", other.back);
      }
    }
    map.putObject("endpoints")
        .put("cloud", Wire.HOST + ":" + cloudPort)
        .put("state", Wire.HOST + ":" + own.statePort);
    ObjectNode deployment = map.putObject("deployment").put("initial_size", 3);
    zones.forEach(deployment.putArray("zones")::add);
    ArrayNode list = deployment.putArray("teams");
    for (Team team : teams) {
      list.addObject().put("name", team.name).put("cpus", team.cpus)
          .put("cpus_max", team.cpusMax).put("gpus", 0.0).put("gpus_max", 0.0);
    }
    deployment.putArray("objectives").addObject().put("kind", "wait")
        .put("class", "order-capture").put("within_s", 1.0).put("share", 0.94);
    deployment.putObject("workers").put("report_s", reportS).put("lease_s", leaseS)
        .put("gang_wait_s", 40.0).put("gang_peer_s", 8.0).put("cancel_s", cancelS);
    deployment.putObject("state").put("rps", rps).put("write_rps", writeRps)
        .put("value_kb", valueKb).put("txn_ops", txnOps);
    deployment.putObject("cloud").put("rps", cloudRps).put("list_lag_s", listLagS);
    deployment.putObject("machine_limits").put("core_share", 0.68).put("memory_mb", memoryMb)
        .put("max_sockets", 2000);
    deployment.put("clock_off_ms", 1000.0);
    return map;
  }

  void stop() {
    controllers.forEach(Controller::kill);
    String keep = System.getenv("KEEP_LOGS");
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        if (keep != null && file.toString().endsWith(".log")) {
          Files.copy(file, Path.of(keep).resolve(file.getFileName()),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.delete(file);
      }
    } catch (IOException e) {
      Record.say("temporary folder not removed: %s", e);
    }
  }

  /** Waits until all controllers are ready; false if they are not in time. */
  boolean awaitReady(double seconds) {
    double until = Record.now() + seconds;
    while (Record.now() < until) {
      boolean all = true;
      for (Controller controller : controllers) {
        all &= Wire.call("GET", controller.listen, "/ready", null, 1000).status() == 200;
      }
      if (all && !state.holder("d/leader/").isEmpty()) {
        return true;
      }
      Wire.pause(200);
    }
    return false;
  }

  // ---- users ----

  /** Submits a job as a user does, for 60 s at most; returns whether it was accepted. */
  boolean submit(Job job, int firstNode) {
    jobs.put(job.ref, job);
    double until = Record.now() + 60;
    int node = firstNode;
    while (Record.now() < until) {
      Controller controller = controllers.get(node++ % controllers.size());
      Wire.Answer answer =
          Wire.call("POST", controller.listen, "/submissions", job.toNode(), 5000);
      Record.say("user submits %s to %s: %d %s", job.ref, controller.name, answer.status(),
          answer.body().path("status").asText());
      if (answer.status() == 200 || answer.status() == 201) {
        accepted.add(job.ref);
        return true;
      }
      if (answer.status() == 400 || answer.status() == 422) {
        return false;
      }
      if (answer.status() > 0) {
        Wire.pause((long) (1000 * Math.max(1, answer.retryAfterS())));
      } else {
        Wire.pause(1000);
      }
    }
    return false;
  }

  /** One poll; the status that the user was told, or "" if there was no useful answer. */
  String poll(String ref, int node) {
    Controller controller = controllers.get(node % controllers.size());
    Wire.Answer answer =
        Wire.call("GET", controller.listen, "/submissions/" + ref, null, 2000);
    String status = answer.body().path("status").asText();
    Record.say("user asks %s for %s: %d %s done=%s running=%s", controller.name, ref,
        answer.status(), status, answer.body().path("done"), answer.body().path("running"));
    if (answer.status() == 404 && accepted.contains(ref)) {
      runs.broken("forgotten: " + ref + " is answered 404");
    }
    if (answer.status() == 200) {
      told(ref, status);
    }
    return answer.status() == 200 ? status : "";
  }

  boolean awaitDone(String ref, double seconds) {
    double until = Record.now() + seconds;
    for (int node = 0; Record.now() < until; node++) {
      if (poll(ref, node).equals("done")) {
        return true;
      }
      Wire.pause(300);
    }
    return false;
  }

  private void told(String ref, String status) {
    String before = finals.get(ref);
    if (before != null && !before.equals(status)) {
      runs.broken("went_back: " + ref + " was " + before + " and is " + status);
    }
    if (status.equals("done") || status.equals("withdrawn")) {
      finals.put(ref, status);
    }
    if (status.equals("done")) {
      Job job = jobs.get(ref);
      for (int i = 0; i < job.pieces; i++) {
        if (!done.contains(ref + "/" + i)) {
          runs.broken("not_done: " + ref + " is called done, its task " + i + " is not");
        }
      }
    }
  }

  /** Cancels as a user does; the answer, "" if there was none within 60 s. */
  String cancel(String ref, int firstNode) {
    double until = Record.now() + 60;
    int node = firstNode;
    while (Record.now() < until) {
      Controller controller = controllers.get(node++ % controllers.size());
      Wire.Answer answer =
          Wire.call("POST", controller.listen, "/submissions/" + ref + "/cancel", Wire.map(), 5000);
      String status = answer.body().path("status").asText();
      Record.say("user cancels %s at %s: %d %s", ref, controller.name, answer.status(), status);
      if (answer.status() == 200) {
        if (status.equals("withdrawn")) {
          cancelled.putIfAbsent(ref, Record.now());
        }
        told(ref, status);
        return status;
      }
      Wire.pause((long) (1000 * Math.max(1, answer.retryAfterS())));
    }
    return "";
  }
}
