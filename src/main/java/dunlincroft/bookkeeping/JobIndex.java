package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.LogRecord;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.PageRecord;
import dunlincroft.protocol.TaskState;
import dunlincroft.protocol.TaskState.Place;
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
 * Every unfinished job as the state service records it, whoever owns it: its pages, with the later
 * entries of its shard's log on top of them.
 */
public final class JobIndex {
  private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

  /** What is recorded of a run of a job's tasks besides their state. */
  private static final class PageLog {
    /** The page holds all entries up to this number. */
    private long coveredUpTo;

    /** The first entry that it does not hold; 0: none. */
    private long oldestUncovered;
  }

  /** A recorded job. */
  public static final class Job {
    public final JobSpec spec;
    public final String shard;
    public final int pageTasks;
    public final long acceptedAt;
    private final BitSet doneTasks = new BitSet();
    private final Int2ObjectOpenHashMap<Place> places = new Int2ObjectOpenHashMap<>();
    private final Int2ObjectOpenHashMap<PageLog> pages = new Int2ObjectOpenHashMap<>();
    private int doneCount;
    private boolean faulty;

    /** The newest record that said whether the job is faulty. */
    private long faultyAsOf;

    Job(JobSpec spec, String shard, int pageTasks, long acceptedAt) {
      this.spec = spec;
      this.shard = shard;
      this.pageTasks = pageTasks;
      this.acceptedAt = acceptedAt;
    }

    /** Tasks that may be on a machine. */
    public Collection<Place> places() {
      return places.values();
    }

    public BitSet doneTasks() {
      return doneTasks;
    }

    public int doneCount() {
      return doneCount;
    }

    /** Whether all that was tried of it failed, on several machines. */
    public boolean faulty() {
      return faulty;
    }

    /**
     * Tasks that wait or run, as far as machines are concerned: a faulty job gets one at a time.
     */
    public int runnableTasks() {
      int unfinished = spec.pieces() - doneCount;
      return faulty ? Math.min(unfinished, placedCount() + 1) : unfinished;
    }

    private void faulty(long number, boolean value) {
      if (number >= faultyAsOf) {
        faulty = value;
        faultyAsOf = number;
      }
    }

    public int placedCount() {
      return places.size();
    }

    /** The first entry of the log that the page does not hold yet; 0: none. */
    public long oldestUncovered(int page) {
      PageLog pageLog = pages.get(page);
      return pageLog == null ? 0 : pageLog.oldestUncovered;
    }

    /** Pages of which something is recorded. */
    public Set<Integer> pageNumbers() {
      return pages.keySet();
    }

    private PageLog pageLog(int number) {
      return pages.computeIfAbsent(number, n -> new PageLog());
    }

    private void setTask(int task, boolean isDone, Place place) {
      doneTasks.set(task, isDone);
      if (place == null) {
        places.remove(task);
      } else {
        places.put(task, place);
      }
    }

    /** Puts a page in the place of what was known of its tasks. */
    private void resetPage(int number, PageRecord record) {
      int first = number * pageTasks;
      int end = Math.min(first + pageTasks, spec.pieces());
      for (int task = first; task < end; task++) {
        setTask(task, record != null && record.state().done().get(task - first), null);
      }
      if (record == null) {
        pages.remove(number);
      } else {
        for (Place place : record.state().places()) {
          int task = first + place.task();
          setTask(task, false, new Place(task, place.host(), place.attempt()));
        }
        faulty(record.upTo(), record.state().faulty());
        pageLog(number).coveredUpTo = record.upTo();
        pageLog(number).oldestUncovered = 0;
      }
      doneCount = doneTasks.cardinality();
    }

    /** Puts an entry on top, as far as the pages do not hold it. */
    private void apply(LogRecord.Entry entry) {
      TaskState state = entry.state();
      faulty(entry.number(), state.faulty());
      state.done().stream().forEach(task -> apply(entry.number(), task, true, null));
      state.waiting().stream().forEach(task -> apply(entry.number(), task, false, null));
      state.places().forEach(place -> apply(entry.number(), place.task(), false, place));
      doneCount = doneTasks.cardinality();
    }

