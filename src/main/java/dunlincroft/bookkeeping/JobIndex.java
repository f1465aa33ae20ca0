package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.PageRecord;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.Collection;
import java.util.Map;
import java.util.Map.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Every unfinished job as the state service records it, whoever owns it. */
public final class JobIndex {
  private static final Logger LOG = LoggerFactory.getLogger(JobIndex.class);

  /** A recorded job with its pages. */
  public static final class Job {
    public final JobSpec spec;
    public final String shard;
    public final int pageTasks;
    public final long acceptedAt;
    private final Map<Integer, PageRecord> pages = new Object2ObjectLinkedOpenHashMap<>();

    /** Sums over the pages, kept with every change: every round asks for them. */
    private int done;

    private int placed;

    Job(JobSpec spec, String shard, int pageTasks, long acceptedAt) {
      this.spec = spec;
      this.shard = shard;
      this.pageTasks = pageTasks;
      this.acceptedAt = acceptedAt;
    }

    public Collection<Entry<Integer, PageRecord>> pages() {
      return pages.entrySet();
    }

    public int done() {
      return done;
    }

    public int placed() {
      return placed;
    }

    private void page(int number, PageRecord record) {
      PageRecord before = record == null ? pages.remove(number) : pages.put(number, record);
      count(before, -1);
      count(record, 1);
    }

    private void count(PageRecord record, int sign) {
      if (record != null) {
        done += sign * record.done().cardinality();
        placed += sign * record.places().size();
      }
    }
  }

  private final Replica replica;
  private final Map<String, Job> jobs = new Object2ObjectLinkedOpenHashMap<>();

  public JobIndex(Replica replica) {
    this.replica = replica;
  }

  public Job get(String id) {
    return jobs.get(id);
  }

  public Map<String, Job> all() {
    return jobs;
  }

  /** The job's record as it is written at acceptance. */
  public static com.fasterxml.jackson.databind.node.ObjectNode record(
      JobSpec spec, String shard, int pageTasks, long acceptedAt) {
    return spec.toNode()
        .put("shard", shard)
        .put("pageTasks", pageTasks)
        .put("acceptedAt", acceptedAt);
  }

  /** Name of a page's key. */
  public static String pageName(String job, int page) {
    return job + "/" + page;
  }

  /** Follows a change of the replica. */
  public void changed(String kind, String name) {
    try {
      if (kind.equals(Replica.JOBS)) {
        Item item = replica.get(kind, name);
        if (item == null) {
          jobs.remove(name);
        } else if (!jobs.containsKey(name)) {
          JsonNode data = item.data();
          Job job =
              new Job(
                  JobSpec.parse(data),
                  Fields.text(data, "shard"),
                  (int) Fields.count(data, "pageTasks"),
                  Fields.count(data, "acceptedAt"));
          jobs.put(name, job);
          int pages = (job.spec.pieces() + job.pageTasks - 1) / job.pageTasks;
          for (int page = 0; page < pages; page++) {
            page(job, name, page);
          }
        }
      } else if (kind.equals(Replica.PAGES)) {
        int slash = name.lastIndexOf('/');
        Job job = jobs.get(name.substring(0, slash));
        if (job != null) {
          page(job, name.substring(0, slash), Integer.parseInt(name.substring(slash + 1)));
        }
      }
    } catch (Malformed | NumberFormatException e) {
      LOG.error("record {}/{} is malformed: {}", kind, name, e.getMessage());
    }
  }

  private void page(Job job, String id, int page) throws Malformed {
    Item item = replica.get(Replica.PAGES, pageName(id, page));
    job.page(page, item == null ? null : PageRecord.parse(item.data()));
  }
}
