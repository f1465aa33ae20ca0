package dunlincroft.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.LogRecord;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.PageRecord;
import dunlincroft.protocol.TaskState;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class JobIndexTest {
  private static final int PAGE_TASKS = 4;
  private static final int TASKS = 10;

  private record Change(String key, JsonNode data, long stamp) {}

  /** Writes the records of a shard owner: jobs, entries in log slots and occasionally pages. */
  private static final class Writer {
    private final Random random;
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Map<Integer, String>> expected = new TreeMap<>();
    private ArrayNode slot = Cbor.map().putArray("log");
    private int slotNumber = 2;
    private long entryNumber;

    Writer(Random random) {
      this.random = random;
    }

    private void put(String kind, String name, JsonNode data) {
      history.add(new Change(Wire.key(kind, name), data, history.size() + 1));
    }

    void step() throws MalformedException {
      int action = random.nextInt(8);
      if (expected.isEmpty() || action == 0) {
        String ref = "run-" + random.nextInt(1000);
        if (expected.putIfAbsent(ref, new TreeMap<>()) == null) {
          put(Replica.JOBS, ref, JobIndex.newRecord(spec(ref), "s", PAGE_TASKS, 1));
        }
      } else if (action == 1) {
        writePage(randomJob());
      } else {
        appendLogEntry(randomJob());
      }
    }

    private String randomJob() {
      List<String> refs = List.copyOf(expected.keySet());
      return refs.get(random.nextInt(refs.size()));
    }

    private void appendLogEntry(String ref) {
      BitSet done = new BitSet();
      BitSet free = new BitSet();
      List<TaskState.TaskPlacement> places = new ArrayList<>();
      for (int i = random.nextInt(3); i >= 0; i--) {
        int task = random.nextInt(TASKS);
        boolean named =
            done.get(task) || free.get(task) || places.stream().anyMatch(p -> p.task() == task);
        if (named) {
          continue;
        }
        switch (random.nextInt(3)) {
          case 0 -> done.set(task);
          case 1 -> free.set(task);
          default ->
              places.add(
                  new TaskState.TaskPlacement(task, "host-" + random.nextInt(9), entryNumber));
        }
      }
      entryNumber++;
      if (slot.size() > 3) {
        slot = Cbor.map().putArray("log");
        // A later slot may sort before an earlier one by name.
        slotNumber = (slotNumber + 37) % 101;
      }
      slot.add(
          new LogRecord.Entry(entryNumber, ref, new TaskState(done, free, places, false)).toNode());
      ObjectNode data = Cbor.map();
      data.set("log", slot.deepCopy());
      put(Replica.LOGS, JobIndex.slotName("s", slotNumber), data);
      Map<Integer, String> tasks = expected.get(ref);
      done.stream().forEach(task -> tasks.put(task, "done"));
      free.stream().forEach(tasks::remove);
      places.forEach(p -> tasks.put(p.task(), p.host() + "#" + p.attempt()));
    }

    private void writePage(String ref) {
      int page = random.nextInt((TASKS + PAGE_TASKS - 1) / PAGE_TASKS);
      BitSet done = new BitSet();
      List<TaskState.TaskPlacement> places = new ArrayList<>();
      expected
          .get(ref)
          .forEach(
              (task, state) -> {
                int at = task - page * PAGE_TASKS;
                if (at >= 0 && at < PAGE_TASKS && state.equals("done")) {
                  done.set(at);
                } else if (at >= 0 && at < PAGE_TASKS) {
                  String[] parts = state.split("#");
                  places.add(new TaskState.TaskPlacement(at, parts[0], Long.parseLong(parts[1])));
                }
              });
      PageRecord record =
          new PageRecord(new TaskState(done, new BitSet(), places, false), entryNumber);
      put(Replica.PAGES, JobIndex.pageName(ref, page), record.toNode());
    }
  }

  private static JobSpec spec(String ref) throws MalformedException {
    return JobSpec.parse(
        Cbor.map()
            .put("ref", ref)
            .put("jobclass", "copy")
            .put("owner", "red")
            .put("shape", "batch")
            .put("rank", "idle")
            .put("pieces", TASKS)
            .put("cpus", 1.0)
            .put("gpus", 0)
            .put("ramGb", 1.0)
            .put("bundle", "img")
            .put("imageGb", 1.0)
            .put("samePlace", false)
            .put("spread", false)
            .put("lendable", true)
            .put("expectS", 1.0)
            .put("snapshotS", 0.0)
            .put("flushS", 0.0));
  }

  private static Map<String, Map<Integer, String>> tasksByJob(JobIndex index) {
    Map<String, Map<Integer, String>> state = new TreeMap<>();
    index
        .all()
        .forEach(
            (ref, job) -> {
              Map<Integer, String> tasks = new TreeMap<>();
              job.doneTasks().stream().forEach(task -> tasks.put(task, "done"));
              job.places().forEach(p -> tasks.put(p.task(), p.host() + "#" + p.attempt()));
              assertThat(job.doneCount() + job.placedCount()).isEqualTo(tasks.size());
              state.put(ref, tasks);
            });
    return state;
  }

  /**
   * The first listing reads each key as of a different revision, and the feed starts at the
   * earliest of them. A job accepted during the listing can therefore arrive after entries of its
   * log. If these were lost, the node would take the job's tasks for waiting, and run them a second
   * time after acquiring the shard.
   */
  @Property(seed = "23", tries = 300)
  void listingDuringChangesConvergesToWrittenState(@ForAll long seed) throws MalformedException {
    Random random = new Random(seed);
    Writer writer = new Writer(random);
    for (int i = 0; i < 80; i++) {
      writer.step();
    }
    Replica replica = new Replica();
    JobIndex index = new JobIndex(replica);
    replica.setListener(index::onChange);
    int from = random.nextInt(writer.history.size());
    int moment = from;
    TreeSet<String> keys = new TreeSet<>();
    writer.history.forEach(change -> keys.add(change.key));
    for (String key : keys) {
      writer.history.subList(0, moment).stream()
          .filter(change -> change.key.equals(key))
          .reduce((older, newer) -> newer)
          .ifPresent(change -> replica.put(change.key, change.data, change.stamp));
      if (random.nextInt(8) == 0) {
        moment = Math.min(writer.history.size(), moment + random.nextInt(12));
      }
    }
    index.rebuild();
    for (Change change : writer.history.subList(from, writer.history.size())) {
      replica.put(change.key, change.data, change.stamp);
    }
    assertThat(tasksByJob(index)).isEqualTo(writer.expected);
    assertThat(index.lastEntryNumber("s")).isEqualTo(writer.entryNumber);
  }

  @Test
  void malformedRecordMakesItsJobsUnreadable() throws MalformedException {
    Replica replica = new Replica();
    JobIndex index = new JobIndex(replica);
    replica.setListener(index::onChange);
    replica.put("d/jobs/run-1", JobIndex.newRecord(spec("run-1"), "s", PAGE_TASKS, 1), 1);
    replica.put("d/jobs/run-2", JobIndex.newRecord(spec("run-2"), "t", PAGE_TASKS, 1), 2);
    assertThat(index.isReadable("run-1", "s")).isTrue();
    replica.put("d/logs/s/0", Cbor.map().put("log", "later"), 3);
    assertThat(index.isReadable("run-1", "s")).isFalse();
    assertThat(index.isReadable("run-2", "t")).isTrue();
    replica.put("d/pages/run-2/0", Cbor.map().put("done", 7), 4);
    assertThat(index.isReadable("run-2", "t")).isFalse();
  }
}
