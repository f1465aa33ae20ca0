package dunlincroft.migration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import java.util.Locale;

/**
 * Where a workload stands, as all controllers share it. Every step is one guarded write with a
 * higher epoch, and adds one entry to a history that is never rewritten.
 *
 * @param sinceMs when the phase began, by the time of day
 */
record Migration(Workload workload, Phase phase, long epoch, long sinceMs, boolean paused) {
  /** The steps, in order; BACK leads from any of them to OLD. */
  enum Phase {
    /** On the old side alone. */
    OLD,
    CANARY,
    BOTH,
    /** Moving to the new side alone. */
    CUTOVER,
    /** On the new side alone, for good. */
    SETTLED,
    /** Moving to the old side alone. */
    BACK;

    /** The next step, or null: it ends here. */
    Phase next() {
      return switch (this) {
        case OLD -> CANARY;
        case CANARY -> BOTH;
        case BOTH -> CUTOVER;
        case CUTOVER -> SETTLED;
        case BACK -> OLD;
        case SETTLED -> null;
      };
    }
  }

  /** The part of each job's tasks that stands on the new side. */
  double newSideShare() {
    return switch (phase) {
      case OLD, BACK -> 0;
      case CANARY -> workload.canaryShare();
      case BOTH -> workload.bothShare();
      case CUTOVER, SETTLED -> 1;
    };
  }

  Migration withPhase(Phase next, long nowMs) {
    return new Migration(workload, next, epoch + 1, nowMs, false);
  }

  Migration withPause() {
    return new Migration(workload, phase, epoch + 1, sinceMs, true);
  }

  /** Goes on; its phase is watched from now on. */
  Migration withoutPause(long nowMs) {
    return new Migration(workload, phase, epoch + 1, nowMs, false);
  }

  ObjectNode toNode() {
    ObjectNode map =
        Cbor.map()
            .put("phase", phase.name().toLowerCase(Locale.ROOT))
            .put("epoch", epoch)
            .put("since", sinceMs)
            .put("paused", paused);
    map.set("workload", workload.toNode());
    return map;
  }

  static Migration parse(JsonNode map) throws MalformedException {
    try {
      return new Migration(
          Workload.parse(map.path("workload")),
          Phase.valueOf(Fields.text(map, "phase").toUpperCase(Locale.ROOT)),
          Fields.count(map, "epoch"),
          Fields.count(map, "since"),
          Fields.flag(map, "paused"));
    } catch (IllegalArgumentException e) {
      throw new MalformedException("not a migration: " + e.getMessage());
    }
  }
}
