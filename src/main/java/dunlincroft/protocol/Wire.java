package dunlincroft.protocol;

/** Names of the wire protocol that are used in more than one place. */
public final class Wire {
  private Wire() {}

  public static final String BATCH = "batch";
  public static final String DAEMON = "daemon";

  // paths
  public static final String SUBMISSIONS = "/submissions";
  public static final String CANCEL = "/cancel";
  public static final String READY = "/ready";
  public static final String WORKER_HEARTBEAT = "/hello";
  public static final String COMMANDS = "/commands";
  public static final String STATUS = "/status";
  public static final String MACHINES = "/machines";
  public static final String RELEASE_MACHINES = "/machines/release";
  public static final String MACHINE_TYPES = "/machine_types";
  public static final String TRANSACTION = "/multi";
  public static final String KEYS = "/keys";
  public static final String SESSION_LEASES = "/holds";
  public static final String CHANGES = "/changes";

  // job states; a cancelled job is "withdrawn" on the wire
  public static final String PENDING = "pending";
  public static final String RUNNING = "running";
  public static final String DONE = "done";
  public static final String CANCELLED = "withdrawn";

  // task states and causes of their end; "full" says that the machine had no free capacity
  public static final String SAVING = "saving";
  public static final String EXITED = "exited";
  public static final String STOPPED = "stopped";
  public static final String NO_CAPACITY = "full";

  // verbs of orders; "reap" makes the worker discard an ended task
  public static final String RUN = "run";
  public static final String KILL = "kill";
  public static final String DISCARD = "reap";

  /** Prefix of all keys in the state service, which have the form {@code d/KIND/NAME}. */
  public static final String KEY_ROOT = "d/";

  public static String key(String kind, String name) {
    return KEY_ROOT + kind + "/" + name;
  }

  /** The id of a task in messages: the job's id, a slash and the task's number. */
  public static String taskId(String job, int task) {
    return job + "/" + task;
  }
}
