package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.LogRecord;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.PageRecord;
import dunlincroft.protocol.TaskState;
import dunlincroft.protocol.TaskState.TaskPlacement;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Index of all unfinished jobs as recorded in the state service, whichever controller owns them.
 * The state of a job's tasks is the content of the job's pages, overlaid with the later entries of
 * its shard's log.
 */
public final class JobIndex {
  private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

  /** Log positions of one page, which records a contiguous range of a job's tasks. */
  private static final class PageLog {
    /** The page includes all log entries up to this number. */
    private long coveredUpTo;

    /** Number of the first log entry that the page does not include; 0 if there is none. */
    private long oldestUncovered;
  }

  /** A recorded job. */
  public static final class Job {
    public final JobSpec spec;
    public final String shard;
    public final int pageTasks;
    public final long acceptedAt;
    private final BitSet doneTasks = new BitSet();
    private final Int2ObjectOpenHashMap<TaskPlacement> places = new Int2ObjectOpenHashMap<>();
    private final Int2ObjectOpenHashMap<PageLog> pages = new Int2ObjectOpenHashMap<>();
    private int doneCount;
    private boolean faulty;

    /** Log position of the newest page or entry that {@code faulty} was read from. */
    private long faultyAsOf;

    Job(JobSpec spec, String shard, int pageTasks, long acceptedAt) {
      this.spec = spec;
      this.shard = shard;
      this.pageTasks = pageTasks;
      this.acceptedAt = acceptedAt;
    }

    /** Recorded placements: the tasks that may be on a machine. */
    public Collection<TaskPlacement> places() {
      return places.values();
    }

    public BitSet doneTasks() {
      return doneTasks;
    }

    public int doneCount() {
      return doneCount;
    }

    /** Whether all attempts at tasks of this job have failed, on several machines. */
    public boolean faulty() {
      return faulty;
    }

    /**
     * Number of tasks, waiting or running, for which the job needs capacity. A faulty job may have
     * at most one task more than it has placed.
     */
    public int runnableTasks() {
      int unfinished = spec.taskCount() - doneCount;
      return faulty ? Math.min(unfinished, placedCount() + 1) : unfinished;
    }

    private void updateFaulty(long number, boolean value) {
      if (number >= faultyAsOf) {
        faulty = value;
        faultyAsOf = number;
      }
    }

    public int placedCount() {
      return places.size();
    }

    /** Number of the first log entry that the page does not include yet; 0 if there is none. */
    public long oldestUncovered(int page) {
      PageLog pageLog = pages.get(page);
      return pageLog == null ? 0 : pageLog.oldestUncovered;
    }

    /** Numbers of the pages about which something is recorded. */
    public Set<Integer> pageNumbers() {
      return pages.keySet();
    }

    private PageLog pageLog(int number) {
      return pages.computeIfAbsent(number, n -> new PageLog());
    }

    private void setTask(int task, boolean isDone, TaskPlacement place) {
      doneTasks.set(task, isDone);
      if (place == null) {
        places.remove(task);
      } else {
        places.put(task, place);
      }
    }

    /** Replaces the known state of a page's tasks by the page's record; null clears it. */
    private void resetPage(int number, PageRecord record) {
      int first = number * pageTasks;
      int end = Math.min(first + pageTasks, spec.taskCount());
      for (int task = first; task < end; task++) {
        setTask(task, record != null && record.state().done().get(task - first), null);
      }
      if (record == null) {
        pages.remove(number);
      } else {
        for (TaskPlacement place : record.state().placements()) {
          int task = first + place.task();
          setTask(task, false, new TaskPlacement(task, place.host(), place.attempt()));
        }
        updateFaulty(record.upToEntry(), record.state().faulty());
        pageLog(number).coveredUpTo = record.upToEntry();
        pageLog(number).oldestUncovered = 0;
      }
      doneCount = doneTasks.cardinality();
    }

    /** Applies a log entry to those of its tasks whose pages do not include it yet. */
    private void apply(LogRecord.Entry entry) {
      TaskState state = entry.state();
      updateFaulty(entry.number(), state.faulty());
      state.done().stream().forEach(task -> apply(entry.number(), task, true, null));
      state.waiting().stream().forEach(task -> apply(entry.number(), task, false, null));
      state.placements().forEach(place -> apply(entry.number(), place.task(), false, place));
      doneCount = doneTasks.cardinality();
    }

