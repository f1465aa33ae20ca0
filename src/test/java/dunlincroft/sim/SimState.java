package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Simulates the state service according to its protocol. */
final class SimState {
  private record Item(JsonNode data, long revision, long lease) {}

  private record Change(long revision, String key, JsonNode data) {}

  private record Watch(long since, String prefix, SimNet.Responder responder, boolean[] answered) {}

  /**
   * Maximum number of items in one page of a listing: few, so that keys change while a reader pages
   * through them.
   */
  private static final int LISTING_PAGE_SIZE = 9;

  private final VirtualClock clock;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<Long, Long> leaseExpiries = new HashMap<>();
  private final Map<Long, Long> leaseDurations = new HashMap<>();
  private long currentRevision;
  private long nextLeaseId = 1;
  boolean down;

  /** Number of job pages written so far. */
  int pagesWritten;

  /** Keys that existed and were removed. */
  final Set<String> removedKeys = new HashSet<>();

  /** Number of requests so far. */
  int requestCount;

  /**
   * Deliberate fault, for the test that the checks can fail: transactions are applied although
   * their guards fail.
   */
  boolean ignoreGuards;

  /** Deliberate fault, for tests that the checks can fail: read barriers return no changes. */
  boolean emptyBarriers;

  /**
   * Rejected transactions that were to record the end of a job (a cancellation came first), and
   * rejected cancellations (the end came first).
   */
  int rejectedEnds;

  int rejectedCancels;

  /** Limit of a value, in characters. */
  int maxValueChars = Integer.MAX_VALUE;

  /** Transactions rejected because of this limit. */
  int rejectedAsTooLarge;

  /** Number of changes kept; readers that are further behind get 410. */
  int maxChanges = 10_000;

  SimState(VirtualClock clock) {
    this.clock = clock;
    expireLeases();
  }

  private void expireLeases() {
    if (!down) {
      for (long lease : List.copyOf(leaseExpiries.keySet())) {
        if (leaseExpiries.get(lease) < clock.now()) {
          endLease(lease);
        }
      }
    }
    clock.after(50, this::expireLeases);
  }

  void outage(long ms) {
    down = true;
    clock.after(
        ms,
        () -> {
          down = false;
          leaseExpiries.replaceAll((lease, until) -> clock.now() + leaseDurations.get(lease));
          answerWatches();
        });
  }

  long revision() {
    return currentRevision;
  }

  /** The data of all keys with a prefix, by the rest of the key. */
  Map<String, JsonNode> dataUnder(String prefix) {
    Map<String, JsonNode> found = new TreeMap<>();
    items
        .subMap(prefix, prefix + "~")
        .forEach((key, item) -> found.put(key.substring(prefix.length()), item.data()));
    return found;
  }

