package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/**
 * The stored state of some of a job's tasks. Contiguous tasks are written as ranges.
 *
 * @param done tasks that are done
 * @param waiting tasks that wait to be placed again
 * @param placements host and attempt of every task that may be on a machine
 * @param faulty whether every attempt of the job so far failed, on several machines; stored so that
 *     a new owner of the shard knows it
 */
public record TaskState(
    BitSet done, BitSet waiting, List<TaskPlacement> placements, boolean faulty) {
  /** A task that may be on {@code host}, as attempt number {@code attempt}. */
  public record TaskPlacement(int task, String host, long attempt) {}

  private static BitSet parseRanges(JsonNode ranges) {
    BitSet tasks = new BitSet();
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      tasks.set(ranges.get(i).intValue(), ranges.get(i + 1).intValue());
    }
    return tasks;
  }

  private static void writeRanges(BitSet tasks, ArrayNode out) {
    for (int from = tasks.nextSetBit(0); from >= 0; ) {
      int to = tasks.nextClearBit(from);
      out.add(from).add(to);
      from = tasks.nextSetBit(to);
    }
  }

  /** Reads the fields {@code done}, {@code free}, {@code at} and {@code faulty} of a record. */
  static TaskState parse(JsonNode map) throws MalformedException {
    List<TaskPlacement> placements = new ArrayList<>();
    for (JsonNode group : Fields.list(map, "at")) {
      if (group.size() < 2 || !group.get(0).isTextual() || !group.get(1).isIntegralNumber()) {
        throw new MalformedException("at must contain lists of host, attempt and task numbers");
      }
      for (int i = 2; i < group.size(); i++) {
        placements.add(
            new TaskPlacement(
                group.get(i).intValue(), group.get(0).textValue(), group.get(1).longValue()));
      }
    }
    BitSet waiting = map.has("free") ? parseRanges(Fields.list(map, "free")) : new BitSet();
    boolean faulty = map.has("faulty") && Fields.flag(map, "faulty");
    return new TaskState(parseRanges(Fields.list(map, "done")), waiting, placements, faulty);
  }

  /** Writes the fields. Tasks of one host and attempt share a group, which keeps records small. */
  void write(ObjectNode map) {
    writeRanges(done, map.putArray("done"));
    if (faulty) {
      map.put("faulty", true);
    }
    if (!waiting.isEmpty()) {
      writeRanges(waiting, map.putArray("free"));
    }
    ArrayNode groups = map.putArray("at");
    List<TaskPlacement> sorted = new ArrayList<>(placements);
    sorted.sort(
        Comparator.comparing(TaskPlacement::host)
            .thenComparing(TaskPlacement::attempt)
            .thenComparing(TaskPlacement::task));
    TaskPlacement last = null;
    ArrayNode group = null;
    for (TaskPlacement placement : sorted) {
      if (last == null || !last.host.equals(placement.host) || last.attempt != placement.attempt) {
        group = groups.addArray().add(placement.host).add(placement.attempt);
      }
      group.add(placement.task);
      last = placement;
    }
  }
}