    private void apply(long number, int task, boolean isDone, TaskPlacement place) {
      PageLog page = pageLog(task / pageTasks);
      if (number > page.coveredUpTo && task < spec.taskCount()) {
        setTask(task, isDone, place);
        page.oldestUncovered = page.oldestUncovered == 0 ? number : page.oldestUncovered;
      }
    }
  }

  private final Replica replica;
  private final Map<String, Job> jobs = new Object2ObjectLinkedOpenHashMap<>();

  /** Number of the last log entry applied, by shard. */
  private final Object2LongOpenHashMap<String> lastEntryByShard = new Object2LongOpenHashMap<>();

  /** Number of the last log entry applied, by log slot. */
  private final Object2LongOpenHashMap<String> lastEntryBySlot = new Object2LongOpenHashMap<>();

  /**
   * Jobs with log entries whose own record is not in the replica yet. This occurs while the keys
   * are listed for the first time.
   */
  private final Set<String> awaitingRecord = new HashSet<>();

  /** Names of jobs and shards that have a malformed record. Their task state is not known. */
  private final Set<String> unreadable = new HashSet<>();

  public JobIndex(Replica replica) {
    this.replica = replica;
  }

  public Job get(String id) {
    return jobs.get(id);
  }

  public Map<String, Job> all() {
    return jobs;
  }

  /** Number of the last entry in a shard's log. */
  public long lastEntryNumber(String shard) {
    return lastEntryByShard.getLong(shard);
  }

  /** Whether all records of a job could be parsed. The job must not be run otherwise. */
  public boolean isReadable(String id, String shard) {
    return !unreadable.contains(id) && !unreadable.contains(shard);
  }

  /** The record that is written when a job is accepted. */
  public static ObjectNode newRecord(JobSpec spec, String shard, int pageTasks, long acceptedAt) {
    return spec.toNode()
        .put("shard", shard)
        .put("pageTasks", pageTasks)
        .put("acceptedAt", acceptedAt);
  }

  /** Name of a page's key. */
  public static String pageName(String job, int page) {
    return job + "/" + page;
  }

  /** Name of a log slot's key. */
  public static String slotName(String shard, int slot) {
    return shard + "/" + slot;
  }

  /** The job of a page name, or the shard of a log slot name. */
  private static String parentOf(String name) {
    return name.substring(0, name.lastIndexOf('/'));
  }

  /** Updates the index after a record changed in the replica. */
  public void onChange(String kind, String name) {
    try {
      switch (kind) {
        case Replica.JOBS -> {
          if (replica.get(kind, name) == null) {
            jobs.remove(name);
            unreadable.remove(name);
          } else if (!jobs.containsKey(name)) {
            // The first listing may have read log entries written after it had read the jobs. Those
            // entries belonged to no known job then; without applying them now, the next owner of
            // the shard would lose them.
            Job job = load(name);
            if (awaitingRecord.remove(name)) {
              logEntries(job).forEach(job::apply);
            }
          }
        }
        case Replica.PAGES -> {
          Job job = jobs.get(parentOf(name));
          if (job != null) {
            loadPage(job, Integer.parseInt(name.substring(name.lastIndexOf('/') + 1)));
            logEntries(job).forEach(job::apply);
          }
        }
        case Replica.LOGS -> {
          Item item = replica.get(kind, name);
          if (item != null) {
            applyNewEntries(name, item.data());
          }
        }
        default -> {}
      }
    } catch (MalformedException | NumberFormatException e) {
      markUnreadable(kind, name, e);
    }
  }

  private void markUnreadable(String kind, String name, Exception e) {
    LOG.error("record {}/{} cannot be read: {}", kind, name, e.getMessage());
    unreadable.add(kind.equals(Replica.JOBS) ? name : parentOf(name));
  }

