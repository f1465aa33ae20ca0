package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy between two controllers: it forwards, holds back what is sent, or refuses. */
final class Link {
  /** What happens to the traffic. */
  enum Mode {
    OPEN,
    HELD,
    REFUSED
  }

  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final InetSocketAddress address;
  private ServerSocket server;
  private volatile Mode mode = Mode.OPEN;

  Link(String target) throws IOException {
    this.target =
        new InetSocketAddress(Net.LOOPBACK, Integer.parseInt(target.substring(target.indexOf(':') + 1)));
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(Net.LOOPBACK, 0));
    address = (InetSocketAddress) server.getLocalSocketAddress();
    accept(server);
  }

  String address() {
    return "127.0.0.1:" + address.getPort();
  }

  synchronized void set(Mode next) {
    if (next == mode) {
      return;
    }
    try {
      if (next == Mode.REFUSED) {
        server.close();
        sockets.forEach(Link::close);
      } else if (mode == Mode.REFUSED) {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address);
        accept(server);
      }
      mode = next;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void accept(ServerSocket listening) {
    Net.daemon(
        () -> {
          while (!listening.isClosed()) {
            try {
              Socket in = listening.accept();
              Net.daemon(() -> join(in), "link");
            } catch (IOException e) {
              return;
            }
          }
        },
        "link");
  }

  private void join(Socket in) {
    while (mode == Mode.HELD) {
      Net.sleep(20);
    }
    Socket out = new Socket();
    try {
      out.connect(target, 1000);
      in.setTcpNoDelay(true);
      out.setTcpNoDelay(true);
      sockets.add(in);
      sockets.add(out);
      Net.daemon(() -> copy(in, out), "link");
      copy(out, in);
    } catch (IOException e) {
      close(in);
      close(out);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[8192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
        while (mode == Mode.HELD) {
          Net.sleep(20);
        }
        out.write(buffer, 0, n);
        out.flush();
      }
    } catch (IOException e) {
      // One side has closed: so does the other.
    }
    close(from);
    close(to);
    sockets.remove(from);
    sockets.remove(to);
  }

  private static void close(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
