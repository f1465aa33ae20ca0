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
 * The real world behind {@link Env}: one NIO thread, and one short lock around all shared state.
 * What the guarded code wants sent waits in an outbox until the lock is free again, so that no I/O
 * happens under it.
 */
public final class NettyEnv implements Env {
  private static final Logger LOG = LoggerFactory.getLogger(NettyEnv.class);

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Runnable> outbox = new ArrayDeque<>();
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
  private final NanoClock monotonicClock;
  private final EpochClock wallClock;
  private final Sockets sockets;
  private final HttpClient client;

  /** What connections the process may have. */
  public record SocketLimits(
      int maxSockets, double maxRequestGapS, Set<String> reservedAddresses) {}

  /**
   * @param limits connections in all; seconds between two requests of one that comes regularly, at
   *     the most; and the addresses that always get a connection
   */
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

  /** Runs state-changing code under the lock, then sends what it left in the outbox. */
  public void runLocked(Runnable action) {
    Runnable[] sends;
    lock.lock();
    try {
      action.run();
    } catch (RuntimeException e) {
      // A fault in one event must not end the process: the next event finds guarded state.
      LOG.error("event failed", e);
    } finally {
      sends = outbox.toArray(Runnable[]::new);
      outbox.clear();
      lock.unlock();
    }
    for (Runnable send : sends) {
      send.run();
    }
  }

  /** Keeps a send until the lock is free; called by guarded code only. */
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
      // Without a timer: the loop would ask for ready sockets once more before it.
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
