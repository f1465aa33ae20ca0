package dunlincroft.operators;

/** Types of expressions in the operators' settings file. */
enum ValueType {
  NUMBER("a number"),
  BOOLEAN("true or false"),
  STRING("a string");

  /** Description in error messages. */
  final String description;

  ValueType(String description) {
    this.description = description;
  }
}
