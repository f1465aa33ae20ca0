package dunlincroft.operators;

import dunlincroft.Constants;
import java.util.Map;
import java.util.TreeMap;

/** What operators may set, of what it may depend on, and the range its value is kept in. */
enum Setting {
  BOUND("bound", Scope.MACHINE, Constants.MIN_LOAD_BOUND, 1, Constants.LOAD_BOUND),
  BUFFER("buffer", Scope.JOB, 0, Constants.MAX_LOAD_BUFFER, Constants.LOAD_BUFFER),
  RESERVE("reserve", Scope.MACHINE, 0, 1 - Constants.MIN_LOAD_BOUND, Constants.SERVICE_RESERVE),
  SPARE("spare", Scope.TYPE, 0, Constants.MAX_SPARE_MACHINES, Constants.SPARE_MACHINES),
  RENTALS_MOST(
      "rentals_most", Scope.TYPE, 0, Constants.MAX_RENTED_MACHINES, Constants.MAX_RENTED_MACHINES),
  PREEMPT_LOSS_S(
      "preempt_loss_s", Scope.JOB, 0, Constants.MAX_PREEMPT_LOSS_S, Constants.PREEMPT_LOSS_S),
  SPOT("spot", Scope.JOB),
  HOLDER_MACHINES(
      "holder_machines",
      Scope.NONE,
      1,
      Constants.MAX_RENTED_MACHINES,
      Constants.MACHINES_PER_OWNER);

  /** Names that an expression may use, with their types. */
  enum Scope {
    NONE(Map.of()),
    MACHINE(Map.of("type", Kind.TEXT, "zone", Kind.TEXT, "spot", Kind.TRUTH, "cpus", Kind.NUMBER)),
    TYPE(Map.of("type", Kind.TEXT, "cpus", Kind.NUMBER, "price", Kind.NUMBER)),
    JOB(
        Map.of(
            "team", Kind.TEXT,
            "class", Kind.TEXT,
            "rank", Kind.TEXT,
            "service", Kind.TRUTH,
            "tasks", Kind.NUMBER,
            "cpus", Kind.NUMBER));

    final Map<String, Kind> names;

    Scope(Map<String, Kind> names) {
      this.names = new TreeMap<>(names);
    }
  }

  final String label;
  final Scope scope;
  final Kind kind;
  final double least;
  final double most;
  final Expression preset;

  Setting(String label, Scope scope, double least, double most, double preset) {
    this.label = label;
    this.scope = scope;
    this.kind = Kind.NUMBER;
    this.least = least;
    this.most = most;
    this.preset = Expression.of(preset);
  }

  /** A setting that is true or false, and true without a file. */
  Setting(String label, Scope scope) {
    this.label = label;
    this.scope = scope;
    this.kind = Kind.TRUTH;
    this.least = 0;
    this.most = 0;
    this.preset = Expression.of(true);
  }

  static Setting named(String label) {
    for (Setting setting : values()) {
      if (setting.label.equals(label)) {
        return setting;
      }
    }
    return null;
  }
}
