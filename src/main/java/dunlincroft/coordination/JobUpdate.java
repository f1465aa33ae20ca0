package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.LogRecord;
import dunlincroft.protocol.TaskState;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Changes of a job's tasks that are written to the log as one entry. */
final class JobUpdate {
  private final JobRun job;

  /** All tasks of the update. Those that are neither done nor placed wait to be placed. */
  final BitSet tasks;

  final BitSet done;
  final List<Placement> placements;

  JobUpdate(JobRun job, BitSet tasks, BitSet done, List<Placement> placements) {
    this.job = job;
    this.tasks = tasks;
    this.done = done;
    this.placements = placements;
  }

  JobRun job() {
    return job;
  }

  /** Whether the update contains starts, whose orders are sent once it is recorded. */
  boolean hasStarts() {
    return placements.stream().anyMatch(placement -> !placement.recorded);
  }

  ObjectNode toLogEntry(long entryNumber) {
    BitSet waiting = (BitSet) tasks.clone();
    waiting.andNot(done);
    List<TaskState.TaskPlacement> places = new ArrayList<>();
    for (Placement placement : placements) {
      waiting.clear(placement.task);
      places.add(
          new TaskState.TaskPlacement(placement.task, placement.machine.host, placement.attempt));
    }
    return new LogRecord.Entry(
            entryNumber, job.id, new TaskState(done, waiting, places, job.faulty))
        .toNode();
  }
}
