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
 * Limits the number of open connections, by purpose: those to the state service, the cloud provider
 * and other controllers are always allowed; incoming connections come next, and direct calls to
 * workers last. Connections that have been idle for long are closed, the least recently used first.
 * Confined to the event loop.
 *
 * <p>Idle time is counted in sweeps and not by a clock, so that a pause of this process does not
 * count as idle time of its clients.
 */
final class Sockets {
  private static final Logger LOG = LoggerFactory.getLogger(Sockets.class);

  /** Purpose of a connection. */
  enum Purpose {
    /** To the state service or the cloud provider: never refused. */
    KEPT,
    /** From a user, a worker or a health check. */
    SERVED,
    /** To a worker, for direct orders. */
    ORDERS
  }

  /** A connection or an attempt to connect. */
  final class Socket {
    private final Purpose purpose;
    private Channel channel;
    private long idleSinceSweep;
    private boolean isOpen = true;

    private Socket(Purpose purpose) {
      this.purpose = purpose;
    }

    /** The connection has been established; it counts until it is closed. */
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

    /** The connection has been closed, or the attempt to connect has failed. */
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
   * @param processLimit connections that the process may have in all
   * @param maxRequestGapS longest time in seconds between two requests of a client that sends them
   *     regularly
   */
  Sockets(int processLimit, double maxRequestGapS) {
    maxOpen =
        Math.max(
            1,
            (int) (processLimit * Constants.USABLE_SOCKETS_FRACTION) - Constants.RESERVED_SOCKETS);
    maxOpenForOrders = (int) (processLimit * Constants.ORDER_SOCKETS_FRACTION);
    scarceIdleSweeps = sweepsIn(Constants.SCARCE_IDLE_INTERVALS * maxRequestGapS);
    servedIdleSweeps = sweepsIn(Constants.MAX_IDLE_INTERVALS * maxRequestGapS);
    for (Purpose purpose : Purpose.values()) {
      openCounts.put(purpose, 0);
      idleSockets.put(purpose, new LinkedHashSet<>());
    }
  }

  private static long sweepsIn(double seconds) {
    return (long) Math.ceil(seconds * 1000 / Constants.SOCKET_SWEEP_MS);
  }

  /** Number of connections and attempts to connect at present. */
  int openCount() {
    return openCounts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Admits one more connection, after closing idle ones if necessary; null if the limit is reached.
   */
  Socket acquire(Purpose purpose) {
    int bound = purpose == Purpose.ORDERS ? Math.min(maxOpenForOrders, maxOpen) : maxOpen;
    while (openCount() >= bound && evict(purpose)) {
      evicted++;
    }
    if (openCount() >= bound && purpose != Purpose.KEPT) {
      refused++;
      return null;
    }
    openCounts.merge(purpose, 1, Integer::sum);
    peakOpen = Math.max(peakOpen, openCount());
    return new Socket(purpose);
  }

  /**
   * Closes an idle connection, preferably one to a worker: its orders can also be sent in the
   * answer to its next heartbeat.
   */
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

  /**
   * Closes connections that have been idle for long; called every {@link
   * Constants#SOCKET_SWEEP_MS}.
   */
  void sweep() {
    sweeps++;
    closeIdle(Purpose.ORDERS, sweepsIn(Constants.ORDER_SOCKET_IDLE_S), Integer.MAX_VALUE);
    closeIdle(
        Purpose.SERVED,
        openCount() >= maxOpenForOrders ? scarceIdleSweeps : servedIdleSweeps,
        Integer.MAX_VALUE);
    if (sweeps % (Constants.METRICS_INTERVAL_MS / Constants.SOCKET_SWEEP_MS) == 0) {
      LOG.info(
          "sockets: {} now, {} at most of {}; {} idle; {} refused, {} closed for others",
          openCounts,
          peakOpen,
          maxOpen,
          idleSockets.get(Purpose.ORDERS).size() + idleSockets.get(Purpose.SERVED).size(),
          refused,
          evicted);
      peakOpen = openCount();
      refused = 0;
      evicted = 0;
    }
  }
}
