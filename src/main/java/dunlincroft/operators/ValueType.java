package dunlincroft.operators;

/** The types of the operators' language. */
enum ValueType {
  NUMBER("a number"),
  BOOLEAN("true or false"),
  STRING("a text");

  final String description;

  ValueType(String description) {
    this.description = description;
  }
}
