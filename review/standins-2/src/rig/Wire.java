package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP/1.1 with CBOR bodies on loopback addresses, for all stand-ins. */
final class Wire {
  static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
  static final ObjectMapper JSON = new ObjectMapper();
  static final String HOST = "127.0.0.1";
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1000))
          .executor(THREADS)
          .build();

  private Wire() {}

  /** An answer; status 0 means that there was none, and -1 that no connection was made. */
  record Answer(int status, ObjectNode body, double retryAfterS) {}

  interface Handler {
    void handle(HttpExchange exchange, ObjectNode body) throws Exception;
  }

  static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  private static final Set<Integer> GIVEN = new HashSet<>();

  /** A free port below those that the system gives to outgoing connections. */
  static synchronized int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 31_000);
      if (GIVEN.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
          return socket.getLocalPort();
        } catch (IOException e) {
          // Taken: another one.
        }
      }
    }
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 0);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            handler.handle(exchange, bytes.length == 0 ? map() : (ObjectNode) CBOR.readTree(bytes));
          } catch (Exception e) {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = body == null ? new byte[0] : CBOR.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/cbor");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  static Answer call(String method, String address, String path, JsonNode body, long timeoutMs) {
    try {
      HttpRequest.BodyPublisher publisher =
          body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofByteArray(CBOR.writeValueAsBytes(body));
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis(timeoutMs))
              .method(method, publisher)
              .build();
      HttpResponse<byte[]> response =
          CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
      ObjectNode map =
          response.body().length == 0 ? map() : (ObjectNode) CBOR.readTree(response.body());
      double retry =
          response.headers().firstValue("Retry-After").map(Double::parseDouble).orElse(0.0);
      return new Answer(response.statusCode(), map, retry);
    } catch (java.net.ConnectException e) {
      return new Answer(-1, map(), 0);
    } catch (IOException e) {
      return new Answer(0, map(), 0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, map(), 0);
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
