package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The cloud, as the page of the protocol has it. */
final class Cloud {
  static final class Host {
    final String ref;
    final String zone;
    final boolean lendable;
    final double hiredAt = Record.now();
    volatile double goneAt = Double.MAX_VALUE;
    volatile double upAt;
    volatile Worker worker;

    Host(String ref, String zone, boolean lendable) {
      this.ref = ref;
      this.zone = zone;
      this.lendable = lendable;
    }
  }

  private final World world;
  private final Map<String, JsonNode> hires = new HashMap<>();
  final List<Host> hosts = new ArrayList<>();
  final Map<String, Integer> capacity = new HashMap<>();
  private final StateService.Bucket requests;
  volatile boolean out;
  volatile int refusedReleases;
  private int last;

  Cloud(World world, int port) throws IOException {
    this.world = world;
    requests = new StateService.Bucket(world.cloudRps, 2 * world.cloudRps);
    Wire.serve(port, this::handle);
  }

  /** Machines that the zone has, ordinary or spot. */
  void capacity(String zone, boolean lendable, int count) {
    capacity.put(zone + lendable, count);
  }

  Host add(String zone, boolean lendable, double bootS) throws IOException {
    Host host;
    synchronized (this) {
      host = new Host(String.format("host-%06d", ++last), zone, lendable);
      host.upAt = Record.now() + bootS;
      hosts.add(host);
    }
    Wire.THREADS.execute(
        () -> {
          Wire.pause((long) (bootS * 1000));
          try {
            if (host.goneAt == Double.MAX_VALUE) {
              host.worker = new Worker(world, host.ref, world.type.label, zone, lendable);
              Record.say("%s is up in %s", host.ref, zone);
            }
          } catch (IOException e) {
            Record.say("%s does not come up: %s", host.ref, e);
          }
        });
    return host;
  }

  synchronized int count(String zone, boolean lendable) {
    return (int)
        hosts.stream()
            .filter(h -> h.zone.equals(zone) && h.lendable == lendable)
            .filter(h -> h.goneAt == Double.MAX_VALUE)
            .count();
  }

  synchronized List<Host> present() {
    return hosts.stream().filter(h -> h.goneAt == Double.MAX_VALUE).toList();
  }

  void end(Host host, String why) {
    host.goneAt = Record.now();
    Record.say("%s is gone: %s", host.ref, why);
    if (host.worker != null) {
      host.worker.end(why);
    }
  }

  private void handle(HttpExchange exchange, ObjectNode body) throws Exception {
    String path = exchange.getRequestURI().getPath();
    Wire.pause(100);
    if (out) {
      refusedReleases += path.equals("/machines/release") ? 1 : 0;
      Record.say("cloud: 503 trouble to %s %s", exchange.getRequestMethod(), path);
      Wire.answer(exchange, 503, Wire.map().put("error", "trouble"));
    } else if (!requests.take(1)) {
      Wire.answer(exchange, 429, null);
    } else if (path.equals("/machine_types")) {
      types(exchange);
    } else if (path.equals("/machines/release")) {
      for (JsonNode ref : body.path("hosts")) {
        for (Host host : present()) {
          if (host.ref.equals(ref.asText())) {
            end(host, "released");
          }
        }
      }
      Wire.answer(exchange, 200, Wire.map());
    } else if (exchange.getRequestMethod().equals("POST")) {
      hire(exchange, body);
    } else {
      list(exchange);
    }
  }

  private void types(HttpExchange exchange) throws IOException {
    ObjectNode answer = Wire.map();
    ObjectNode type = answer.putArray("flavours").addObject();
    type.put("label", world.type.label).put("cpus", world.type.cpus).put("gpus", 0.0);
    type.put("ramGb", world.type.ramGb).put("cacheGb", 40.0);
    type.put("pullGbPerS", world.type.pullGbPerS).put("price", 1.49).put("lowPrice", 0.43);
    type.put("startupS", world.type.startupS);
    ArrayNode halls = type.putArray("halls");
    world.zones.forEach(halls::add);
    Wire.answer(exchange, 200, answer);
  }

  private void hire(HttpExchange exchange, ObjectNode body) throws IOException {
    String zone = body.path("hall").asText();
    boolean lendable = body.path("lendable").asBoolean();
    JsonNode answer;
    synchronized (this) {
      answer = hires.get(body.path("hire").asText());
      if (answer == null) {
        int room = capacity.getOrDefault(zone + lendable, 0) - count(zone, lendable);
        int number = Math.min(room, body.path("number").asInt());
        if (number > 0) {
          ObjectNode map = Wire.map();
          ArrayNode list = map.putArray("hosts");
          for (int i = 0; i < number; i++) {
            list.add(add(zone, lendable, world.type.startupS * (0.6 + 0.9 * Math.random())).ref);
          }
          answer = map;
          hires.put(body.path("hire").asText(), map);
          Record.say("cloud: hired %s in %s", list, zone);
        }
      }
    }
    if (answer == null) {
      Wire.answer(exchange, 503, Wire.map().put("error", "no capacity"));
    } else {
      Wire.answer(exchange, 200, answer);
    }
  }

  private void list(HttpExchange exchange) throws IOException {
    String query = exchange.getRequestURI().getQuery();
    String since = query.replaceAll("^since=([^&]*).*", "$1");
    double at = Record.now() - world.listLagS;
    ObjectNode answer = Wire.map();
    ArrayNode list = answer.putArray("hosts");
    synchronized (this) {
      for (Host host : hosts) {
        if (host.hiredAt <= at && host.goneAt > at && host.ref.compareTo(since) > 0) {
          ObjectNode item = list.addObject().put("ref", host.ref);
          item.put("endpoint", host.worker == null ? null : host.worker.endpoint);
          item.put("flavour", world.type.label).put("hall", host.zone);
          item.put("lendable", host.lendable);
          item.put("status", host.upAt <= at ? "running" : "booting");
          item.put("heldS", at - host.hiredAt);
        }
      }
    }
    Wire.answer(exchange, 200, answer.put("hasNext", false));
  }
}
