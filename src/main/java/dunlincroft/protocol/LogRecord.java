package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One slot of a shard's log: what became of tasks of many jobs, in the order of its entries'
 * numbers. An entry gives the newest state of the tasks that it names, whatever it was before.
 */
public record LogRecord(List<Entry> entries) {
  /** News of one job; entries written together share a number. */
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

  /** The number of the last entry; 0 without any. */
  public long lastNumber() {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).number();
  }
}
