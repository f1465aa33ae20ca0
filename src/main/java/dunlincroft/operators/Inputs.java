package dunlincroft.operators;

/** Values of the inputs of an expression, by name. Names have been checked against the scope. */
interface Inputs {
  /** Inputs of the empty scope. */
  Inputs NONE =
      name -> {
        throw new IllegalStateException(name + " is not an input of this scope");
      };

  /** Value of an input: a Double, a Boolean or a String according to its type in the scope. */
  Object get(String name);
}
