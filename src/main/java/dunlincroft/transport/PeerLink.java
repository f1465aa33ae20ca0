package dunlincroft.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dunlincroft.Constants;
import dunlincroft.transport.PeerHeartbeat.PeerObservation;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections between controllers: every controller keeps one to each of its peers and sends
 * heartbeats over it, framed by length and encoded by Kryo with registered classes only. Nothing in
 * this class decides whether an action is safe.
 */
public final class PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

  /**
   * Kryo registration number of the heartbeat. A changed encoding gets a new number: heartbeats of
   * controllers of another version are rejected, and those controllers are then judged by their
   * session leases and their workers alone.
   */
  private static final int HEARTBEAT_ID = 14;

  private final NettyEnv env;
  private final Kryo kryo = createKryo();
  private final Supplier<PeerHeartbeat> localHeartbeat;
  private final Consumer<PeerHeartbeat> heartbeatListener;
  private final ConnectionListener connectionListener;

  /**
   * Established outgoing connections. Heartbeats are sent to all of them at the same time, as each
   * wake-up has a cost.
   */
  private final Set<Channel> connections = new LinkedHashSet<>();

  /**
   * Notified after each attempt to connect whether the peer refused it: then its process has ended,
   * or a packet filter rejects connections.
   */
  public interface ConnectionListener {
    void refusalChanged(String node, boolean refused);
  }

  public PeerLink(
      NettyEnv env,
      Supplier<PeerHeartbeat> localHeartbeat,
      Consumer<PeerHeartbeat> heartbeatListener,
      ConnectionListener connectionListener) {
    this.env = env;
    this.localHeartbeat = localHeartbeat;
    this.heartbeatListener = heartbeatListener;
    this.connectionListener = connectionListener;
  }

  private static PeerObservation readObservation(Input in) {
    return new PeerObservation(
        in.readString(),
        in.readLong(),
        in.readLong(),
        in.readBoolean(),
        in.readBoolean(),
        in.readBoolean());
  }

  private static void writeLoad(Output out, PeerHeartbeat.Load load) {
    out.writeDouble(load.acceptRate());
    out.writeInt(load.classDemands().size());
    for (PeerHeartbeat.ClassDemand classDemand : load.classDemands()) {
      out.writeString(classDemand.team());
      out.writeString(classDemand.jobclass());
      out.writeBoolean(classDemand.prod());
      out.writeDouble(classDemand.demandRate());
    }
    out.writeInt(load.retryReservations().size());
    for (PeerHeartbeat.RetryReservation reservation : load.retryReservations()) {
      out.writeLong(reservation.jobHash());
      out.writeLong(reservation.dueInMs());
      out.writeBoolean(reservation.tentative());
    }
  }

  private static PeerHeartbeat.Load readLoad(Input in) {
    return new PeerHeartbeat.Load(
        in.readDouble(),
        Stream.generate(
                () ->
                    new PeerHeartbeat.ClassDemand(
                        in.readString(), in.readString(), in.readBoolean(), in.readDouble()))
            .limit(in.readInt())
            .toList(),
        Stream.generate(
                () ->
                    new PeerHeartbeat.RetryReservation(
                        in.readLong(), in.readLong(), in.readBoolean()))
            .limit(in.readInt())
            .toList());
  }

  private static void writeCancellations(
      Output out, PeerHeartbeat.CancellationReport cancellations) {
    out.writeLong(cancellations.instanceId());
    out.writeLong(cancellations.sentAt());
    out.writeInt(cancellations.echoes().size());
    for (PeerHeartbeat.HeartbeatEcho echo : cancellations.echoes()) {
      out.writeString(echo.node());
      out.writeLong(echo.instanceId());
      out.writeLong(echo.sentAt());
    }
    out.writeLong(cancellations.readRevision());
    out.writeLong(cancellations.highestRevision());
    out.writeLong(cancellations.listedAbove());
    out.writeInt(cancellations.cancelledJobs().size());
    for (PeerHeartbeat.CancelledJob cancelled : cancellations.cancelledJobs()) {
      out.writeString(cancelled.job());
      out.writeLong(cancelled.revision());
    }
  }

  private static PeerHeartbeat.CancellationReport readCancellations(Input in) {
    return new PeerHeartbeat.CancellationReport(
        in.readLong(),
        in.readLong(),
        Stream.generate(
                () ->
                    new PeerHeartbeat.HeartbeatEcho(in.readString(), in.readLong(), in.readLong()))
            .limit(in.readInt())
            .toList(),
        in.readLong(),
        in.readLong(),
        in.readLong(),
        Stream.generate(() -> new PeerHeartbeat.CancelledJob(in.readString(), in.readLong()))
            .limit(in.readInt())
            .toList());
  }

  /** Heartbeats of the previous version have no silent machines. */
  private static List<String> readSilentMachines(Input in) {
    return in.end() ? List.of() : Stream.generate(in::readString).limit(in.readInt()).toList();
  }

  private static Kryo createKryo() {
    Kryo kryo = new Kryo();
    kryo.setRegistrationRequired(true);
    kryo.register(
        PeerHeartbeat.class,
        new Serializer<PeerHeartbeat>() {
          @Override
          public void write(Kryo k, Output out, PeerHeartbeat heartbeat) {
            out.writeString(heartbeat.node());
            out.writeLong(heartbeat.incarnation());
            out.writeLong(heartbeat.stateSilentMs());
            out.writeDouble(heartbeat.requestDemand());
            out.writeDouble(heartbeat.writeDemand());
            out.writeLong(heartbeat.refutations());
            out.writeInt(heartbeat.observations().size());
            for (PeerObservation observation : heartbeat.observations()) {
              out.writeString(observation.node());
              out.writeLong(observation.silentMs());
              out.writeLong(observation.refutations());
              out.writeBoolean(observation.suspected());
              out.writeBoolean(observation.suspectedByAny());
              out.writeBoolean(observation.refusesConnections());
            }
            writeLoad(out, heartbeat.load());
            writeCancellations(out, heartbeat.cancellations());
            out.writeInt(heartbeat.silentMachines().size());
            heartbeat.silentMachines().forEach(out::writeString);
          }

          @Override
          public PeerHeartbeat read(Kryo k, Input in, Class<? extends PeerHeartbeat> type) {
            return new PeerHeartbeat(
                in.readString(),
                in.readLong(),
                in.readLong(),
                in.readDouble(),
                in.readDouble(),
                in.readLong(),
                Stream.generate(() -> readObservation(in)).limit(in.readInt()).toList(),
                readLoad(in),
                readCancellations(in),
                readSilentMachines(in));
          }
        },
        HEARTBEAT_ID);
    return kryo;
  }

  byte[] encode(PeerHeartbeat heartbeat) {
    Output out = new Output(64, Constants.MAX_PEER_FRAME_BYTES);
    kryo.writeObject(out, heartbeat);
    return out.toBytes();
  }

  PeerHeartbeat decode(byte[] frame) {
    return kryo.readObject(new Input(frame), PeerHeartbeat.class);
  }

  /**
   * Starts to accept heartbeats at {@code listenAddress} and to send this controller's heartbeats
   * to its peers, given by name.
   */
  public Channel start(InetSocketAddress listenAddress, Map<String, InetSocketAddress> peers)
      throws InterruptedException {
    peers.forEach((node, address) -> connect(node, address));
    env.group()
        .scheduleWithFixedDelay(
            () -> sendHeartbeat(connections),
            0,
            Constants.PEER_HEARTBEAT_MS,
            TimeUnit.MILLISECONDS);
    return new ServerBootstrap()
        .group(env.group())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(initializer(true))
        .bind(listenAddress)
        .sync()
        .channel();
  }

  private ChannelInitializer<SocketChannel> initializer(boolean inbound) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        ch.pipeline()
            .addLast(new LengthFieldBasedFrameDecoder(Constants.MAX_PEER_FRAME_BYTES, 0, 2, 0, 2))
            .addLast(new LengthFieldPrepender(2))
            .addLast(new FrameHandler(inbound));
      }
    };
  }

  private void connect(String node, InetSocketAddress address) {
    new Bootstrap()
        .group(env.group())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Constants.CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(initializer(false))
        .connect(address)
        .addListener(
            (io.netty.channel.ChannelFuture done) -> {
              boolean refused =
                  done.cause() instanceof ConnectException
                      && !(done.cause() instanceof ConnectTimeoutException);
              env.runLocked(() -> connectionListener.refusalChanged(node, refused));
              if (done.isSuccess()) {
                Channel connection = done.channel();
                connections.add(connection);
                sendHeartbeat(List.of(connection));
                // Reconnects soon to learn whether only the connection ended or the process.
                connection
                    .closeFuture()
                    .addListener(
                        closed -> {
                          connections.remove(connection);
                          scheduleConnect(node, address, Constants.PEER_RECONNECT_MS);
                        });
              } else {
                scheduleConnect(node, address, Constants.PEER_HEARTBEAT_MS);
              }
            });
  }

  private void scheduleConnect(String node, InetSocketAddress address, long delayMs) {
    env.group().schedule(() -> connect(node, address), delayMs, TimeUnit.MILLISECONDS);
  }

  private void sendHeartbeat(Collection<Channel> recipients) {
    List<Channel> open = recipients.stream().filter(Channel::isWritable).toList();
    if (!open.isEmpty()) {
      env.runLocked(
          () -> {
            byte[] frame = encode(localHeartbeat.get());
            env.sendAfterUnlock(
                () ->
                    open.forEach(
                        connection -> connection.writeAndFlush(Unpooled.wrappedBuffer(frame))));
          });
    }
  }

  private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final boolean inbound;

    FrameHandler(boolean inbound) {
      this.inbound = inbound;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) {
      if (!inbound) {
        return;
      }
      try {
        PeerHeartbeat heartbeat = decode(ByteBufUtil.getBytes(msg));
        env.runLocked(() -> heartbeatListener.accept(heartbeat));
      } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
        LOG.info("undecodable heartbeat frame from a peer: {}", e.getMessage());
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
