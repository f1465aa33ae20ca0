package dunlincroft.coordination;

import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.PageRecord;

/** A run of a job's tasks that can be recorded by itself, so that the log may forget. */
final class JobPage {
  private final JobRecord record;
  final int index;
  long stamp;

  /** The first entry of the log that the page does not hold; 0: none. */
  long firstUncoveredEntry;

  /** A write of it has no answer yet. */
  boolean outcomeUnknown;

  JobPage(JobRecord record, int index) {
    this.record = record;
    this.index = index;
  }

  JobRun job() {
    return record.job();
  }

  String name() {
    return JobIndex.pageName(record.job().id, index);
  }

  /** What the log has recorded of these tasks up to this number. */
  PageRecord record(long lastEntry) {
    return new PageRecord(record.stateOf(this), lastEntry);
  }
}
