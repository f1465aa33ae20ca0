package dunlincroft.migration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Definition of a workload that is migrated from one set of machines to another.
 *
 * @param jobclass required job class, or null for any
 * @param team required team, or null for any
 * @param image required image, or null for any
 * @param prefix required prefix of the job's ref, or null for any
 * @param oldSide machines that the workload leaves
 * @param newSide machines that the workload moves to
 * @param canaryShare fraction of each job's tasks on the new side in phase CANARY
 * @param bothShare fraction of each job's tasks on the new side in phase BOTH
 * @param soakS soak time: minimum seconds in a phase before the next one
 * @param rollBackIfIncomplete whether the migration is rolled back, instead of paused, if after
 *     four soak times some replicas still do not run on their side
 */
record Workload(
    String name,
    String jobclass,
    String team,
    String image,
    String prefix,
    MigrationSide oldSide,
    MigrationSide newSide,
    double canaryShare,
    double bothShare,
    double soakS,
    boolean rollBackIfIncomplete) {
  private static final Set<String> FIELDS =
      Set.of("name", "select", "old", "new", "canary", "share", "soak_s", "when_ill");

  /** Whether a job belongs to the workload. */
  boolean matches(JobSpec spec) {
    return (jobclass == null || jobclass.equals(spec.jobclass()))
        && (team == null || team.equals(spec.team()))
        && (image == null || image.equals(spec.image()))
        && (prefix == null || spec.ref().startsWith(prefix));
  }

  /** The workload as it is stored in a migration's record; it has the format of the document. */
  ObjectNode toNode() {
    ObjectNode map =
        Cbor.map()
            .put("name", name)
            .put("canary", canaryShare)
            .put("share", bothShare)
            .put("soak_s", soakS)
            .put("when_ill", rollBackIfIncomplete ? "back" : "pause");
    map.putObject("select")
        .put("class", jobclass)
        .put("team", team)
        .put("image", image)
        .put("prefix", prefix);
    map.set("old", oldSide.toNode());
    map.set("new", newSide.toNode());
    return map;
  }

  /** Reads a workload of a document or a record. The message of an error begins with the field. */
  static Workload parse(JsonNode map) throws MalformedException {
    for (var fieldNames = map.fieldNames(); fieldNames.hasNext(); ) {
      String field = fieldNames.next();
      if (!FIELDS.contains(field)) {
        throw new MalformedException(field + ": unknown field");
      }
    }
    JsonNode select = map.path("select");
    Workload workload =
        new Workload(
            Fields.text(map, "name"),
            Fields.textOrNull(select, "class"),
            Fields.textOrNull(select, "team"),
            Fields.textOrNull(select, "image"),
            Fields.textOrNull(select, "prefix"),
            MigrationSide.parse(map.path("old")),
            MigrationSide.parse(map.path("new")),
            Fields.amountOr(map, "canary", Constants.CANARY_FRACTION),
            Fields.amountOr(map, "share", Constants.BOTH_PHASE_FRACTION),
            Fields.amountOr(map, "soak_s", Constants.SOAK_S),
            "back".equals(Fields.textOrNull(map, "when_ill")));
    String whenIll = Fields.textOrNull(map, "when_ill");
    if (!workload.name.matches("[a-z0-9][a-z0-9-]{0,39}")) {
      throw new MalformedException("name: must be 1 to 40 lower-case letters, digits and dashes");
    }
    if (whenIll != null && !whenIll.equals("back") && !whenIll.equals("pause")) {
      throw new MalformedException("when_ill: must be pause or back");
    }
    if (workload.canaryShare > workload.bothShare || workload.bothShare > 1) {
      throw new MalformedException(
          "canary, share: must be from 0 to 1, and canary must not exceed share");
    }
    if (!workload.oldSide.isDisjointFrom(workload.newSide)) {
      throw new MalformedException("old, new: a machine could belong to both sides");
    }
    if (select.isEmpty()) {
      throw new MalformedException("select: requires a class, a team, an image or a prefix");
    }
    return workload;
  }

  /** Parses a document. The exception's message has one line for each error, with its path. */
  static List<Workload> parseAll(String toml) throws MalformedException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(toml);
    } catch (JsonProcessingException e) {
      throw new MalformedException(
          "not TOML at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr()
              + ": "
              + e.getOriginalMessage());
    }
    List<String> errors = new ArrayList<>();
    List<Workload> workloads = new ArrayList<>();
    JsonNode list = root.path("workloads");
    if (!list.isArray() || list.isEmpty()) {
      errors.add("workloads: at least one is required");
    }
    for (int i = 0; i < list.size(); i++) {
      try {
        Workload workload = parse(list.get(i));
        if (workloads.stream().anyMatch(other -> other.name.equals(workload.name))) {
          errors.add("workloads[" + i + "].name: " + workload.name + " is used more than once");
        }
        workloads.add(workload);
      } catch (MalformedException e) {
        errors.add("workloads[" + i + "]." + e.getMessage());
      }
    }
    if (!errors.isEmpty()) {
      throw new MalformedException(String.join("\n", errors));
    }
    return workloads;
  }
}
