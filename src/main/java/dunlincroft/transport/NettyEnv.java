package dunlincroft.transport;

import dunlincroft.Constants;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The implementation of {@link Env} in production: one NIO thread, and one lock, held briefly, that
 * guards all shared state. Sends requested by guarded code wait in an outbox until the lock is
 * released, so that no I/O is done while it is held.
 */
public final class NettyEnv implements Env {
  private static final Logger LOG = LoggerFactory.getLogger(NettyEnv.class);

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Runnable> outbox = new ArrayDeque<>();
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();

  /** Exit code of a process that ends itself after an error. */
  private static final int EXIT_ON_ERROR = 70;

  private final NanoClock monotonicClock;
  private final EpochClock wallClock;
  private final Sockets sockets;
  private final HttpClient client;

  /**
   * Limits of the connections of this process.
   *
   * @param maxSockets connections that the process may have in all
   * @param maxRequestGapS longest time in seconds between two requests of a client that sends them
   *     regularly
   * @param reservedAddresses addresses to which a connection is always allowed
   */
  public record SocketLimits(
      int maxSockets, double maxRequestGapS, Set<String> reservedAddresses) {}

  public NettyEnv(NanoClock monotonicClock, EpochClock wallClock, SocketLimits limits) {
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
    this.sockets = new Sockets(limits.maxSockets, limits.maxRequestGapS);
    this.client =
        new HttpClient(group, Constants.MAX_REPLY_BYTES, sockets, limits.reservedAddresses);
    group.scheduleWithFixedDelay(
        sockets::sweep,
        Constants.SOCKET_SWEEP_MS,
        Constants.SOCKET_SWEEP_MS,
        TimeUnit.MILLISECONDS);
  }

  Sockets sockets() {
    return sockets;
  }

  EventLoopGroup group() {
    return group;
  }

  /** Runs code that accesses shared state under the lock, then sends what it put in the outbox. */
  public void runLocked(Runnable action) {
    Runnable[] sends;
    lock.lock();
    try {
      action.run();
    } catch (RuntimeException e) {
      // An exception in one event must not end the process: other events can still be handled.
      LOG.error("exception while handling an event", e);
    } catch (Error e) {
      endProcess(e);
    } finally {
      sends = outbox.toArray(Runnable[]::new);
      outbox.clear();
      lock.unlock();
    }
    for (Runnable send : sends) {
      send.run();
    }
  }

  /**
   * Ends the process at once after an error such as a full heap, after which no state can be
   * trusted. The platform starts it again, and the records say what it did.
   */
  private static void endProcess(Error error) {
    try {
      LOG.error("error while handling an event: the process ends", error);
    } finally {
      Runtime.getRuntime().halt(EXIT_ON_ERROR);
    }
  }

  /** Puts a send into the outbox, until the lock is released; called under the lock only. */
  void sendAfterUnlock(Runnable send) {
    outbox.add(send);
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(monotonicClock.nanoTime());
  }

  @Override
  public long wallMillis() {
    return wallClock.time();
  }

  @Override
  public UniformRandomProvider random() {
    return random;
  }

  @Override
  public void after(long delayMs, Runnable task) {
    if (delayMs <= 0) {
      // Not scheduled as a timer: the event loop would poll the sockets once more before it.
      group.execute(() -> runLocked(task));
    } else {
      group.schedule(() -> runLocked(task), delayMs, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void call(Call call, Consumer<Reply> callback) {
    sendAfterUnlock(() -> client.call(call, reply -> runLocked(() -> callback.accept(reply))));
  }

  @Override
  public void closeIdleConnections(String address) {
    sendAfterUnlock(() -> client.closeIdleConnections(address));
  }
}
