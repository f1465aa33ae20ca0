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
 * One window on one business date, as all controllers share it. It keeps all that it needs, so that
 * a night goes on with the document's version that it began with.
 *
 * @param opensMs when its jobs may start, and {@code cutOffMs} from when on none may; milliseconds
 *     of the time of day, UTC
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
  /** A night's phases, each reached by one guarded write. */
  enum Phase {
    PLANNED,
    OPEN,
    /** Nothing starts any more; some of its tasks may still run. */
    CLOSING,
    CLOSED
  }

  String name() {
    return window + "@" + date;
  }

  Night withPhase(Phase next) {
    return new Night(window, date, opensMs, cutOffMs, selector, cutOffAction, version, next);
  }

  /** Whether it is the same night by the same rules, in whatever phase and version. */
  boolean hasSameDefinition(Night other) {
    return other
        .withPhase(phase)
        .equals(
            new Night(
                window, date, opensMs, cutOffMs, selector, cutOffAction, other.version, phase));
  }

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
      throw new MalformedException("not a night: " + e.getMessage());
    }
  }
}
