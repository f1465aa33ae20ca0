package dunlincroft.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many done tasks of each job were reported to users. A query that is sent after some answer
 * has arrived must not be answered with fewer, whichever nodes give the two answers.
 */
final class ReportedProgress {
  /** The highest number that had been reported when an answer arrived. */
  private record Progress(long atMs, int done) {}

  /** By job; each entry has more done tasks than the one before. */
  private final Map<String, List<Progress>> progressByJob = new HashMap<>();

  /** The highest number that had been reported before a query was sent. */
  int doneBefore(String ref, long sentAt) {
    int done = 0;
    for (Progress each : progressByJob.getOrDefault(ref, List.of())) {
      done = each.atMs < sentAt ? each.done : done;
    }
    return done;
  }

  /** Notes an answer that has arrived. */
  void onAnswer(String ref, int done, long atMs) {
    List<Progress> all = progressByJob.computeIfAbsent(ref, r -> new ArrayList<>());
    if (all.isEmpty() || all.get(all.size() - 1).done < done) {
      all.add(new Progress(atMs, done));
    }
  }
}
