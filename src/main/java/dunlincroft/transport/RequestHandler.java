package dunlincroft.transport;

/** Handles the requests that a server receives. */
@FunctionalInterface
public interface RequestHandler {
  void handle(String method, String path, byte[] body, Responder responder);
}
