package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The stored state of a contiguous range of a job's tasks.
 *
 * @param state the state, with task numbers relative to the first task of the page
 * @param upToEntry number of the last entry of the shard's log that is included; later entries are
 *     to be applied on top
 */
public record PageRecord(TaskState state, long upToEntry) {
  /**
   * Parses a page. The previous version had no log, so its pages include everything before the
   * first log entry.
   */
  public static PageRecord parse(JsonNode map) throws MalformedException {
    return new PageRecord(TaskState.parse(map), map.has("upTo") ? Fields.count(map, "upTo") : 0);
  }

  public ObjectNode toNode() {
    ObjectNode map = Cbor.map().put("upTo", upToEntry);
    state.write(map);
    return map;
  }
}
