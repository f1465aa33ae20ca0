package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service, as the page of the protocol has it. Each controller has an endpoint of its own. */
final class StateService {
  private record Item(JsonNode data, long stamp, long tenancy) {}

  private record Event(String key, JsonNode data, long stamp) {}

  private static final class Hold {
    long lifeMs;
    long endsAt;
  }

  static final class Bucket {
    private final double rate;
    private final double burst;
    private double tokens;
    private long last = System.nanoTime();

    Bucket(double rate, double burst) {
      this.rate = rate;
      this.burst = burst;
      this.tokens = burst;
    }

    synchronized boolean take(double n) {
      long now = System.nanoTime();
      tokens = Math.min(burst, tokens + (now - last) / 1e9 * rate);
      last = now;
      if (tokens < n) {
        return false;
      }
      tokens -= n;
      return true;
    }
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final Bucket requests;
  private final Bucket changes;
  private final double valueBytes;
  private final int txnOps;
  private long epoch;
  private long dropped;
  private long nextHold;
  private volatile boolean out;
  private final boolean[] refused = new boolean[16];
  /** Share of the transactions that get no answer, and whether these are applied at once. */
  volatile double lateShare;

  volatile boolean lateAtOnce;

  StateService(double rps, double writeRps, double valueKb, int txnOps) {
    requests = new Bucket(rps, rps);
    changes = new Bucket(writeRps, writeRps);
    valueBytes = valueKb * 1024;
    this.txnOps = txnOps;
    Wire.THREADS.execute(this::endHolds);
  }

  void listen(int node, int port) throws IOException {
    Wire.serve(port, (exchange, body) -> handle(node, exchange, body));
  }

  synchronized void outage(boolean on) {
    out = on;
    if (!on) {
      renewAll();
    }
    notifyAll();
  }

  synchronized void refuse(int node, boolean on) {
    refused[node] = on;
    notifyAll();
  }

  private void renewAll() {
    long now = System.nanoTime();
    holds.values().forEach(hold -> hold.endsAt = now + hold.lifeMs * 1_000_000);
  }

  private void endHolds() {
    while (true) {
      Wire.pause(20);
      synchronized (this) {
        if (out) {
          continue;
        }
        long now = System.nanoTime();
        for (long id : List.copyOf(holds.keySet())) {
          if (now > holds.get(id).endsAt) {
            end(id);
          }
        }
      }
    }
  }

  private void end(long id) {
    holds.remove(id);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.tenancy == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(key -> change(key, null, 0));
      notifyAll();
    }
  }

  private void change(String key, JsonNode data, long tenancy) {
    if (data == null) {
      items.remove(key);
    } else {
      items.put(key, new Item(data, epoch, tenancy));
    }
    events.add(new Event(key, data, epoch));
    if (events.size() > 10_000) {
      dropped = events.poll().stamp;
    }
  }

  private boolean isAway(int node) {
    return out || refused[node];
  }

