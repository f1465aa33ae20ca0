package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The stored record of one slot of a shard's log: changes of task states of many jobs, ordered by
 * entry number. An entry replaces the former state of the tasks that it names.
 */
public record LogRecord(List<Entry> entries) {
  /** The changes of one job; entries that were written together share a number. */
  public record Entry(long number, String job, TaskState state) {
    public static Entry parse(JsonNode map) throws MalformedException {
      return new Entry(Fields.count(map, "n"), Fields.text(map, "job"), TaskState.parse(map));
    }

    public ObjectNode toNode() {
      ObjectNode map = Cbor.map().put("n", number).put("job", job);
      state.write(map);
      return map;
    }
  }

  public static LogRecord parse(JsonNode map) throws MalformedException {
    List<Entry> entries = new ArrayList<>();
    for (JsonNode item : Fields.list(map, "log")) {
      entries.add(Entry.parse(item));
    }
    return new LogRecord(entries);
  }

  /** The number of the last entry, or 0 if there are no entries. */
  public long lastNumber() {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).number();
  }
}