    private void apply(long number, int task, boolean isDone, Place place) {
      PageLog page = pageLog(task / pageTasks);
      if (number > page.coveredUpTo && task < spec.pieces()) {
        setTask(task, isDone, place);
        page.oldestUncovered = page.oldestUncovered == 0 ? number : page.oldestUncovered;
      }
    }
  }

  private final Replica replica;
  private final Map<String, Job> jobs = new Object2ObjectLinkedOpenHashMap<>();

  /** The number of the last entry taken in, by shard; and by slot. */
  private final Object2LongOpenHashMap<String> lastEntryByShard = new Object2LongOpenHashMap<>();

  private final Object2LongOpenHashMap<String> lastEntryBySlot = new Object2LongOpenHashMap<>();

  /** Jobs that the log spoke of before their descriptions were seen, as in a first reading. */
  private final Set<String> awaitingRecord = new HashSet<>();

  /** Names of jobs and shards of which a record cannot be read: nobody may guess what it says. */
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

  /** The number of the last entry in a shard's log. */
  public long lastEntryNumber(String shard) {
    return lastEntryByShard.getLong(shard);
  }

  /** Whether all that is recorded of a job could be read; only then may it be run. */
  public boolean isReadable(String id, String shard) {
    return !unreadable.contains(id) && !unreadable.contains(shard);
  }

  /** The job's record as it is written at acceptance. */
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

  private static String parentOf(String name) {
    return name.substring(0, name.lastIndexOf('/'));
  }

  /** Follows a change of the replica. */
  public void onChange(String kind, String name) {
    try {
      switch (kind) {
        case Replica.JOBS -> {
          if (replica.get(kind, name) == null) {
            jobs.remove(name);
            unreadable.remove(name);
          } else if (!jobs.containsKey(name)) {
            // A first reading may have shown log entries that are younger than its list of jobs:
            // they were of no known job then, and would be lost to whoever takes the shard over.
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
    } catch (Malformed | NumberFormatException e) {
      markUnreadable(kind, name, e);
    }
  }

  private void markUnreadable(String kind, String name, Exception e) {
    LOG.error("record {}/{} cannot be read: {}", kind, name, e.getMessage());
    unreadable.add(kind.equals(Replica.JOBS) ? name : parentOf(name));
  }

  /** Everything once more: a reading shows keys of different moments, in the order of names. */
  public void rebuild() {
    jobs.clear();
    lastEntryByShard.clear();
    lastEntryBySlot.clear();
    awaitingRecord.clear();
    unreadable.clear();
    for (String id : replica.items(Replica.JOBS).keySet()) {
      try {
        load(id);
      } catch (Malformed e) {
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
                lastEntryByShard.mergeLong(parentOf(name), slot.last(), Math::max);
                lastEntryBySlot.put(name, slot.last());
              } catch (Malformed e) {
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

  /** Takes in a job and its pages. */
  private Job load(String id) throws Malformed {
    JsonNode data = replica.get(Replica.JOBS, id).data();
    Job job =
        new Job(
            JobSpec.parse(data),
            Fields.text(data, "shard"),
            (int) Fields.count(data, "pageTasks"),
            Fields.count(data, "acceptedAt"));
    jobs.put(id, job);
    int pages = (job.spec.pieces() + job.pageTasks - 1) / job.pageTasks;
    for (int page = 0; page < pages; page++) {
      if (replica.get(Replica.PAGES, pageName(id, page)) != null) {
        loadPage(job, page);
      }
    }
    return job;
  }

  /** All that is recorded of a job, whatever came in which order. */
  private void reload(Job job) throws Malformed {
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
    } catch (Malformed e) {
      markUnreadable(Replica.PAGES, name, e);
    }
  }

  /**
   * Entries of a slot that were not taken in yet. After a first reading they may be older than some
   * of another slot: the reading showed that one as of a later moment. They then go below those.
   */
  private void applyNewEntries(String name, JsonNode slot) throws Malformed {
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

  /** What the log still says of a job, in order: pages may be written after later entries. */
  private List<LogRecord.Entry> logEntries(Job job) throws Malformed {
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
