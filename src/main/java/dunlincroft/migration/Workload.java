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
 * A workload that moves from one side to the other: which jobs, the sides, which part of each job's
 * tasks stands on the new side as a canary and in {@code both}, how long a phase is watched, and
 * what happens when it does not become whole in four times that: pause, or back to the old side.
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

  boolean matches(JobSpec spec) {
    return (jobclass == null || jobclass.equals(spec.jobclass()))
        && (team == null || team.equals(spec.team()))
        && (image == null || image.equals(spec.image()))
        && (prefix == null || spec.ref().startsWith(prefix));
  }

  /** The workload as its record keeps it, with all that it needs. */
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

  static Workload parse(JsonNode map) throws MalformedException {
    for (var fieldNames = map.fieldNames(); fieldNames.hasNext(); ) {
      String field = fieldNames.next();
      if (!FIELDS.contains(field)) {
        throw new MalformedException(field + ": there is no such field");
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
      throw new MalformedException("name: small letters, digits and dashes, 40 at the most");
    }
    if (whenIll != null && !whenIll.equals("back") && !whenIll.equals("pause")) {
      throw new MalformedException("when_ill: pause or back");
    }
    if (workload.canaryShare > workload.bothShare || workload.bothShare > 1) {
      throw new MalformedException(
          "canary, share: from 0 to 1, and the canary no more than the share");
    }
    if (!workload.oldSide.isDisjointFrom(workload.newSide)) {
      throw new MalformedException("old, new: a machine may be of both");
    }
    if (select.isEmpty()) {
      throw new MalformedException("select: must name a class, a team, an image or a prefix");
    }
    return workload;
  }

  /** Reads a document; the message of a fault has a line for each of them, with its path. */
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
      errors.add("workloads: there must be one at the least");
    }
    for (int i = 0; i < list.size(); i++) {
      try {
        Workload workload = parse(list.get(i));
        if (workloads.stream().anyMatch(other -> other.name.equals(workload.name))) {
          errors.add("workloads[" + i + "].name: " + workload.name + " is there twice");
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
