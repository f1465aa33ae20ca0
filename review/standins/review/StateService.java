package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The state service of the protocol page. Every controller has an address of its own. */
final class StateService {
  private static final int KEPT_CHANGES = 10_000;
  private static final int PAGE_BYTES = 512 * 1024;

  record Item(JsonNode data, long stamp, long tenancy) {}

  private record Change(long stamp, String key, JsonNode data) {}

  private static final class Hold {
    final long lifeMs;
    long endsAt;

    Hold(long lifeMs) {
      this.lifeMs = lifeMs;
      this.endsAt = now() + lifeMs;
    }
  }

  private static final class Bucket {
    final double rate;
    double tokens;
    long at = System.nanoTime();

    Bucket(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    boolean take(double n) {
      long nanos = System.nanoTime();
      tokens = Math.min(rate, tokens + (nanos - at) * rate / 1e9);
      at = nanos;
      if (tokens < n) {
        return false;
      }
      tokens -= n;
      return true;
    }
  }

  final TreeMap<String, Item> items = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final Bucket requests;
  private Bucket writes;
  private double valueKb;
  private int txnOps;
  long epoch = 1;

  private long forgottenUpTo = 0;
  private long nextHold = 1;

  /** Controllers that are refused with status 503. */
  final Set<String> refused = ConcurrentHashMap.newKeySet();

  /** Controllers whose requests are held back, and carried out once they are not. */
  final Set<String> held = ConcurrentHashMap.newKeySet();

  /** Whether the service refuses everybody. */
  volatile boolean outage;

  /** Share of the transactions that get no answer, and whether they are carried out late. */
  volatile double lostShare;

  volatile boolean lostAreLate;

  /** Requests answered, by controller and kind. */
  final Map<String, Integer> counts = new ConcurrentHashMap<>();

  final Map<String, Net.Server> servers = new TreeMap<>();

