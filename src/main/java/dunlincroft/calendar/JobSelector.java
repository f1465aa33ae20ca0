package dunlincroft.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;

/**
 * Selects batch jobs by class, team and image.
 *
 * @param jobclass required job class, or null for any
 * @param team required team, or null for any
 * @param image required image, or null for any
 */
record JobSelector(String jobclass, String team, String image) {
  /** Whether a job is selected; services never are. */
  boolean matches(JobSpec spec) {
    return !spec.isService()
        && (jobclass == null || jobclass.equals(spec.jobclass()))
        && (team == null || team.equals(spec.team()))
        && (image == null || image.equals(spec.image()));
  }

  /** Whether a job could match both selectors. */
  boolean overlaps(JobSelector other) {
    return compatible(jobclass, other.jobclass)
        && compatible(team, other.team)
        && compatible(image, other.image);
  }

  private static boolean compatible(String a, String b) {
    return a == null || b == null || a.equals(b);
  }

  /** The selector as it is stored. */
  ObjectNode toNode() {
    return Cbor.map().put("class", jobclass).put("team", team).put("image", image);
  }

  /** Reads a stored selector. */
  static JobSelector parse(JsonNode map) throws MalformedException {
    return new JobSelector(
        Fields.textOrNull(map, "class"),
        Fields.textOrNull(map, "team"),
        Fields.textOrNull(map, "image"));
  }
}
