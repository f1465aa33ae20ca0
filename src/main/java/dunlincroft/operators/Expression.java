package dunlincroft.operators;

import java.util.function.Function;

/**
 * A type-checked expression. Its evaluation succeeds for all inputs of its scope.
 *
 * @param constant whether the value depends on no input
 */
record Expression(ValueType type, boolean constant, Function<Inputs, Object> value) {
  /** Numbers are clamped to this magnitude, so that none becomes infinite or NaN. */
  private static final double MAX_MAGNITUDE = 1e15;

  static Expression of(double number) {
    double clamped = clamp(number);
    return new Expression(ValueType.NUMBER, true, inputs -> clamped);
  }

  static Expression of(boolean bool) {
    return new Expression(ValueType.BOOLEAN, true, inputs -> bool);
  }

  static Expression of(String text) {
    return new Expression(ValueType.STRING, true, inputs -> text);
  }

  static Expression input(ValueType type, String name) {
    return new Expression(type, false, inputs -> inputs.get(name));
  }

  double number(Inputs inputs) {
    return (Double) value.apply(inputs);
  }

  boolean bool(Inputs inputs) {
    return (Boolean) value.apply(inputs);
  }

  /** An expression computed from operands; if all are constant it is evaluated only once. */
  static Expression combine(
      ValueType type, Function<Inputs, Object> value, Expression... operands) {
    for (Expression operand : operands) {
      if (!operand.constant) {
        return new Expression(type, false, value);
      }
    }
    Object constantValue = value.apply(Inputs.NONE);
    return new Expression(type, true, inputs -> constantValue);
  }

  static double clamp(double number) {
    return Math.max(-MAX_MAGNITUDE, Math.min(MAX_MAGNITUDE, number));
  }
}
