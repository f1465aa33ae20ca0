package dunlincroft.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ReplicaTest {
  private record Change(String name, boolean put, long stamp) {}

  /** Own commits may arrive before the feed; in any order, the last revision of a key must win. */
  @Property(seed = "17", tries = 200)
  void changesInAnyOrderConvergeToTheSameState(@ForAll long seed) {
    Random random = new Random(seed);
    List<Change> history = new ArrayList<>();
    Replica ordered = new Replica();
    for (long stamp = 1; stamp <= 40; stamp++) {
      Change change = new Change("k" + random.nextInt(4), random.nextInt(3) > 0, stamp);
      history.add(change);
      apply(ordered, change);
    }
    Replica mixed = new Replica();
    List<Change> early = new ArrayList<>(history);
    Collections.shuffle(early, random);
    early.subList(0, 10).forEach(change -> apply(mixed, change));
    history.forEach(change -> apply(mixed, change));
    assertThat(mixed.items("jobs")).containsExactlyInAnyOrderEntriesOf(ordered.items("jobs"));
  }

  /** A final state replaces the job's record; an older record that arrives later is ignored. */
  @Test
  void olderRecordDoesNotRestoreEndedJob() {
    Replica replica = new Replica();
    replica.put("d/jobs/run-1", Cbor.map().put("pieces", 1), 3);
    replica.put("d/jobs/run-1", Cbor.map().put("status", "done"), 7);
    replica.put("d/jobs/run-1", Cbor.map().put("pieces", 1), 3);
    assertThat(replica.items(Replica.JOBS)).isEmpty();
    assertThat(replica.stamp(Replica.ENDED, "run-1")).isEqualTo(7);
  }

  private static void apply(Replica replica, Change change) {
    String key = Wire.key("jobs", change.name);
    if (change.put) {
      replica.put(key, Cbor.map().put("v", change.stamp), change.stamp);
    } else {
      replica.remove(key, change.stamp);
    }
  }
}
