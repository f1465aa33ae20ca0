package dunlincroft.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.conditions.Condition.CutOffAction;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import java.time.LocalDate;
import java.time.format.DateTimeParseException;
import java.util.Locale;

/**
 * The run of one window on one business date, as recorded in the state service and shared by all
 * controllers. The record contains everything that is needed to carry it out, so an open night is
 * not affected by later versions of the document.
 *
 * @param window name of the window
 * @param date business date
 * @param opensMs wall clock time in milliseconds since the epoch from which tasks may start
 * @param cutOffMs wall clock time in milliseconds since the epoch from which no task may start
 * @param selector which jobs belong to the window
 * @param cutOffAction what happens to tasks that still run at the cut-off
 * @param version version of the document that the night was planned by
 * @param phase current phase
 */
record Night(
    String window,
    LocalDate date,
    long opensMs,
    long cutOffMs,
    JobSelector selector,
    CutOffAction cutOffAction,
    long version,
    Phase phase) {
  /** Phases of a night, in order. Each transition is one guarded write of the leader. */
  enum Phase {
    /** The night has not opened; its record still follows the document. */
    PLANNED,
    /** Tasks may start. */
    OPEN,
    /** The cut-off has passed and no task may start; some may still be running. */
    CLOSING,
    /** No task is running any more. */
    CLOSED
  }

  /** Unique name, window@date, under which the night is recorded. */
  String name() {
    return window + "@" + date;
  }

  Night withPhase(Phase next) {
    return new Night(window, date, opensMs, cutOffMs, selector, cutOffAction, version, next);
  }

  /** Whether both are equal except for phase and document version. */
  boolean hasSameDefinition(Night other) {
    return other
        .withPhase(phase)
        .equals(
            new Night(
                window, date, opensMs, cutOffMs, selector, cutOffAction, other.version, phase));
  }

  /** The night as it is stored. */
  ObjectNode toNode() {
    ObjectNode map =
        Cbor.map()
            .put("window", window)
            .put("date", date.toString())
            .put("opens", opensMs)
            .put("cutOff", cutOffMs)
            .put("end", cutOffAction.name().toLowerCase(Locale.ROOT))
            .put("version", version)
            .put("phase", phase.name().toLowerCase(Locale.ROOT));
    map.set("select", selector.toNode());
    return map;
  }

  /** Reads a stored night. */
  static Night parse(JsonNode map) throws MalformedException {
    try {
      return new Night(
          Fields.text(map, "window"),
          LocalDate.parse(Fields.text(map, "date")),
          Fields.count(map, "opens"),
          Fields.count(map, "cutOff"),
          JobSelector.parse(map.path("select")),
          CutOffAction.valueOf(Fields.text(map, "end").toUpperCase(Locale.ROOT)),
          Fields.count(map, "version"),
          Phase.valueOf(Fields.text(map, "phase").toUpperCase(Locale.ROOT)));
    } catch (DateTimeParseException | IllegalArgumentException e) {
      throw new MalformedException("invalid night record: " + e.getMessage());
    }
  }
}
