package dunlincroft.transport;

import dunlincroft.Constants;
import io.netty.channel.Channel;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The budget of connections, shared by purpose: the state service, the cloud and other controllers
 * always get one, then those who come to us, then our direct calls to workers. Idle ones are closed
 * in time, the least recently used first. Confined to the event loop.
 *
 * <p>Idle time is counted in sweeps, not by a clock: a process that stood still has let nobody
 * wait.
 */
final class Sockets {
  private static final Logger LOG = LoggerFactory.getLogger(Sockets.class);

  /** What a connection is for. */
  enum Purpose {
    /** To the state service or the cloud: never refused. */
    KEPT,
    /** From a user, a worker or a health check. */
    SERVED,
    /** To a worker. */
    ORDERS
  }

  /** One connection, or an attempt at one. */
  final class Socket {
    private final Purpose purpose;
    private Channel channel;
    private long idleSinceSweep;
    private boolean isOpen = true;

    private Socket(Purpose purpose) {
      this.purpose = purpose;
    }

    /** The attempt has become a connection, which counts until it is closed. */
    void attach(Channel connected) {
      channel = connected;
      connected.closeFuture().addListener(done -> markClosed());
    }

    void markBusy() {
      idleSockets.get(purpose).remove(this);
    }

    void markIdle() {
      if (isOpen && purpose != Purpose.KEPT) {
        idleSinceSweep = sweeps;
        idleSockets.get(purpose).remove(this);
        idleSockets.get(purpose).add(this);
      }
    }

    /** It is closed, or the attempt has failed. */
    void markClosed() {
      if (isOpen) {
        isOpen = false;
        openCounts.merge(purpose, -1, Integer::sum);
        idleSockets.get(purpose).remove(this);
      }
    }

    private void close() {
      markClosed();
      channel.close();
    }
  }

  private final int maxOpen;
  private final int maxOpenForOrders;
  private final long servedIdleSweeps;
  private final long scarceIdleSweeps;
  private final Map<Purpose, Integer> openCounts = new EnumMap<>(Purpose.class);
  private final Map<Purpose, Set<Socket>> idleSockets = new EnumMap<>(Purpose.class);
  private long sweeps;
  private int peakOpen;
  private int refused;
  private int evicted;

  /**
   * @param processLimit connections that the process may have, all together
   * @param maxRequestGapS seconds between two requests of one that comes regularly, at the most
   */
  Sockets(int processLimit, double maxRequestGapS) {
    maxOpen = Math.max(1, (int) (processLimit * Constants.SOCKETS_PART) - Constants.SOCKETS_KEPT);
    maxOpenForOrders = (int) (processLimit * Constants.ORDER_SOCKETS_PART);
    scarceIdleSweeps = sweepsIn(Constants.PRESSED_QUIETS * maxRequestGapS);
    servedIdleSweeps = sweepsIn(Constants.SERVED_QUIETS * maxRequestGapS);
    for (Purpose purpose : Purpose.values()) {
      openCounts.put(purpose, 0);
      idleSockets.put(purpose, new LinkedHashSet<>());
    }
  }

  private static long sweepsIn(double seconds) {
    return (long) Math.ceil(seconds * 1000 / Constants.SOCKET_SWEEP_MS);
  }

  /** Connections and attempts at present. */
  int acquire() {
    return openCounts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Room for one more, made by closing idle ones if need be; null when there is none. */
  Socket acquire(Purpose purpose) {
    int bound = purpose == Purpose.ORDERS ? Math.min(maxOpenForOrders, maxOpen) : maxOpen;
    while (acquire() >= bound && evict(purpose)) {
      evicted++;
    }
    if (acquire() >= bound && purpose != Purpose.KEPT) {
      refused++;
      return null;
    }
    openCounts.merge(purpose, 1, Integer::sum);
    peakOpen = Math.max(peakOpen, acquire());
    return new Socket(purpose);
  }

  /** Closes the one that is missed least: an order can still go into the answer to a hello. */
  private boolean evict(Purpose purpose) {
    return closeIdle(Purpose.ORDERS, 0, 1) > 0
        || (purpose != Purpose.ORDERS && closeIdle(Purpose.SERVED, scarceIdleSweeps, 1) > 0);
  }

  private int closeIdle(Purpose purpose, long minIdleSweeps, int maxClosed) {
    int closed = 0;
    while (closed < maxClosed && !idleSockets.get(purpose).isEmpty()) {
      Socket oldest = idleSockets.get(purpose).iterator().next();
      if (sweeps - oldest.idleSinceSweep < minIdleSweeps) {
        break;
      }
      oldest.close();
      closed++;
    }
    return closed;
  }

  /** Closes what has been idle for long; called every {@link Constants#SOCKET_SWEEP_MS}. */
  void sweep() {
    sweeps++;
    closeIdle(Purpose.ORDERS, sweepsIn(Constants.ORDERS_IDLE_S), Integer.MAX_VALUE);
    closeIdle(
        Purpose.SERVED,
        acquire() >= maxOpenForOrders ? scarceIdleSweeps : servedIdleSweeps,
        Integer.MAX_VALUE);
    if (sweeps % (Constants.FIGURES_MS / Constants.SOCKET_SWEEP_MS) == 0) {
      LOG.info(
          "sockets: {} now, {} at most of {}; {} idle; {} refused, {} closed for others",
          openCounts,
          peakOpen,
          maxOpen,
          idleSockets.get(Purpose.ORDERS).size() + idleSockets.get(Purpose.SERVED).size(),
          refused,
          evicted);
      peakOpen = acquire();
      refused = 0;
      evicted = 0;
    }
  }
}