  private void handle(int node, HttpExchange exchange, ObjectNode body) throws Exception {
    String method = exchange.getRequestMethod();
    String path = exchange.getRequestURI().getPath();
    Wire.pause(2);
    if (isAway(node)) {
      Wire.answer(exchange, 503, null);
    } else if (!requests.take(1)) {
      Wire.answer(exchange, 429, null);
    } else if (path.equals("/multi")) {
      multi(exchange, body);
    } else if (path.equals("/changes")) {
      watch(node, exchange, query(exchange));
    } else if (path.equals("/keys")) {
      list(exchange, query(exchange));
    } else if (path.startsWith("/keys/")) {
      get(exchange, path.substring("/keys/".length()));
    } else if (path.startsWith("/holds")) {
      hold(exchange, method, path, body);
    } else {
      Wire.answer(exchange, 404, null);
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> fields = new HashMap<>();
    String query = exchange.getRequestURI().getQuery();
    for (String part : query == null ? new String[0] : query.split("&")) {
      int at = part.indexOf('=');
      fields.put(part.substring(0, at), part.substring(at + 1));
    }
    return fields;
  }

  private void hold(HttpExchange exchange, String method, String path, ObjectNode body)
      throws IOException {
    int status = 200;
    ObjectNode answer = null;
    synchronized (this) {
      if (path.equals("/holds")) {
        Hold hold = new Hold();
        hold.lifeMs = body.path("lifeMs").asLong();
        hold.endsAt = System.nanoTime() + hold.lifeMs * 1_000_000;
        holds.put(++nextHold, hold);
        answer = Wire.map().put("tenancy", nextHold);
      } else {
        long id = Long.parseLong(path.split("/")[2]);
        Hold hold = holds.get(id);
        if (hold == null) {
          status = 404;
        } else if (method.equals("DELETE")) {
          end(id);
        } else {
          hold.endsAt = System.nanoTime() + hold.lifeMs * 1_000_000;
        }
      }
    }
    Wire.answer(exchange, status, answer);
  }

  private void get(HttpExchange exchange, String key) throws IOException {
    ObjectNode answer = Wire.map();
    int status;
    synchronized (this) {
      Item item = items.get(key);
      status = item == null ? 404 : 200;
      if (item == null) {
        answer.put("epoch", epoch);
      } else {
        answer.put("key", key).put("stamp", item.stamp).set("data", item.data);
        if (item.tenancy != 0) {
          answer.put("tenancy", item.tenancy);
        }
      }
    }
    Wire.answer(exchange, status, answer);
  }

  private void list(HttpExchange exchange, Map<String, String> query) throws IOException {
    ObjectNode answer = Wire.map();
    ArrayNode list = answer.putArray("items");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    String under = query.getOrDefault("under", "");
    String since = query.getOrDefault("since", "");
    boolean more = false;
    int bytes = 0;
    synchronized (this) {
      for (Map.Entry<String, Item> entry : items.tailMap(under, true).entrySet()) {
        if (!entry.getKey().startsWith(under)) {
          break;
        }
        if (entry.getKey().compareTo(since) <= 0) {
          continue;
        }
        bytes += entry.getValue().data.toString().length() + 100;
        if (list.size() == most || bytes > 500_000) {
          more = true;
          break;
        }
        ObjectNode item = list.addObject().put("key", entry.getKey());
        item.put("stamp", entry.getValue().stamp).set("data", entry.getValue().data);
      }
      answer.put("hasNext", more).put("epoch", epoch);
    }
    Wire.answer(exchange, 200, answer);
  }

  private void watch(int node, HttpExchange exchange, Map<String, String> query) throws Exception {
    long since = Long.parseLong(query.getOrDefault("since", "0"));
    long blockMs = Math.min(60_000, Long.parseLong(query.getOrDefault("blockMs", "0")));
    String under = query.getOrDefault("under", "");
    long until = System.nanoTime() + blockMs * 1_000_000;
    ObjectNode answer = Wire.map();
    ArrayNode list = answer.putArray("events");
    int status = 200;
    synchronized (this) {
      while (true) {
        if (!isAway(node)) {
          if (since < dropped) {
            status = 410;
            break;
          }
          boolean found =
              events.stream().anyMatch(e -> e.stamp > since && e.key.startsWith(under));
          if (found || System.nanoTime() >= until) {
            break;
          }
        }
        wait(Math.max(1, Math.min(50, (until - System.nanoTime()) / 1_000_000)));
      }
      answer.put("epoch", epoch);
      for (Event event : events) {
        if (event.stamp > since && event.key.startsWith(under)) {
          ObjectNode each = list.addObject();
          each.put(event.data == null ? "remove" : "put", event.key).put("stamp", event.stamp);
          if (event.data != null) {
            each.set("data", event.data);
          }
        }
      }
    }
    Wire.answer(exchange, status, answer);
  }

  private void multi(HttpExchange exchange, ObjectNode body) throws IOException {
    if (Math.random() < lateShare) {
      boolean atOnce = lateAtOnce;
      Wire.pause(atOnce ? 0 : (long) (2000 + 10_000 * Math.random()));
      while (out) {
        Wire.pause(100);
      }
      Wire.Answer answer = transact(body);
      Record.say("state service: a transaction %s, %d", atOnce ? "without answer" : "late",
          answer.status());
      Wire.pause(atOnce ? 3000 : 0);
      exchange.close();
      return;
    }
    Wire.Answer answer = transact(body);
    Wire.answer(exchange, answer.status(), answer.body());
  }

  private Wire.Answer transact(ObjectNode body) {
    JsonNode apply = body.path("apply");
    JsonNode guards = body.path("guards");
    boolean large = apply.size() > txnOps || guards.size() > 4 * txnOps;
    large |= body.toString().length() > 64 * 1024;
    for (JsonNode op : apply) {
      large |= op.has("put") && op.path("data").toString().length() > valueBytes;
    }
    if (large) {
      Record.say("state service: 400, a value or transaction over the limits");
      return new Wire.Answer(400, Wire.map().put("error", "too large"), 0);
    }
    if (!changes.take(apply.size())) {
      return new Wire.Answer(429, null, 0);
    }
    ObjectNode answer = Wire.map();
    int status = 200;
    synchronized (this) {
      for (JsonNode op : apply) {
        if (op.has("put") && op.has("tenancy") && !holds.containsKey(op.path("tenancy").asLong())) {
          status = 400;
          answer.put("error", "no such lease");
        }
      }
      if (status == 200) {
        List<String> failed = new ArrayList<>();
        for (JsonNode guard : guards) {
          Item item = items.get(guard.path("key").asText());
          if ((item == null ? 0 : item.stamp) != guard.path("stamp").asLong()) {
            failed.add(guard.path("key").asText());
          }
        }
        if (failed.isEmpty()) {
          epoch += apply.size() > 0 ? 1 : 0;
          for (JsonNode op : apply) {
            if (op.has("put")) {
              change(op.path("put").asText(), op.path("data"), op.path("tenancy").asLong(0));
            } else if (items.containsKey(op.path("remove").asText())) {
              change(op.path("remove").asText(), null, 0);
            }
          }
          notifyAll();
        } else {
          status = 409;
          failed.forEach(answer.putArray("failed")::add);
        }
        answer.put("epoch", epoch);
      }
    }
    return new Wire.Answer(status, answer, 0);
  }

  synchronized String holder(String prefix) {
    for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
      if (entry.getKey().startsWith(prefix)) {
        return entry.getValue().data.path("name").asText("");
      }
    }
    return "";
  }
}
