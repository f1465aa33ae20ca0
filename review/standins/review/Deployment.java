package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment: the project's controllers as processes of their own, started with the command
 * of the deploy file, and stand-ins for state service, cloud, workers and users.
 */
final class Deployment implements AutoCloseable {
  /** A team's guarantee and limit. */
  record Team(String name, double cpus, double cpusMax) {}

  /** Values of the settings; the presets are those of Leithgate's small deployment. */
  static final class Plan {
    List<String> zones = List.of("leith", "gyle", "dundee");
    List<Team> teams =
        List.of(
            new Team("dealing-desk", 376, 1248),
            new Team("settlement-clerks", 216, 440),
            new Team("migration-squad", 376, 936),
            new Team("compliance", 248, 936));
    double reportS = 3;
    double leaseS = 21;
    double cancelS = 46;
    double rps = 90;
    double writeRps = 35;
    double valueKb = 16;
    int txnOps = 16;
    /** The limits that the state service will have later, or null. */
    ObjectNode next;

    double cloudRps = 2;
    double listLagS = 6;
    double memoryMb = 263;
    int maxSockets = 2000;
    int mostPerZone = 16;
    String type = "clyde-32";
    double typeCpus = 32;
    double typeRamGb = 64;
    double bootS = 15;
  }

  final Plan plan;
  final List<String> zones;
  final List<String> nodes = new ArrayList<>();
  final Map<String, String> listen = new TreeMap<>();
  final Map<String, String> back = new TreeMap<>();
  final Map<String, Process> processes = new TreeMap<>();
  final Map<String, WorkerHost> workers = new ConcurrentHashMap<>();

  /** Job descriptions that users uploaded, by name; {@code runS} is the true run time. */
  final Map<String, JsonNode> specs = new ConcurrentHashMap<>();

  /** Tasks that have completed; their results are kept. */
  final Set<String> finished = ConcurrentHashMap.newKeySet();

  /** Proxies between controllers, by "from to". */
  final Map<String, Link> links = new TreeMap<>();

  /** Pairs "controller host" that can't reach each other now; "controller *" is all machines. */
  final Set<String> cuts = ConcurrentHashMap.newKeySet();

  final StateService state;
  final CloudService cloud;
  final double leaseMs;
  final double reportMs;
  final Path folder;
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();
  private final List<ServerSocket> reserved = new ArrayList<>();

  /** Where each task is: host and attempt. */
  private final Map<String, String> places = new HashMap<>();

  /** Starts of a task on one machine while it was on another. */
  final List<String> ranTwice = new ArrayList<>();

  /** Share of the direct commands that are held up, unanswered, and carried out late. */
  volatile double lateCommandShare;

  /** Share of the reports of which a copy comes again later. */
  volatile double lateReportShare;

  /** Starts, by task. */
  final Map<String, Integer> starts = new ConcurrentHashMap<>();

