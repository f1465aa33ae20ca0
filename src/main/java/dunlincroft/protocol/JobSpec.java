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

/** A user's description of a job, checked. Rooms are in thousandths, so that sums are exact. */
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

  /** Ranks, the most important first. */
  public enum Rank {
    PROD,
    URGENT,
    NORMAL,
    IDLE
  }

  /** A job without a deadline. */
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
    if (taskCount < 1 || taskCount > Constants.MAX_PIECES) {
      throw new MalformedException("pieces must be from 1 to " + Constants.MAX_PIECES);
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

  /** The description as it is kept in the job's record. */
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

  /** Most tasks that may be in one zone at a time. */
  public int maxTasksPerZone() {
    return spreadZones ? (taskCount + 1) / 2 : taskCount;
  }

  /** The part of the constraints that a machine alone decides. */
  public boolean allows(String machineType, String zone, boolean preemptible) {
    return (machineTypes == null || machineTypes.contains(machineType))
        && (requiredZone == null || requiredZone.equals(zone))
        && (toleratesSpot || !preemptible);
  }
}
