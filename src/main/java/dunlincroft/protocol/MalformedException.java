package dunlincroft.protocol;

/**
 * Thrown for a message body or value that the protocol does not allow; the message names the field.
 */
public final class MalformedException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedException(String message) {
    super(message, null, false, false);
  }
}
