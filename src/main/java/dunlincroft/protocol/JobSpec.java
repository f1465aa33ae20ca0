package dunlincroft.protocol;

import static dunlincroft.protocol.Fields.amount;
import static dunlincroft.protocol.Fields.amountOr;
import static dunlincroft.protocol.Fields.flag;
import static dunlincroft.protocol.Fields.text;
import static dunlincroft.protocol.Fields.textOrNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A validated job description, as submitted by a user. Some fields have other names on the wire:
 * see {@link #parse}.
 *
 * @param ref id of the job
 * @param jobclass class of similar jobs that the user assigns it to
 * @param team the team that submitted it; {@code owner} on the wire
 * @param isService whether it is a service, whose tasks are replicas without an end; shape {@code
 *     daemon} on the wire, {@code batch} otherwise
 * @param taskCount {@code pieces} on the wire
 * @param resources what each task needs
 * @param image name of the image that tasks run, of {@code imageGb} GB; {@code bundle} on the wire
 * @param machineTypes the types on which tasks may run, or null for any; {@code flavours} on the
 *     wire
 * @param requiredZone the only zone in which tasks may run, or null for any; {@code hall} on the
 *     wire
 * @param sameZone whether all tasks must run in one zone; {@code samePlace} on the wire
 * @param spreadZones whether no zone may have more than half of the tasks; {@code spread} on the
 *     wire
 * @param toleratesSpot whether tasks may run on preemptible machines; {@code lendable} on the wire
 * @param estimatedRunS the user's estimate of a task's run time; {@code expectS} on the wire
 * @param snapshotIntervalS how often a task saves its state, or 0 if it never does; {@code
 *     snapshotS} on the wire
 * @param saveDurationS how long saving the state takes; {@code flushS} on the wire
 * @param deadlineS seconds within which the job is wanted, or {@link #NO_DEADLINE}; {@code dueS} on
 *     the wire
 */
public record JobSpec(
    String ref,
    String jobclass,
    String team,
    boolean isService,
    Rank rank,
    int taskCount,
    Resources resources,
    String image,
    double imageGb,
    List<String> machineTypes,
    String requiredZone,
    boolean sameZone,
    boolean spreadZones,
    boolean toleratesSpot,
    double estimatedRunS,
    double snapshotIntervalS,
    double saveDurationS,
    double deadlineS) {

  /** Priority of a job; the constants are ordered from the highest to the lowest. */
  public enum Rank {
    PROD,
    URGENT,
    NORMAL,
    IDLE
  }

  /** The value of {@code deadlineS} of a job without a deadline. */
  public static final double NO_DEADLINE = Double.POSITIVE_INFINITY;

  private static final Pattern REF_PATTERN = Pattern.compile("run-[A-Za-z0-9_.-]{1,120}");

  public static boolean isValidRef(String ref) {
    return REF_PATTERN.matcher(ref).matches();
  }

  public static JobSpec parse(JsonNode map) throws MalformedException {
    String ref = text(map, "ref");
    if (!isValidRef(ref)) {
      throw new MalformedException("ref must have the form run-000412");
    }
    long taskCount = Fields.count(map, "pieces");
    if (taskCount < 1 || taskCount > Constants.MAX_TASKS_PER_JOB) {
      throw new MalformedException("pieces must be from 1 to " + Constants.MAX_TASKS_PER_JOB);
    }
    String shape = text(map, "shape");
    boolean isService = shape.equals(Wire.DAEMON);
    if (!isService && !shape.equals(Wire.BATCH)) {
      throw new MalformedException("shape must be batch or daemon");
    }
    return new JobSpec(
        ref,
        text(map, "jobclass"),
        text(map, "owner"),
        isService,
        rank(text(map, "rank")),
        (int) taskCount,
        Resources.parse(map),
        text(map, "bundle"),
        amount(map, "imageGb"),
        Fields.textsOrNull(map, "flavours"),
        textOrNull(map, "hall"),
        flag(map, "samePlace"),
        flag(map, "spread"),
        flag(map, "lendable"),
        amount(map, "expectS"),
        amount(map, "snapshotS"),
        amount(map, "flushS"),
        amountOr(map, "dueS", NO_DEADLINE));
  }

  private static Rank rank(String name) throws MalformedException {
    return switch (name) {
      case "prod" -> Rank.PROD;
      case "urgent" -> Rank.URGENT;
      case "normal" -> Rank.NORMAL;
      case "idle" -> Rank.IDLE;
      default -> throw new MalformedException("rank must be prod, urgent, normal or idle");
    };
  }

  /** The description as it is stored in the job's record; {@link #parse} reads it. */
  public ObjectNode toNode() {
    ObjectNode map = Cbor.map();
    map.put("ref", ref)
        .put("jobclass", jobclass)
        .put("owner", team)
        .put("shape", isService ? Wire.DAEMON : Wire.BATCH)
        .put("rank", rank.name().toLowerCase(java.util.Locale.ROOT))
        .put("pieces", taskCount);
    resources.write(map);
    map.put("bundle", image).put("imageGb", imageGb);
    if (machineTypes != null) {
      machineTypes.forEach(map.putArray("flavours")::add);
    }
    if (requiredZone != null) {
      map.put("hall", requiredZone);
    }
    map.put("samePlace", sameZone)
        .put("spread", spreadZones)
        .put("lendable", toleratesSpot)
        .put("expectS", estimatedRunS)
        .put("snapshotS", snapshotIntervalS)
        .put("flushS", saveDurationS);
    if (deadlineS != NO_DEADLINE) {
      map.put("dueS", deadlineS);
    }
    return map;
  }

  /** How many tasks may run in one zone at the same time. */
  public int maxTasksPerZone() {
    return spreadZones ? (taskCount + 1) / 2 : taskCount;
  }

  /**
   * Whether the job's tasks may run on a machine, as far as its type, zone and preemptibility
   * decide.
   */
  public boolean allows(String machineType, String zone, boolean preemptible) {
    return (machineTypes == null || machineTypes.contains(machineType))
        && (requiredZone == null || requiredZone.equals(zone))
        && (toleratesSpot || !preemptible);
  }
}
