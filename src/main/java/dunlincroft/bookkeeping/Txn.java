package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A transaction on the state service: its changes apply only if the stamps of all guards match. */
public final class Txn {
  /** How a transaction ended. */
  public enum Outcome {
    /** Applied. */
    OK,
    /** At least one guard did not match; nothing was applied. */
    CONFLICT,
    /** Rejected or never sent: certainly not applied. It may succeed later. */
    REFUSED,
    /** Rejected for its form or size: sent unchanged, it would be rejected again. */
    INVALID,
    /** No usable answer: it may have been applied or may still be. */
    UNKNOWN
  }

  /**
   * Result of a transaction.
   *
   * @param revision revision of the state service after a successful commit, otherwise 0
   * @param failedKeys keys whose guards did not match, after a conflict
   */
  public record Result(Outcome outcome, long revision, List<String> failedKeys) {
    public boolean ok() {
      return outcome == Outcome.OK;
    }
  }

  /** One change: a put, or a removal if {@code data} is null. */
  record Op(String key, JsonNode data, long sessionId) {}

  private final Map<String, Long> guards = new LinkedHashMap<>();
  private final List<Op> ops = new ArrayList<>();

  /** Requires that a key has this stamp; 0 requires that it does not exist. */
  public Txn guard(String key, long stamp) {
    guards.put(key, stamp);
    return this;
  }

  public Txn put(String key, JsonNode data) {
    return put(key, data, 0);
  }

  /** Puts a key that the service removes when the session ends; 0 ties it to no session. */
  public Txn put(String key, JsonNode data, long sessionId) {
    ops.add(new Op(key, data, sessionId));
    return this;
  }

  public Txn remove(String key) {
    ops.add(new Op(key, null, 0));
    return this;
  }

  /** Number of changes, without the guards. */
  public int size() {
    return ops.size();
  }

  List<Op> ops() {
    return ops;
  }

  ObjectNode toNode() {
    ObjectNode map = Cbor.map();
    ArrayNode checks = map.putArray("guards");
    guards.forEach((key, stamp) -> checks.addObject().put("key", key).put("stamp", stamp));
    ArrayNode apply = map.putArray("apply");
    for (Op op : ops) {
      if (op.data == null) {
        apply.addObject().put("remove", op.key);
      } else {
        ObjectNode put = apply.addObject().put("put", op.key);
        put.set("data", op.data);
        if (op.sessionId != 0) {
          put.put("tenancy", op.sessionId);
        }
      }
    }
    return map;
  }
}
