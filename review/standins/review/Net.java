package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 with CBOR bodies on loopback addresses: a small threaded server and client. */
final class Net {
  private Net() {}

  static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  static ObjectNode map() {
    return JsonNodeFactory.instance.objectNode();
  }

  static byte[] bytes(JsonNode node) {
    try {
      return CBOR.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static ObjectNode parse(byte[] body) {
    try {
      return CBOR.readTree(body) instanceof ObjectNode node ? node : null;
    } catch (IOException e) {
      return null;
    }
  }

  /** An answer. Status 0: none came. */
  record Answer(int status, ObjectNode body) {
    String text(String field) {
      return body == null ? null : body.path(field).asText(null);
    }
  }

  /** Handles a request; null closes the connection without an answer. */
  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, byte[] body)
        throws Exception;
  }

  /** A server on a free loopback port; each connection has a thread. */
  static final class Server {
    final ServerSocket socket;
    private final Handler handler;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(LOOPBACK, 0), 512);
      daemon(this::accept, "accept");
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to close.
      }
    }

    private void accept() {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          daemon(() -> serve(connection), "serve");
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (true) {
          String first = line(in);
          if (first == null) {
            return;
          }
          byte[] body = body(in);
          String[] words = first.split(" ");
          int mark = words[1].indexOf('?');
          String path = mark < 0 ? words[1] : words[1].substring(0, mark);
          Map<String, String> query = new TreeMap<>();
          if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
              int equals = pair.indexOf('=');
              query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
          }
          Answer answer = handler.handle(words[0], path, query, body);
          if (answer == null) {
            return;
          }
          byte[] data = answer.body == null ? new byte[0] : bytes(answer.body);
          ByteArrayOutputStream message = new ByteArrayOutputStream();
          message.write(
              ("HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/cbor\r\n"
                      + "Content-Length: " + data.length + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
          message.write(data);
          out.write(message.toByteArray());
          out.flush();
        }
      } catch (Exception e) {
        // The connection has ended.
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      if (c != '\r') {
        text.append((char) c);
      }
    }
    return text.toString();
  }

  private static byte[] body(InputStream in) throws IOException {
    int length = 0;
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
      }
    }
    return in.readNBytes(length);
  }

  /** One request on a connection of its own; status 0 without an answer in time. */
  static Answer call(String address, String method, String path, JsonNode body, int timeoutMs) {
    String[] parts = address.split(":");
    long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(LOOPBACK, Integer.parseInt(parts[1])), timeoutMs);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
      byte[] data = body == null ? new byte[0] : bytes(body);
      ByteArrayOutputStream message = new ByteArrayOutputStream();
      message.write(
          (method + " " + path + " HTTP/1.1\r\nHost: " + address
                  + "\r\nConnection: close\r\nContent-Length: " + data.length + "\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      message.write(data);
      socket.getOutputStream().write(message.toByteArray());
      socket.getOutputStream().flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String first = line(in);
      if (first == null) {
        return new Answer(0, null);
      }
      byte[] answer = body(in);
      return new Answer(Integer.parseInt(first.split(" ")[1]), parse(answer));
    } catch (IOException e) {
      return new Answer(0, null);
    }
  }

  static Thread daemon(Runnable action, String name) {
    Thread thread = new Thread(null, action, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
