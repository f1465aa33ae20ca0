package dunlincroft.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import dunlincroft.Constants;
import dunlincroft.transport.Beat.Hearing;
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
 * The back link: every controller keeps a connection to each other one and sends beats over it,
 * framed by length and written by Kryo with registered classes only. Nothing here decides whether
 * an act is safe.
 */
public final class PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

  /**
   * Kryo's number of the beat's class. A new form gets a new number: frames of another version are
   * refused, and its controllers are then judged by their holds and workers alone.
   */
  private static final int BEAT_ID = 14;

  private final NettyEnv env;
  private final Kryo kryo = beatKryo();
  private final Supplier<Beat> mine;
  private final Consumer<Beat> heard;
  private final Watch watch;

  /** Links that stand; all get their beats in the same turn, as each waking up has its price. */
  private final Set<Channel> links = new LinkedHashSet<>();

  /**
   * Told whether a controller refuses connections: its process is gone, or a filter stands there.
   */
  public interface Watch {
    void refused(String node, boolean refused);
  }

  public PeerLink(NettyEnv env, Supplier<Beat> mine, Consumer<Beat> heard, Watch watch) {
    this.env = env;
    this.mine = mine;
    this.heard = heard;
    this.watch = watch;
  }

  private static Hearing hearing(Input in) {
    return new Hearing(
        in.readString(),
        in.readLong(),
        in.readLong(),
        in.readBoolean(),
        in.readBoolean(),
        in.readBoolean());
  }

  private static void writeLoad(Output out, Beat.Load load) {
    out.writeDouble(load.admits());
    out.writeInt(load.flows().size());
    for (Beat.Flowing flow : load.flows()) {
      out.writeString(flow.team());
      out.writeString(flow.jobclass());
      out.writeBoolean(flow.prod());
      out.writeDouble(flow.asked());
    }
    out.writeInt(load.promises().size());
    for (Beat.Promise promise : load.promises()) {
      out.writeLong(promise.job());
      out.writeLong(promise.inMs());
      out.writeBoolean(promise.loose());
    }
  }

  private static Beat.Load load(Input in) {
    return new Beat.Load(
        in.readDouble(),
        Stream.generate(
                () ->
                    new Beat.Flowing(
                        in.readString(), in.readString(), in.readBoolean(), in.readDouble()))
            .limit(in.readInt())
            .toList(),
        Stream.generate(() -> new Beat.Promise(in.readLong(), in.readLong(), in.readBoolean()))
            .limit(in.readInt())
            .toList());
  }

  private static void writeTold(Output out, Beat.Told told) {
    out.writeLong(told.life());
    out.writeLong(told.sentAt());
    out.writeInt(told.echoes().size());
    for (Beat.Echo echo : told.echoes()) {
      out.writeString(echo.node());
      out.writeLong(echo.life());
      out.writeLong(echo.sentAt());
    }
    out.writeLong(told.revision());
    out.writeLong(told.highest());
    out.writeLong(told.above());
    out.writeInt(told.cancelled().size());
    for (Beat.Cancelled cancelled : told.cancelled()) {
      out.writeString(cancelled.job());
      out.writeLong(cancelled.revision());
    }
  }

  private static Beat.Told told(Input in) {
    return new Beat.Told(
        in.readLong(),
        in.readLong(),
        Stream.generate(() -> new Beat.Echo(in.readString(), in.readLong(), in.readLong()))
            .limit(in.readInt())
            .toList(),
        in.readLong(),
        in.readLong(),
        in.readLong(),
        Stream.generate(() -> new Beat.Cancelled(in.readString(), in.readLong()))
            .limit(in.readInt())
            .toList());
  }

  /** The version before sent none. */
  private static List<String> silentMachines(Input in) {
    return in.end() ? List.of() : Stream.generate(in::readString).limit(in.readInt()).toList();
  }

  private static Kryo beatKryo() {
    Kryo kryo = new Kryo();
    kryo.setRegistrationRequired(true);
    kryo.register(
        Beat.class,
        new Serializer<Beat>() {
          @Override
          public void write(Kryo k, Output out, Beat beat) {
            out.writeString(beat.node());
            out.writeLong(beat.incarnation());
            out.writeLong(beat.stateSilentMs());
            out.writeDouble(beat.requests());
            out.writeDouble(beat.writes());
            out.writeLong(beat.count());
            out.writeInt(beat.hearings().size());
            for (Hearing hearing : beat.hearings()) {
              out.writeString(hearing.node());
              out.writeLong(hearing.silentMs());
              out.writeLong(hearing.count());
              out.writeBoolean(hearing.suspected());
              out.writeBoolean(hearing.rumoured());
              out.writeBoolean(hearing.refused());
            }
            writeLoad(out, beat.load());
            writeTold(out, beat.told());
            out.writeInt(beat.silentMachines().size());
            beat.silentMachines().forEach(out::writeString);
          }

          @Override
          public Beat read(Kryo k, Input in, Class<? extends Beat> type) {
            return new Beat(
                in.readString(),
                in.readLong(),
                in.readLong(),
                in.readDouble(),
                in.readDouble(),
                in.readLong(),
                Stream.generate(() -> hearing(in)).limit(in.readInt()).toList(),
                load(in),
                told(in),
                silentMachines(in));
          }
        },
        BEAT_ID);
    return kryo;
  }

  byte[] encode(Beat beat) {
    Output out = new Output(64, Constants.LINK_FRAME_BYTES);
    kryo.writeObject(out, beat);
    return out.toBytes();
  }

  Beat decode(byte[] frame) {
    return kryo.readObject(new Input(frame), Beat.class);
  }

  /** Accepts the others' beats at {@code back} and begins to send ours, to each by its name. */
  public Channel start(InetSocketAddress back, Map<String, InetSocketAddress> others)
      throws InterruptedException {
    others.forEach((node, address) -> connect(node, address));
    env.group()
        .scheduleWithFixedDelay(
            () -> beat(links), 0, Constants.LINK_BEAT_MS, TimeUnit.MILLISECONDS);
    return new ServerBootstrap()
        .group(env.group())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(initializer(true))
        .bind(back)
        .sync()
        .channel();
  }

  private ChannelInitializer<SocketChannel> initializer(boolean receiving) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        ch.pipeline()
            .addLast(new LengthFieldBasedFrameDecoder(Constants.LINK_FRAME_BYTES, 0, 2, 0, 2))
            .addLast(new LengthFieldPrepender(2))
            .addLast(new Frames(receiving));
      }
    };
  }

  private void connect(String node, InetSocketAddress address) {
    new Bootstrap()
        .group(env.group())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Constants.CONNECT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(initializer(false))
        .connect(address)
        .addListener(
            (io.netty.channel.ChannelFuture done) -> {
              boolean refused =
                  done.cause() instanceof ConnectException
                      && !(done.cause() instanceof ConnectTimeoutException);
              env.enter(() -> watch.refused(node, refused));
              if (done.isSuccess()) {
                Channel link = done.channel();
                links.add(link);
                beat(List.of(link));
                // Asked at once whether it is the connection that ended, or the process.
                link.closeFuture()
                    .addListener(
                        closed -> {
                          links.remove(link);
                          again(node, address, Constants.LINK_AGAIN_MS);
                        });
              } else {
                again(node, address, Constants.LINK_BEAT_MS);
              }
            });
  }

  private void again(String node, InetSocketAddress address, long delayMs) {
    env.group().schedule(() -> connect(node, address), delayMs, TimeUnit.MILLISECONDS);
  }

  private void beat(Collection<Channel> to) {
    List<Channel> open = to.stream().filter(Channel::isWritable).toList();
    if (!open.isEmpty()) {
      env.enter(
          () -> {
            byte[] frame = encode(mine.get());
            env.later(
                () -> open.forEach(link -> link.writeAndFlush(Unpooled.wrappedBuffer(frame))));
          });
    }
  }

  private final class Frames extends SimpleChannelInboundHandler<ByteBuf> {
    private final boolean receiving;

    Frames(boolean receiving) {
      this.receiving = receiving;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) {
      if (!receiving) {
        return;
      }
      try {
        Beat beat = decode(ByteBufUtil.getBytes(msg));
        env.enter(() -> heard.accept(beat));
      } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException e) {
        LOG.info("unreadable frame on the back link: {}", e.getMessage());
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
