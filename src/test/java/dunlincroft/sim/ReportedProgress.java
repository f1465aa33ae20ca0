package dunlincroft.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many tasks of each job users were told to be done. A question that was sent after some answer
 * had arrived, whichever node gave it, may not be told of fewer.
 */
final class ReportedProgress {
  /** The most that had been told when an answer arrived. */
  private record Progress(long atMs, int done) {}

  /** By job, each entry with more done than the one before. */
  private final Map<String, List<Progress>> progressByJob = new HashMap<>();

  /** What had been told already when a question was sent. */
  int doneBefore(String ref, long sentAt) {
    int done = 0;
    for (Progress each : progressByJob.getOrDefault(ref, List.of())) {
      done = each.atMs < sentAt ? each.done : done;
    }
    return done;
  }

  /** An answer arrived. */
  void onAnswer(String ref, int done, long atMs) {
    List<Progress> all = progressByJob.computeIfAbsent(ref, r -> new ArrayList<>());
    if (all.isEmpty() || all.get(all.size() - 1).done < done) {
      all.add(new Progress(atMs, done));
    }
  }
}
