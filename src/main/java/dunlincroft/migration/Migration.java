package dunlincroft.migration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import java.util.Locale;

/**
 * State of a workload's migration, as recorded in the state service and shared by all controllers.
 * Every step is one guarded write that increments the epoch and appends an entry to an immutable
 * history.
 *
 * @param workload definition of the workload when the migration started
 * @param epoch number of the last step
 * @param sinceMs wall clock time in milliseconds at which the phase began or was resumed
 * @param paused whether the phase stays as it is until an operator resumes the migration
 */
record Migration(Workload workload, Phase phase, long epoch, long sinceMs, boolean paused) {
  /** Phases in order. BACK can follow any other phase except OLD, and leads to OLD. */
  enum Phase {
    /** All tasks run on the old side. */
    OLD,
    /** A small share of the tasks runs on the new side. */
    CANARY,
    /** A larger share of the tasks runs on the new side. */
    BOTH,
    /** All tasks are moving to the new side. */
    CUTOVER,
    /** All tasks run on the new side; the migration is complete. */
    SETTLED,
    /** Rollback: all tasks are moving to the old side. */
    BACK;

    /** The phase that follows, or null if the migration is complete. */
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

  /** Fraction of each job's tasks that belongs on the new side. */
  double newSideShare() {
    return switch (phase) {
      case OLD, BACK -> 0;
      case CANARY -> workload.canaryShare();
      case BOTH -> workload.bothShare();
      case CUTOVER, SETTLED -> 1;
    };
  }

  /** The state after a step to another phase. */
  Migration withPhase(Phase next, long nowMs) {
    return new Migration(workload, next, epoch + 1, nowMs, false);
  }

  /** The state after a pause. */
  Migration withPause() {
    return new Migration(workload, phase, epoch + 1, sinceMs, true);
  }

  /** The state after a pause has ended; the soak time of the phase begins anew. */
  Migration withoutPause(long nowMs) {
    return new Migration(workload, phase, epoch + 1, nowMs, false);
  }

  /** The migration as it is stored. */
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

  /** Reads a stored migration. */
  static Migration parse(JsonNode map) throws MalformedException {
    try {
      return new Migration(
          Workload.parse(map.path("workload")),
          Phase.valueOf(Fields.text(map, "phase").toUpperCase(Locale.ROOT)),
          Fields.count(map, "epoch"),
          Fields.count(map, "since"),
          Fields.flag(map, "paused"));
    } catch (IllegalArgumentException e) {
      throw new MalformedException("invalid migration record: " + e.getMessage());
    }
  }
}
