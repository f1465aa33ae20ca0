package dunlincroft.protocol;

/** Names on the wire that more than one place uses. */
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

  // job states
  public static final String PENDING = "pending";
  public static final String RUNNING = "running";
  public static final String DONE = "done";
  public static final String CANCELLED = "withdrawn";

  // task states and causes
  public static final String SAVING = "saving";
  public static final String EXITED = "exited";
  public static final String STOPPED = "stopped";
  public static final String NO_CAPACITY = "full";

  // verbs
  public static final String RUN = "run";
  public static final String KILL = "kill";
  public static final String DISCARD = "reap";

  /** Kinds of key in the state service: {@code d/KIND/NAME}. */
  public static final String KEY_ROOT = "d/";

  public static String key(String kind, String name) {
    return KEY_ROOT + kind + "/" + name;
  }

  public static String taskId(String job, int task) {
    return job + "/" + task;
  }
}
