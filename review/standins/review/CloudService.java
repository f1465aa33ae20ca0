package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page, with one machine type; machines are {@link WorkerHost}s. */
final class CloudService {
  private record Listed(String host, WorkerHost worker, String hall, boolean lendable, String status,
      long rentedAt) {}

  private record View(long at, Map<String, Listed> machines) {}

  private final Deployment deployment;
  private final Map<String, Listed> machines = new TreeMap<>();
  private final Map<String, ObjectNode> answered = new HashMap<>();
  private final java.util.ArrayDeque<View> views = new java.util.ArrayDeque<>();
  private final Map<String, Net.Server> servers = new TreeMap<>();
  private int counter = 100;
  private final int mostPerZone;
  double bootS = 15;

  /** Share of the rentals and releases that are carried out late and not answered. */
  volatile double lateShare;
  double listLagS = 6;

  CloudService(Deployment deployment, int mostPerZone) throws IOException {
    this.deployment = deployment;
    this.mostPerZone = mostPerZone;
    for (String node : deployment.nodes) {
      servers.put(
          node,
          new Net.Server((method, path, query, body) -> handle(node, method, path, query, body)));
    }
    Net.daemon(this::remember, "list");
  }

  /** The address of the cloud for a controller. */
  String address(String node) {
    return servers.get(node).address();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private void remember() {
    while (true) {
      synchronized (this) {
        views.add(new View(now(), new TreeMap<>(machines)));
        while (views.size() > 1 && views.peek().at < now() - (long) (listLagS * 1000)) {
          views.poll();
        }
      }
      Net.sleep(250);
    }
  }

  /** Rents a machine that is up at once. */
  synchronized String startMachine(String hall, boolean lendable) {
    String host = rent(hall, lendable);
    boot(host);
    return host;
  }

  private String rent(String hall, boolean lendable) {
    String host = String.format("host-%06d", counter++);
    machines.put(host, new Listed(host, null, hall, lendable, "booting", now()));
    return host;
  }

  private synchronized void boot(String host) {
    Listed listed = machines.get(host);
    if (listed != null) {
      WorkerHost worker = deployment.addWorker(host, deployment.plan.type, listed.hall, listed.lendable);
      machines.put(
          host,
          new Listed(
              host, worker, listed.hall, listed.lendable, "running", listed.rentedAt));
    }
  }

  /** The cloud takes a machine back. */
  synchronized void take(String host) {
    machines.remove(host);
    WorkerHost worker = deployment.workers.remove(host);
    if (worker != null) {
      worker.end("taken");
      deployment.record("cloud takes " + host);
    }
  }

  private Net.Answer handle(
      String node, String method, String path, Map<String, String> query, byte[] body) {
    Net.sleep(120);
    if (Math.random() < lateShare && method.equals("POST")) {
      Net.sleep(5500 + (long) (Math.random() * 20000));
      (path.equals("/machines") ? hire(Net.parse(body)) : release(Net.parse(body))).status();
      return null;
    }
    switch (path) {
      case "/machine_types":
        ObjectNode type =
            Net.map()
                .put("label", deployment.plan.type)
                .put("cpus", deployment.plan.typeCpus)
                .put("gpus", 0.0)
                .put("ramGb", deployment.plan.typeRamGb)
                .put("cacheGb", 50.0)
                .put("pullGbPerS", 1.0)
                .put("price", 1.49)
                .put("lowPrice", 0.43)
                .put("startupS", bootS);
        deployment.zones.forEach(type.putArray("halls")::add);
        ObjectNode types = Net.map();
        types.putArray("flavours").add(type);
        return new Net.Answer(200, types);
      case "/machines":
        return method.equals("POST") ? hire(Net.parse(body)) : list(node, query);
      case "/machines/release":
        return release(Net.parse(body));
      default:
        return new Net.Answer(400, Net.map());
    }
  }

  private synchronized Net.Answer hire(ObjectNode body) {
    String name = body.path("hire").asText();
    if (answered.containsKey(name)) {
      return new Net.Answer(200, answered.get(name));
    }
    String hall = body.path("hall").asText();
    long present = machines.values().stream().filter(m -> m.hall.equals(hall)).count();
    long number = Math.min(body.path("number").asInt(), mostPerZone - present);
    if (number <= 0) {
      return new Net.Answer(503, Net.map().put("error", "no capacity"));
    }
    ObjectNode answer = Net.map();
    ArrayNode hosts = answer.putArray("hosts");
    for (int i = 0; i < number; i++) {
      String host = rent(hall, body.path("lendable").asBoolean());
      hosts.add(host);
      Net.daemon(
          () -> {
            Net.sleep((long) (bootS * 1000));
            boot(host);
          },
          "boot");
    }
    answered.put(name, answer);
    deployment.record("cloud rents " + number + " in " + hall + " for " + name);
    return new Net.Answer(200, answer);
  }

  private synchronized Net.Answer release(ObjectNode body) {
    for (JsonNode host : body.path("hosts")) {
      if (machines.remove(host.asText()) != null) {
        WorkerHost worker = deployment.workers.remove(host.asText());
        if (worker != null) {
          worker.end("released");
        }
        deployment.record("cloud releases " + host.asText());
      }
    }
    return new Net.Answer(200, Net.map());
  }

  private synchronized Net.Answer list(String node, Map<String, String> query) {
    String since = query.getOrDefault("since", "");
    int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
    View view = views.peek();
    ObjectNode page = Net.map();
    ArrayNode hosts = page.putArray("hosts");
    boolean hasNext = false;
    for (Listed listed : List.copyOf(view.machines.values())) {
      if (listed.host.compareTo(since) <= 0) {
        continue;
      }
      if (hosts.size() == most) {
        hasNext = true;
        break;
      }
      if (!machines.containsKey(listed.host)) {
        continue;
      }
      ObjectNode item =
          hosts
              .addObject()
              .put("ref", listed.host)
              .put("flavour", deployment.plan.type)
              .put("hall", listed.hall)
              .put("lendable", listed.lendable)
              .put("status", listed.status)
              .put("heldS", (view.at - listed.rentedAt) / 1000.0);
      if (listed.worker != null) {
        item.put("endpoint", listed.worker.endpoint(node));
      }
    }
    return new Net.Answer(200, page.put("hasNext", hasNext));
  }
}
