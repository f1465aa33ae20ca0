package dunlincroft.coordination;

import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.PageRecord;

/**
 * A contiguous range of a job's tasks whose state is stored under a key of its own. A written page
 * is a checkpoint: the log entries that it includes are not needed any more.
 */
final class JobPage {
  private final JobRecord record;
  final int index;

  /** Revision at which the stored page was last written; 0: there is none. */
  long stamp;

  /** Number of the first log entry that the stored page does not include; 0: none. */
  long firstUncoveredEntry;

  /** A write of the page has no answer yet, or its outcome is not known. */
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

  /** The recorded state of these tasks, which includes all log entries up to the given number. */
  PageRecord record(long lastEntry) {
    return new PageRecord(record.stateOf(this), lastEntry);
  }
}
