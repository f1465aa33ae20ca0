package dunlincroft.operators;

import dunlincroft.Constants;
import java.util.Map;
import java.util.TreeMap;

/** Settings of operators, with the inputs that they may depend on and the range of their values. */
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

  /** The inputs that an expression may use, with their types. */
  enum Scope {
    NONE(Map.of()),
    MACHINE(
        Map.of(
            "type",
            ValueType.STRING,
            "zone",
            ValueType.STRING,
            "spot",
            ValueType.BOOLEAN,
            "cpus",
            ValueType.NUMBER)),
    TYPE(Map.of("type", ValueType.STRING, "cpus", ValueType.NUMBER, "price", ValueType.NUMBER)),
    JOB(
        Map.of(
            "team", ValueType.STRING,
            "class", ValueType.STRING,
            "rank", ValueType.STRING,
            "service", ValueType.BOOLEAN,
            "tasks", ValueType.NUMBER,
            "cpus", ValueType.NUMBER));

    final Map<String, ValueType> names;

    Scope(Map<String, ValueType> names) {
      this.names = new TreeMap<>(names);
    }
  }

  final String label;
  final Scope scope;
  final ValueType type;
  final double min;
  final double max;
  final Expression defaultValue;

  Setting(String label, Scope scope, double min, double max, double defaultValue) {
    this.label = label;
    this.scope = scope;
    this.type = ValueType.NUMBER;
    this.min = min;
    this.max = max;
    this.defaultValue = Expression.of(defaultValue);
  }

  /** A Boolean setting that is true by default. */
  Setting(String label, Scope scope) {
    this.label = label;
    this.scope = scope;
    this.type = ValueType.BOOLEAN;
    this.min = 0;
    this.max = 0;
    this.defaultValue = Expression.of(true);
  }

  /** The setting with a label, or null. */
  static Setting byLabel(String label) {
    for (Setting setting : values()) {
      if (setting.label.equals(label)) {
        return setting;
      }
    }
    return null;
  }
}