  private void endLease(long lease) {
    leaseExpiries.remove(lease);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease == lease) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      currentRevision++;
      keys.forEach(key -> applyChange(key, null, 0));
      answerWatches();
    }
  }

  private void applyChange(String key, JsonNode data, long lease) {
    if (data == null) {
      if (items.remove(key) == null) {
        return;
      }
      removedKeys.add(key);
    } else {
      items.put(key, new Item(data.deepCopy(), currentRevision, lease));
      if (key.startsWith("d/pages/")) {
        pagesWritten++;
      }
    }
    changes.add(new Change(currentRevision, key, data));
    while (changes.size() > maxChanges) {
      changes.remove(0);
    }
  }

  private boolean isTooLarge(ObjectNode body) {
    for (JsonNode op : body.path("apply")) {
      if (op.path("data").toString().length() > maxValueChars) {
        return true;
      }
    }
    return false;
  }

  void handle(String method, String uri, ObjectNode body, SimNet.Responder responder) {
    requestCount++;
    if (down && !uri.startsWith("/changes")) {
      responder.send(503, Cbor.map());
      return;
    }
    Map<String, String> query = new HashMap<>();
    int mark = uri.indexOf('?');
    String path = mark < 0 ? uri : uri.substring(0, mark);
    if (mark >= 0) {
      for (String pair : uri.substring(mark + 1).split("&")) {
        int eq = pair.indexOf('=');
        query.put(pair.substring(0, eq), pair.substring(eq + 1));
      }
    }
    if (path.equals("/multi") && isTooLarge(body)) {
      rejectedAsTooLarge++;
      responder.send(400, Cbor.map().put("error", "too large"));
    } else if (path.equals("/multi")) {
      transact(body, responder);
    } else if (path.equals("/holds")) {
      long durationMs = body.path("lifeMs").asLong();
      leaseExpiries.put(nextLeaseId, clock.now() + durationMs);
      leaseDurations.put(nextLeaseId, durationMs);
      responder.send(200, Cbor.map().put("tenancy", nextLeaseId++));
    } else if (path.startsWith("/holds/")) {
      long lease = Long.parseLong(path.split("/")[2]);
      if (leaseExpiries.containsKey(lease)) {
        leaseExpiries.put(lease, clock.now() + leaseDurations.get(lease));
      }
      responder.send(leaseExpiries.containsKey(lease) ? 200 : 404, Cbor.map());
    } else if (emptyBarriers && path.equals("/changes") && query.get("blockMs").equals("0")) {
      ObjectNode nothing = Cbor.map().put("epoch", Long.parseLong(query.get("since")));
      nothing.putArray("events");
      responder.send(200, nothing);
    } else if (path.equals("/changes")) {
      Watch watch =
          new Watch(
              Long.parseLong(query.get("since")), query.get("under"), responder, new boolean[1]);
      watches.add(watch);
      if (!down || Long.parseLong(query.get("blockMs")) == 0) {
        if (down) {
          watches.remove(watch);
          responder.send(503, Cbor.map());
          return;
        }
        answerWatches();
      }
      clock.after(
          Long.parseLong(query.get("blockMs")),
          () -> {
            if (!down) {
              answerWatch(watch, true);
            }
          });
    } else if (path.equals("/keys")) {
      list(query, responder);
    } else if (path.startsWith("/keys/")) {
      Item item = items.get(path.substring("/keys/".length()));
      if (item == null) {
        responder.send(404, Cbor.map().put("epoch", currentRevision));
      } else {
        ObjectNode found = Cbor.map().put("stamp", item.revision);
        found.set("data", item.data);
        responder.send(200, found);
      }
    }
  }

  private void list(Map<String, String> query, SimNet.Responder responder) {
    ObjectNode answer = Cbor.map().put("epoch", currentRevision);
    ArrayNode found = answer.putArray("items");
    boolean more = false;
    String since = query.getOrDefault("since", query.get("under"));
    for (Map.Entry<String, Item> entry : items.tailMap(since, false).entrySet()) {
      if (!entry.getKey().startsWith(query.get("under"))) {
        break;
      }
      if (found.size() == Math.min(LISTING_PAGE_SIZE, Integer.parseInt(query.get("most")))) {
        more = true;
        break;
      }
      ObjectNode item =
          found.addObject().put("key", entry.getKey()).put("stamp", entry.getValue().revision);
      item.set("data", entry.getValue().data);
    }
    responder.send(200, answer.put("hasNext", more));
  }

  private void transact(ObjectNode body, SimNet.Responder responder) {
    ArrayNode failed = Cbor.map().putArray("failed");
    for (JsonNode guard : body.path("guards")) {
      Item item = items.get(guard.path("key").asText());
      long revision = item == null ? 0 : item.revision;
      if (revision != guard.path("stamp").asLong() && !ignoreGuards) {
        failed.add(guard.path("key").asText());
      }
    }
    for (JsonNode op : body.path("apply")) {
      if (op.has("tenancy") && !leaseExpiries.containsKey(op.path("tenancy").asLong())) {
        responder.send(400, Cbor.map().put("error", "no such lease"));
        return;
      }
    }
    if (!failed.isEmpty()) {
      body.path("apply").forEach(this::countRejected);
      ObjectNode answer = Cbor.map().put("epoch", currentRevision);
      answer.set("failed", failed);
      responder.send(409, answer);
      return;
    }
    currentRevision++;
    for (JsonNode op : body.path("apply")) {
      if (op.has("put")) {
        applyChange(op.path("put").asText(), op.get("data"), op.path("tenancy").asLong());
      } else {
        applyChange(op.path("remove").asText(), null, 0);
      }
    }
    responder.send(200, Cbor.map().put("epoch", currentRevision));
    answerWatches();
  }

  private void countRejected(JsonNode op) {
    String key = op.path("put").asText();
    rejectedEnds += key.startsWith("d/jobs/") && op.path("data").has("status") ? 1 : 0;
    rejectedCancels += key.startsWith("d/cancels/") ? 1 : 0;
  }

  private void answerWatches() {
    List.copyOf(watches).forEach(watch -> answerWatch(watch, false));
  }

  private void answerWatch(Watch watch, boolean empty) {
    if (watch.answered[0]) {
      return;
    }
    if (!changes.isEmpty()
        && watch.since < changes.get(0).revision
        && changes.size() >= maxChanges) {
      finishWatch(watch, 410, Cbor.map());
      return;
    }
    ObjectNode answer = Cbor.map().put("epoch", currentRevision);
    ArrayNode events = answer.putArray("events");
    for (Change change : changes) {
      if (change.revision > watch.since && change.key.startsWith(watch.prefix)) {
        ObjectNode event = events.addObject().put("stamp", change.revision);
        if (change.data == null) {
          event.put("remove", change.key);
        } else {
          event.put("put", change.key).set("data", change.data);
        }
      }
    }
    if (empty || !events.isEmpty()) {
      finishWatch(watch, 200, answer);
    }
  }

  private void finishWatch(Watch watch, int status, ObjectNode body) {
    watch.answered[0] = true;
    watches.remove(watch);
    watch.responder.send(status, body);
  }
}
