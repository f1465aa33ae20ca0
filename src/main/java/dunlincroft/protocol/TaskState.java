package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/**
 * The recorded state of some of a job's tasks: those done, those that wait again, and for every
 * task that may be on a machine its host and try. Runs of tasks are written as ranges. {@code
 * faulty}: all that was tried of the job failed, on several machines; so a new holder knows it,
 * too.
 */
public record TaskState(BitSet done, BitSet waiting, List<Place> places, boolean faulty) {
  /** A task that may be on {@code host} as {@code attempt}. */
  public record Place(int task, String host, long attempt) {}

  private static BitSet parseRanges(JsonNode list) {
    BitSet tasks = new BitSet();
    for (int i = 0; i + 1 < list.size(); i += 2) {
      tasks.set(list.get(i).intValue(), list.get(i + 1).intValue());
    }
    return tasks;
  }

  private static void writeRanges(BitSet tasks, ArrayNode into) {
    for (int from = tasks.nextSetBit(0); from >= 0; ) {
      int to = tasks.nextClearBit(from);
      into.add(from).add(to);
      from = tasks.nextSetBit(to);
    }
  }

  /** Reads the fields {@code done}, {@code free}, {@code at} and {@code faulty} of a record. */
  static TaskState parse(JsonNode map) throws Malformed {
    List<Place> places = new ArrayList<>();
    for (JsonNode group : Fields.list(map, "at")) {
      if (group.size() < 2 || !group.get(0).isTextual() || !group.get(1).isIntegralNumber()) {
        throw new Malformed("at must hold lists of host, try and tasks");
      }
      for (int i = 2; i < group.size(); i++) {
        places.add(
            new Place(group.get(i).intValue(), group.get(0).textValue(), group.get(1).longValue()));
      }
    }
    BitSet waiting = map.has("free") ? parseRanges(Fields.list(map, "free")) : new BitSet();
    boolean faulty = map.has("faulty") && Fields.flag(map, "faulty");
    return new TaskState(parseRanges(Fields.list(map, "done")), waiting, places, faulty);
  }

  /** Tasks of one host and try share a group, so that a batch started together stays small. */
  void write(ObjectNode map) {
    writeRanges(done, map.putArray("done"));
    if (faulty) {
      map.put("faulty", true);
    }
    if (!waiting.isEmpty()) {
      writeRanges(waiting, map.putArray("free"));
    }
    ArrayNode groups = map.putArray("at");
    List<Place> sorted = new ArrayList<>(places);
    sorted.sort(
        Comparator.comparing(Place::host).thenComparing(Place::attempt).thenComparing(Place::task));
    Place last = null;
    ArrayNode group = null;
    for (Place place : sorted) {
      if (last == null || !last.host.equals(place.host) || last.attempt != place.attempt) {
        group = groups.addArray().add(place.host).add(place.attempt);
      }
      group.add(place.task);
      last = place;
    }
  }
}
