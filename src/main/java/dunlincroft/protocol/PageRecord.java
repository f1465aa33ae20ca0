package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The state of a run of a job's tasks as of an entry of its shard's log: later entries go on top of
 * it. Task numbers count from the page's first task.
 */
public record PageRecord(TaskState state, long upToEntry) {
  /** Reads a page; the version before had no log, and its pages are complete as of its start. */
  public static PageRecord parse(JsonNode map) throws MalformedException {
    return new PageRecord(TaskState.parse(map), map.has("upTo") ? Fields.count(map, "upTo") : 0);
  }

  public ObjectNode toNode() {
    ObjectNode map = Cbor.map().put("upTo", upToEntry);
    state.write(map);
    return map;
  }
}
