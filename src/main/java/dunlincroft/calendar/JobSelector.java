package dunlincroft.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;

/** Which jobs a window is for; what is null does not matter. */
record JobSelector(String jobclass, String team, String image) {
  boolean matches(JobSpec spec) {
    return !spec.isService()
        && (jobclass == null || jobclass.equals(spec.jobclass()))
        && (team == null || team.equals(spec.team()))
        && (image == null || image.equals(spec.image()));
  }

  /** Whether some job could match both. */
  boolean overlaps(JobSelector other) {
    return compatible(jobclass, other.jobclass)
        && compatible(team, other.team)
        && compatible(image, other.image);
  }

  private static boolean compatible(String a, String b) {
    return a == null || b == null || a.equals(b);
  }

  ObjectNode toNode() {
    return Cbor.map().put("class", jobclass).put("team", team).put("image", image);
  }

  static JobSelector parse(JsonNode map) throws MalformedException {
    return new JobSelector(
        Fields.textOrNull(map, "class"),
        Fields.textOrNull(map, "team"),
        Fields.textOrNull(map, "image"));
  }
}
