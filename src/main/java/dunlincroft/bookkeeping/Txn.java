package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A guarded transaction on the state service. */
public final class Txn {
  /** How it ended. */
  public enum Outcome {
    /** Applied. */
    OK,
    /** A guard failed; nothing was applied. */
    CONFLICT,
    /** Certainly not carried out. */
    REFUSED,
    /** No answer: it may have been applied, or may yet be. */
    UNKNOWN
  }

  /** The outcome, with the store's revision and the keys whose guards failed. */
  public record Result(Outcome outcome, long revision, List<String> failedKeys) {
    public boolean ok() {
      return outcome == Outcome.OK;
    }
  }

  /** A put ({@code data} set) or a removal. */
  record Op(String key, JsonNode data, long sessionId) {}

  private final Map<String, Long> guards = new LinkedHashMap<>();
  private final List<Op> ops = new ArrayList<>();

  /** Guards a key at a stamp; 0: it must not exist. */
  public Txn guard(String key, long stamp) {
    guards.put(key, stamp);
    return this;
  }

  public Txn put(String key, JsonNode data) {
    return put(key, data, 0);
  }

  /** {@code tenancy} 0 attaches the key to no hold. */
  public Txn put(String key, JsonNode data, long sessionId) {
    ops.add(new Op(key, data, sessionId));
    return this;
  }

  public Txn remove(String key) {
    ops.add(new Op(key, null, 0));
    return this;
  }

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
