package dunlincroft.transport;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.transport.Sockets.Purpose;
import dunlincroft.transport.Sockets.Socket;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class SocketsTest {
  private static final double MAX_REQUEST_GAP_S = 5;

  private record Open(Purpose purpose, EmbeddedChannel channel, Socket socket) {}

  private final List<Open> all = new ArrayList<>();

  private Open open(Sockets sockets, Purpose purpose) {
    Socket socket = sockets.acquire(purpose);
    if (socket == null) {
      return null;
    }
    Open open = new Open(purpose, new EmbeddedChannel(), socket);
    socket.attach(open.channel);
    socket.markIdle();
    all.add(open);
    return open;
  }

  private long liveConnections(Purpose purpose) {
    return all.stream().filter(o -> o.purpose == purpose && o.channel.isOpen()).count();
  }

  /**
   * More machines than there are sockets for two connections each: all workers that connect are
   * served, direct orders get what is left, and the state service always gets its connection.
   */
  @Test
  void incomingConnectionsGoBeforeOrdersAndTheStateServiceBeforeAll() {
    Sockets sockets = new Sockets(2157, MAX_REQUEST_GAP_S);
    for (int i = 0; i < 1243; i++) {
      assertThat(open(sockets, Purpose.ORDERS)).isNotNull();
    }
    for (int i = 0; i < 1243 + 300; i++) {
      assertThat(open(sockets, Purpose.SERVED)).isNotNull();
    }
    assertThat(liveConnections(Purpose.SERVED)).isEqualTo(1543);
    assertThat(sockets.openCount()).isLessThan((int) (2157 * Constants.USABLE_SOCKETS_FRACTION));
    while (open(sockets, Purpose.SERVED) != null) {
      assertThat(sockets.openCount()).isLessThan(2157);
    }
    assertThat(liveConnections(Purpose.ORDERS)).isZero();
    assertThat(open(sockets, Purpose.ORDERS)).isNull();
    assertThat(open(sockets, Purpose.KEPT)).isNotNull();
  }

  /** Idle connections are closed after their time limit, those in use or used regularly never. */
  @Test
  void idleConnectionsAreClosedInTimeAndBusyOnesNever() {
    Sockets sockets = new Sockets(100, MAX_REQUEST_GAP_S);
    Open busy = open(sockets, Purpose.SERVED);
    busy.socket.markBusy();
    Open regular = open(sockets, Purpose.SERVED);
    Open abandoned = open(sockets, Purpose.SERVED);
    Open order = open(sockets, Purpose.ORDERS);
    for (int s = 0; s < 60; s++) {
      sockets.sweep();
      if (s % (int) MAX_REQUEST_GAP_S == 0) {
        regular.socket.markBusy();
        regular.socket.markIdle();
      }
      assertThat(order.channel.isOpen()).isEqualTo(s + 1 < Constants.ORDER_SOCKET_IDLE_S);
    }
    assertThat(busy.channel.isOpen()).isTrue();
    assertThat(regular.channel.isOpen()).isTrue();
    assertThat(abandoned.channel.isOpen()).isFalse();
    assertThat(sockets.openCount()).isEqualTo(2);
  }

  /** The count equals the open connections after any sequence of events, and stays in the limit. */
  @Property(seed = "7", tries = 200)
  void countMatchesOpenConnections(
      @ForAll @Size(max = 400) List<@IntRange(max = 8) Integer> steps,
      @ForAll @IntRange(min = 60, max = 120) int limit) {
    Sockets sockets = new Sockets(limit, MAX_REQUEST_GAP_S);
    all.clear();
    for (int i = 0; i < steps.size(); i++) {
      Open selected = all.isEmpty() ? null : all.get(i * 7 % all.size());
      switch (steps.get(i)) {
        case 0, 1 -> open(sockets, Purpose.ORDERS);
        case 2, 3, 4 -> open(sockets, Purpose.SERVED);
        case 5 -> sockets.sweep();
        case 6 -> {
          if (selected != null) {
            selected.socket.markBusy();
          }
        }
        case 7 -> {
          if (selected != null) {
            selected.socket.markIdle();
          }
        }
        default -> {
          if (selected != null) {
            selected.channel.close();
          }
        }
      }
      assertThat(sockets.openCount())
          .isEqualTo((int) (liveConnections(Purpose.ORDERS) + liveConnections(Purpose.SERVED)));
      assertThat(sockets.openCount()).isLessThanOrEqualTo(limit - Constants.RESERVED_SOCKETS);
    }
  }
}