  StateService(double rps, double writeRps, double valueKb, int txnOps, List<String> nodes)
      throws IOException {
    requests = new Bucket(rps);
    writes = new Bucket(writeRps);
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    for (String node : nodes) {
      servers.put(
          node, new Net.Server((method, path, query, body) -> handle(node, method, path, query, body)));
    }
    Net.daemon(this::expire, "holds");
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Changes the limits on values, transactions and changes a second. */
  synchronized void limit(double newValueKb, int newTxnOps, double newWriteRps) {
    valueKb = newValueKb;
    txnOps = newTxnOps;
    writes = new Bucket(newWriteRps);
  }

  /** Writes a key as another client or an earlier life of the controllers would have. */
  synchronized void put(String key, JsonNode data) {
    epoch++;
    apply(key, data, 0);
  }

  /** Lays a key down with a stamp of the past, as it was written long ago. */
  synchronized void lay(String key, JsonNode data, long stamp) {
    items.put(key, new Item(data, stamp, 0));
  }

  private void apply(String key, JsonNode data, long tenancy) {
    if (data == null) {
      if (items.remove(key) == null) {
        return;
      }
    } else {
      items.put(key, new Item(data, epoch, tenancy));
    }
    changes.add(new Change(epoch, key, data));
    while (changes.size() > KEPT_CHANGES) {
      forgottenUpTo = changes.poll().stamp;
    }
    notifyAll();
  }

  private void expire() {
    while (true) {
      Net.sleep(20);
      synchronized (this) {
        for (Map.Entry<Long, Hold> hold : List.copyOf(holds.entrySet())) {
          if (outage) {
            hold.getValue().endsAt = now() + hold.getValue().lifeMs;
          } else if (now() >= hold.getValue().endsAt) {
            end(hold.getKey());
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
      keys.forEach(key -> apply(key, null, 0));
    }
  }

  private Net.Answer handle(
      String node, String method, String path, Map<String, String> query, byte[] body)
      throws InterruptedException {
    Net.sleep(3);
    if (held.contains(node)) {
      while (held.contains(node)) {
        Net.sleep(10);
      }
      if (path.equals("/multi")) {
        synchronized (this) {
          multi(Net.parse(body));
        }
      }
      return null;
    }
    if (outage || refused.contains(node)) {
      return new Net.Answer(503, Net.map().put("error", "trouble"));
    }
    if (path.equals("/multi") && Math.random() < lostShare) {
      boolean late = lostAreLate && Math.random() < 0.7;
      Net.daemon(
          () -> {
            Net.sleep(late ? 2000 + (long) (Math.random() * 10000) : 0);
            synchronized (this) {
              multi(Net.parse(body));
            }
          },
          "late");
      Net.sleep(2500);
      return null;
    }
    synchronized (this) {
      if (!requests.take(1)) {
        counts.merge(node + " 429", 1, Integer::sum);
        return new Net.Answer(429, null);
      }
      counts.merge(node + " " + path.split("/")[1], 1, Integer::sum);
      if (path.startsWith("/keys/")) {
        return get(path.substring("/keys/".length()));
      }
      switch (path) {
        case "/keys":
          return list(query);
        case "/multi":
          return multi(Net.parse(body));
        case "/changes":
          return changes(node, query);
        case "/holds":
          return open(Net.parse(body));
        default:
          return path.startsWith("/holds/")
              ? hold(method, path.split("/"))
              : new Net.Answer(400, Net.map());
      }
    }
  }

  private Net.Answer get(String key) {
    Item item = items.get(key);
    if (item == null) {
      return new Net.Answer(404, Net.map().put("epoch", epoch));
    }
    ObjectNode map = Net.map().put("key", key).put("stamp", item.stamp);
    map.set("data", item.data);
    return new Net.Answer(200, item.tenancy == 0 ? map : map.put("tenancy", item.tenancy));
  }

  private Net.Answer list(Map<String, String> query) {
    String under = query.get("under");
    String since = query.getOrDefault("since", "");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    ObjectNode page = Net.map();
    ArrayNode list = page.putArray("items");
    int size = 0;
    boolean hasNext = false;
    String start = since.compareTo(under) > 0 ? since : under;
    for (Map.Entry<String, Item> entry :
        items.tailMap(start, !start.equals(since)).entrySet()) {
      if (!entry.getKey().startsWith(under)) {
        break;
      }
      int length = entry.getKey().length() + entry.getValue().data.toString().length() + 40;
      if (list.size() == most || (size + length > PAGE_BYTES && !list.isEmpty())) {
        hasNext = true;
        break;
      }
      size += length;
      ObjectNode item = list.addObject().put("key", entry.getKey());
      item.set("data", entry.getValue().data);
      item.put("stamp", entry.getValue().stamp);
    }
    return new Net.Answer(200, page.put("hasNext", hasNext).put("epoch", epoch));
  }

  private Net.Answer multi(ObjectNode txn) {
    JsonNode apply = txn.path("apply");
    JsonNode guards = txn.path("guards");
    if (!writes.take(apply.size())) {
      return new Net.Answer(429, null);
    }
    if (apply.size() > txnOps || guards.size() > 4 * txnOps || txn.toString().length() > 65536) {
      counts.merge("400 transaction too large", 1, Integer::sum);
      return new Net.Answer(400, Net.map().put("error", "too large"));
    }
    List<String> failed = new ArrayList<>();
    for (JsonNode guard : guards) {
      Item item = items.get(guard.path("key").asText());
      if ((item == null ? 0 : item.stamp) != guard.path("stamp").asLong()) {
        failed.add(guard.path("key").asText());
      }
    }
    for (JsonNode op : apply) {
      if (op.has("tenancy") && !holds.containsKey(op.path("tenancy").asLong())) {
        return new Net.Answer(400, Net.map().put("error", "no such lease"));
      }
      if (op.path("data").toString().length() > valueKb * 1024) {
        String key = op.path("put").asText();
        counts.merge("400 value too large: " + key, 1, Integer::sum);
        return new Net.Answer(400, Net.map().put("error", "value too large"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode map = Net.map();
      failed.forEach(map.putArray("failed")::add);
      return new Net.Answer(409, map.put("epoch", epoch));
    }
    if (!apply.isEmpty()) {
      epoch++;
    }
    for (JsonNode op : apply) {
      if (op.has("put")) {
        apply(op.path("put").asText(), op.path("data"), op.path("tenancy").asLong());
      } else {
        apply(op.path("remove").asText(), null, 0);
      }
    }
    return new Net.Answer(200, Net.map().put("epoch", epoch));
  }

  private Net.Answer changes(String node, Map<String, String> query) throws InterruptedException {
    String under = query.get("under");
    long since = Long.parseLong(query.get("since"));
    long until = now() + Long.parseLong(query.getOrDefault("blockMs", "0"));
    while (true) {
      if (since < forgottenUpTo) {
        return new Net.Answer(410, Net.map().put("epoch", epoch));
      }
      boolean blocked = outage || refused.contains(node) || held.contains(node);
      ObjectNode answer = Net.map().put("epoch", epoch);
      ArrayNode events = answer.putArray("events");
      for (Change change : changes) {
        if (!blocked && change.stamp > since && change.key.startsWith(under)) {
          ObjectNode event = events.addObject();
          if (change.data == null) {
            event.put("remove", change.key);
          } else {
            event.put("put", change.key).set("data", change.data);
          }
          event.put("stamp", change.stamp);
        }
      }
      long left = until - now();
      if (!blocked && (!events.isEmpty() || left <= 0)) {
        return new Net.Answer(200, answer);
      }
      wait(blocked ? 50 : left);
    }
  }

  private Net.Answer open(ObjectNode body) {
    long id = nextHold++;
    holds.put(id, new Hold(body.path("lifeMs").asLong()));
    return new Net.Answer(200, Net.map().put("tenancy", id));
  }

  private Net.Answer hold(String method, String[] path) {
    long id = Long.parseLong(path[2]);
    Hold hold = holds.get(id);
    if (hold == null) {
      return new Net.Answer(404, Net.map().put("epoch", epoch));
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      hold.endsAt = now() + hold.lifeMs;
    }
    return new Net.Answer(200, Net.map());
  }

  synchronized Item item(String key) {
    return items.get(key);
  }
}