  Deployment(Plan plan, Path recordFile) throws IOException {
    this.plan = plan;
    this.zones = plan.zones;
    this.leaseMs = plan.leaseS * 1000;
    this.reportMs = plan.reportS * 1000;
    out = new PrintWriter(Files.newBufferedWriter(recordFile));
    folder = Files.createTempDirectory("review");
    for (int i = 0; i < 3; i++) {
      String node = "croft-" + i;
      nodes.add(node);
      listen.put(node, reserve());
      back.put(node, reserve());
    }
    state = new StateService(plan.rps, plan.writeRps, plan.valueKb, plan.txnOps, nodes);
    cloud = new CloudService(this, plan.mostPerZone);
    cloud.listLagS = plan.listLagS;
    cloud.bootS = plan.bootS;
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    for (String from : nodes) {
      for (String to : nodes) {
        if (!from.equals(to)) {
          links.put(from + " " + to, new Link(back.get(to)));
        }
      }
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  private String reserve() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(Net.LOOPBACK, 0));
    reserved.add(socket);
    return "127.0.0.1:" + socket.getLocalPort();
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  /** Writes a line to the record. */
  synchronized void record(String text) {
    String line = String.format(Locale.ROOT, "%7.2f %s", seconds(), text);
    out.println(line);
    out.flush();
    System.out.println(line);
  }

  /** Writes a line to the record alone. */
  synchronized void recordQuietly(String text) {
    out.println(String.format(Locale.ROOT, "%7.2f %s", seconds(), text));
  }

  // ---- controllers ----

  ObjectNode settings(String node) {
    JsonNodeFactory json = JsonNodeFactory.instance;
    ObjectNode root = json.objectNode();
    int index = nodes.indexOf(node);
    root.put("node_name", node).put("site", zones.get(index));
    root.put("listen", listen.get(node)).put("back", back.get(node));
    ArrayNode others = root.putArray("others");
    for (int i = 0; i < nodes.size(); i++) {
      if (i != index) {
        others
            .addObject()
            .put("node_name", nodes.get(i))
            .put("site", zones.get(i))
            .put("address", links.get(node + " " + nodes.get(i)).address());
      }
    }
    root.putObject("endpoints")
        .put("cloud", cloud.address(node))
        .put("state", state.servers.get(node).address());
    ObjectNode deployment = root.putObject("deployment");
    deployment.put("initial_size", 3);
    zones.forEach(deployment.putArray("zones")::add);
    ArrayNode list = deployment.putArray("teams");
    for (Team team : plan.teams) {
      list.addObject()
          .put("name", team.name)
          .put("cpus", team.cpus)
          .put("cpus_max", team.cpusMax)
          .put("gpus", 0.0)
          .put("gpus_max", 0.0);
    }
    deployment.putArray("objectives");
    deployment
        .putObject("workers")
        .put("report_s", plan.reportS)
        .put("lease_s", plan.leaseS)
        .put("gang_wait_s", 40.0)
        .put("gang_peer_s", 8.0)
        .put("cancel_s", plan.cancelS);
    ObjectNode stateLimits =
        deployment
            .putObject("state")
            .put("rps", plan.rps)
            .put("write_rps", plan.writeRps)
            .put("value_kb", plan.valueKb)
            .put("txn_ops", plan.txnOps);
    if (plan.next != null) {
      stateLimits.set("next", plan.next);
    }
    deployment.putObject("cloud").put("rps", plan.cloudRps).put("list_lag_s", plan.listLagS);
    deployment
        .putObject("machine_limits")
        .put("core_share", 0.68)
        .put("memory_mb", plan.memoryMb)
        .put("max_sockets", plan.maxSockets);
    deployment.put("clock_off_ms", 1000.0);
    return root;
  }

  /** Starts a controller with the command of the deploy file. */
  void start(String node) {
    try {
      String command = null;
      for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
        if (line.startsWith("run = \"")) {
          command = line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
      }
      Path file = folder.resolve(node + ".json");
      Files.write(
          file, new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(settings(node)));
      List<String> words = new ArrayList<>(Arrays.asList(command.split(" ")));
      words.add(file.toString());
      ProcessBuilder builder = new ProcessBuilder(words);
      builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
      processes.put(node, builder.start());
      record(node + " started");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void kill(String node) {
    processes.get(node).destroyForcibly();
    try {
      processes.get(node).waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    record(node + " killed");
  }

  /** Sends a signal, such as STOP or CONT. */
  void signal(String node, String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(node).pid()))
          .start()
          .waitFor();
      record(node + " gets signal " + signal);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean isReady(String node) {
    return Net.call(listen.get(node), "GET", "/ready", null, 1000).status() == 200;
  }

  /** Waits until a number of controllers is ready; false if the time runs out. */
  boolean awaitReady(int number, double limitS) {
    double from = seconds();
    while (seconds() - from < limitS) {
      if (nodes.stream().filter(this::isReady).count() >= number) {
        return true;
      }
      Net.sleep(200);
    }
    return false;
  }

  /** Whether a controller and a machine can't reach each other now. */
  boolean isCut(String node, WorkerHost worker) {
    return cuts.contains(node + " *")
        || cuts.contains(node + " " + worker.host)
        || cuts.contains(node + " zone " + worker.zone());
  }

  private void endProcesses() {
    processes.values().forEach(Process::destroyForcibly);
  }

  // ---- workers ----

  WorkerHost addWorker(String host, String type, String hall, boolean lendable) {
    try {
      WorkerHost worker = new WorkerHost(this, host, type, hall, lendable);
      workers.put(host, worker);
      record(host + " is up in " + hall);
      return worker;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized void taskStarted(String id, String host, long attempt) {
    starts.merge(id, 1, Integer::sum);
    String other = places.get(id);
    if (other != null && !other.startsWith(host + " ")) {
      ranTwice.add(id + " starts on " + host + " try " + attempt + " while on " + other);
      record("RAN TWICE: " + ranTwice.get(ranTwice.size() - 1));
    }
    places.put(id, host + " try " + attempt);
    recordQuietly(id + " starts on " + host + " try " + attempt);
  }

  synchronized void taskLeft(String id, String host, long attempt, String why) {
    if ((host + " try " + attempt).equals(places.get(id))) {
      places.remove(id);
    }
    recordQuietly(id + " leaves " + host + " try " + attempt + ": " + why);
  }

  /** Tasks that are on machines now, with host and attempt. */
  synchronized Map<String, String> placesNow() {
    return new TreeMap<>(places);
  }

// ---- users ----

  /** A job description; {@code runS} is for the workers only. */
  static ObjectNode job(
      String ref, String jobclass, String team, boolean service, String rank, int pieces,
      double cpus, double ramGb, double runS) {
    ObjectNode map = Net.map();
    map.put("ref", ref)
        .put("jobclass", jobclass)
        .put("owner", team)
        .put("shape", service ? "daemon" : "batch")
        .put("rank", rank)
        .put("pieces", pieces)
        .put("cpus", cpus)
        .put("gpus", 0.0)
        .put("ramGb", ramGb)
        .put("bundle", "img-" + jobclass)
        .put("imageGb", 0.3)
        .putNull("flavours")
        .putNull("hall")
        .put("samePlace", false)
        .put("spread", service)
        .put("lendable", false)
        .put("expectS", service ? 0 : runS)
        .put("snapshotS", 0.0)
        .put("flushS", 0.0)
        .putNull("dueS")
        .put("runS", runS);
    return map;
  }

  private int next;

  /** A request of a user at any node, as the load balancer would send it. */
  Net.Answer user(String method, String path, JsonNode body, int timeoutMs) {
    Net.Answer answer = new Net.Answer(0, null);
    for (int i = 0; i < nodes.size() && answer.status() == 0; i++) {
      String node;
      synchronized (this) {
        next++;
        node = nodes.get(next % nodes.size());
      }
      answer =
          cuts.contains(node + " users")
              ? new Net.Answer(0, null)
              : Net.call(listen.get(node), method, path, body, timeoutMs);
    }
    return answer;
  }

  /** Submits a job until it is accepted, at most for the time that a user tries. */
  boolean submit(ObjectNode job) {
    specs.put(job.path("ref").asText(), job.deepCopy());
    ObjectNode sent = job.deepCopy();
    sent.remove("runS");
    double from = seconds();
    while (seconds() - from < 60) {
      Net.Answer answer = user("POST", "/submissions", sent, 5000);
      recordQuietly("submit " + sent + ": " + answer.status() + " " + answer.body());
      if (answer.status() == 201 || answer.status() == 200) {
        record(job.path("ref").asText() + " accepted: " + answer.status());
        return true;
      }
      Net.sleep(1000);
    }
    return false;
  }

  @Override
  public void close() {
    endProcesses();
    out.flush();
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (IOException e) {
        record("temporary folder not removed");
      }
    } else {
      System.out.println("logs in " + folder);
    }
  }
}
