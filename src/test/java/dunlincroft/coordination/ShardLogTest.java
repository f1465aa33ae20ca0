package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.LogRecord;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.TaskState;
import dunlincroft.protocol.TaskState.TaskPlacement;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against taking another owner's log entry for one's own. When a write of the log gets no
 * answer, its slot is read. A new owner continues the entry numbers of the former one, so an entry
 * with the same number may be the new owner's. {@code PlacementLog.reread} accepted any entry with
 * that number and considered a start recorded that never was; the worker's fence would have refused
 * the order in most cases.
 */
class ShardLogTest {
  private static ObjectNode entry(long number, String host) {
    TaskState state =
        new TaskState(new BitSet(), new BitSet(), List.of(new TaskPlacement(3, host, 77)), false);
    return new LogRecord.Entry(number, "run-1", state).toNode();
  }

  private static ShardLog log() {
    Replica replica = new Replica();
    ClusterState cluster = new ClusterState(null, null, null, null, replica, new JobIndex(replica));
    ShardLog log = new ShardLog(cluster, "n0");
    log.advanceSlot(Long.MAX_VALUE);
    return log;
  }

  private static ObjectNode read(ObjectNode written) throws MalformedException {
    return Cbor.parse(Cbor.bytes(written));
  }

  @Test
  void anOwnWriteIsRecognizedAsRecorded() throws MalformedException {
    ShardLog log = log();
    ObjectNode written = log.currentSlotWith(List.of(entry(5, "host-a")));
    log.setCurrentSlot(read(written), 12);
    assertThat(log.isRecorded(written)).isTrue();
  }

  @Test
  void aSuccessorsEntryOfTheSameNumberIsNotTakenForAnOwnOne() throws MalformedException {
    ShardLog log = log();
    ObjectNode written = log.currentSlotWith(List.of(entry(5, "host-a")));
    log.setCurrentSlot(read(log.currentSlotWith(List.of(entry(5, "host-b")))), 12);
    assertThat(log.isRecorded(written)).isFalse();
  }

  @Test
  void aMissingSlotIsNotRecorded() throws MalformedException {
    ShardLog log = log();
    ObjectNode written = log.currentSlotWith(List.of(entry(5, "host-a")));
    log.setCurrentSlot(null, 0);
    assertThat(log.isRecorded(written)).isFalse();
  }
}
