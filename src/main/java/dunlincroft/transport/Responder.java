package dunlincroft.transport;

/** Sends the response to one request; to be called once. */
@FunctionalInterface
public interface Responder {
  /** Sends the response; without a Retry-After header if {@code retryAfterS} is 0. */
  void send(int status, byte[] body, int retryAfterS);
}
