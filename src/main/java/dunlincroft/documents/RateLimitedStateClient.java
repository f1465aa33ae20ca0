package dunlincroft.documents;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.MalformedException;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/**
 * State service client of the operators' commands. The commands share the service's rate limits
 * with the running controllers, so there is a pause before each request, a longer one before a
 * change, and the pause doubles when the service is overloaded or a read fails.
 */
public final class RateLimitedStateClient implements DocumentStore.StateClient {
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(Constants.CONNECT_TIMEOUT_MS))
          .build();
  private final String address;

  /**
   * @param address address of the state service, as IP:PORT
   */
  public RateLimitedStateClient(String address) {
    this.address = address;
  }

  @Override
  public DocumentStore.Answer call(String method, String path, ObjectNode body)
      throws DocumentStore.Unreachable {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(Constants.STATE_CALL_TIMEOUT_MS))
            .method(
                method,
                body == null
                    ? BodyPublishers.noBody()
                    : BodyPublishers.ofByteArray(Cbor.bytes(body)));
    if (body != null) {
      request.header("Content-Type", "application/cbor");
    }
    long pause = body == null ? Constants.COMMAND_READ_PAUSE_MS : Constants.COMMAND_WRITE_PAUSE_MS;
    for (int tries = 0; tries < Constants.DOCUMENT_ATTEMPTS; tries++) {
      try {
        Thread.sleep(pause);
        HttpResponse<byte[]> response = client.send(request.build(), BodyHandlers.ofByteArray());
        if (response.statusCode() == TOO_MANY_REQUESTS || response.statusCode() == 503) {
          pause *= 2;
          continue;
        }
        boolean empty = response.body().length == 0;
        return new DocumentStore.Answer(
            response.statusCode(), empty ? Cbor.map() : Cbor.parse(response.body()));
      } catch (IOException e) {
        if (body != null) {
          return new DocumentStore.Answer(0, null); // The change may have been applied.
        }
        pause *= 2;
      } catch (MalformedException e) {
        throw new DocumentStore.Unreachable("the state service sent a malformed answer to " + path);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new DocumentStore.Unreachable("interrupted");
      }
    }
    throw new DocumentStore.Unreachable("the state service at " + address + " does not answer");
  }
}