  /**
   * Rebuilds the index from the replica. Used after a listing, which reads the keys in the order of
   * their names, each as of a different revision.
   */
  public void rebuild() {
    jobs.clear();
    lastEntryByShard.clear();
    lastEntryBySlot.clear();
    awaitingRecord.clear();
    unreadable.clear();
    for (String id : replica.items(Replica.JOBS).keySet()) {
      try {
        load(id);
      } catch (MalformedException e) {
        markUnreadable(Replica.JOBS, id, e);
      }
    }
    List<LogRecord.Entry> entries = new ArrayList<>();
    replica
        .items(Replica.LOGS)
        .forEach(
            (name, item) -> {
              try {
                LogRecord slot = LogRecord.parse(item.data());
                entries.addAll(slot.entries());
                lastEntryByShard.mergeLong(parentOf(name), slot.lastNumber(), Math::max);
                lastEntryBySlot.put(name, slot.lastNumber());
              } catch (MalformedException e) {
                markUnreadable(Replica.LOGS, name, e);
              }
            });
    entries.sort(Comparator.comparingLong(LogRecord.Entry::number));
    for (LogRecord.Entry entry : entries) {
      Job job = jobs.get(entry.job());
      if (job != null) {
        job.apply(entry);
      } else {
        awaitRecord(entry.job());
      }
    }
  }

  private void awaitRecord(String id) {
    if (replica.get(Replica.ENDED, id) == null) {
      awaitingRecord.add(id);
    }
  }

  /** Adds a job from its record and its pages. */
  private Job load(String id) throws MalformedException {
    JsonNode data = replica.get(Replica.JOBS, id).data();
    Job job =
        new Job(
            JobSpec.parse(data),
            Fields.text(data, "shard"),
            (int) Fields.count(data, "pageTasks"),
            Fields.count(data, "acceptedAt"));
    jobs.put(id, job);
    int pages = (job.spec.taskCount() + job.pageTasks - 1) / job.pageTasks;
    for (int page = 0; page < pages; page++) {
      if (replica.get(Replica.PAGES, pageName(id, page)) != null) {
        loadPage(job, page);
      }
    }
    return job;
  }

  /** Recomputes a job's state from its pages and all log entries, in the order of their numbers. */
  private void reload(Job job) throws MalformedException {
    for (int page : Set.copyOf(job.pages.keySet())) {
      loadPage(job, page);
    }
    logEntries(job).forEach(job::apply);
  }

  private void loadPage(Job job, int number) {
    String name = pageName(job.spec.ref(), number);
    Item item = replica.get(Replica.PAGES, name);
    try {
      job.resetPage(number, item == null ? null : PageRecord.parse(item.data()));
    } catch (MalformedException e) {
      markUnreadable(Replica.PAGES, name, e);
    }
  }

  /**
   * Applies the entries of a log slot that were not applied yet. After the first listing they may
   * be older than entries of another slot that was read at a later revision. The job is then
   * recomputed, so that the older entries do not override the newer ones.
   */
  private void applyNewEntries(String name, JsonNode slot) throws MalformedException {
    String shard = parentOf(name);
    JsonNode slotEntries = Fields.list(slot, "log");
    int next = slotEntries.size();
    while (next > 0
        && Fields.count(slotEntries.get(next - 1), "n") > lastEntryBySlot.getLong(name)) {
      next--;
    }
    long lastNumber = lastEntryByShard.getLong(shard);
    for (; next < slotEntries.size(); next++) {
      LogRecord.Entry entry = LogRecord.Entry.parse(slotEntries.get(next));
      Job job = jobs.get(entry.job());
      if (job != null && entry.number() > lastNumber) {
        job.apply(entry);
      } else if (job != null) {
        reload(job);
      } else {
        awaitRecord(entry.job());
      }
      lastEntryByShard.put(shard, Math.max(entry.number(), lastEntryByShard.getLong(shard)));
      lastEntryBySlot.put(name, Math.max(entry.number(), lastEntryBySlot.getLong(name)));
    }
  }

  /**
   * All log entries of a job, in the order of their numbers. A page may be written after entries
   * that it does not include, so these have to be applied again on top of it.
   */
  private List<LogRecord.Entry> logEntries(Job job) throws MalformedException {
    List<LogRecord.Entry> entries = new ArrayList<>();
    for (Map.Entry<String, Item> slot : replica.items(Replica.LOGS).entrySet()) {
      if (parentOf(slot.getKey()).equals(job.shard)) {
        for (JsonNode item : Fields.list(slot.getValue().data(), "log")) {
          if (item.path("job").asText().equals(job.spec.ref())) {
            entries.add(LogRecord.Entry.parse(item));
          }
        }
      }
    }
    entries.sort(Comparator.comparingLong(LogRecord.Entry::number));
    return entries;
  }
}
