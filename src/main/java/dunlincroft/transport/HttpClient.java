package dunlincroft.transport;

import dunlincroft.Constants;
import dunlincroft.transport.Env.Call;
import dunlincroft.transport.Env.Reply;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP/1.1 client with pools of persistent connections and one request at a time on each. It runs
 * on the single event loop, to which its pools are confined.
 */
final class HttpClient {
  private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);

  private final EventLoopGroup group;
  private final int maxReplyBytes;
  private final Sockets sockets;
  private final Set<String> reservedAddresses;
  private final Map<String, ArrayDeque<Connection>> idleConnections =
      new Object2ObjectOpenHashMap<>();

  /**
   * @param reservedAddresses addresses to which a connection is always allowed; all other addresses
   *     are those of workers
   */
  HttpClient(
      EventLoopGroup group, int maxReplyBytes, Sockets sockets, Set<String> reservedAddresses) {
    this.group = group;
    this.maxReplyBytes = maxReplyBytes;
    this.sockets = sockets;
    this.reservedAddresses = reservedAddresses;
  }

  void call(Call call, Consumer<Reply> callback) {
    group.execute(() -> start(call, callback));
  }

  /** Closes the idle connections to an address. */
  void closeIdleConnections(String address) {
    group.execute(
        () -> {
          ArrayDeque<Connection> pool = idleConnections.remove(address);
          if (pool != null) {
            pool.forEach(connection -> connection.channel.close());
          }
        });
  }

  private void start(Call call, Consumer<Reply> callback) {
    String address = call.address();
    byte[] body = call.body();
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.path(),
            body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, address);
    if (body != null) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, Addresses.CBOR);
    }
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body == null ? 0 : body.length);
    ArrayDeque<Connection> pool = idleConnections.get(address);
    while (pool != null && !pool.isEmpty()) {
      Connection connection = pool.pollLast();
      if (connection.channel.isActive()) {
        connection.send(request, call.timeoutMs(), callback);
        return;
      }
    }
    Sockets.Socket socket =
        sockets.acquire(
            reservedAddresses.contains(address) ? Sockets.Purpose.KEPT : Sockets.Purpose.ORDERS);
    if (socket == null) {
      request.release();
      callback.accept(Reply.NOT_SENT);
      return;
    }
    Connection connection = new Connection(address, socket);
    ChannelFuture connecting;
    try {
      connecting =
          new Bootstrap()
              .group(group)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(
                  ChannelOption.CONNECT_TIMEOUT_MILLIS,
                  (int) Math.min(call.timeoutMs(), Constants.CONNECT_TIMEOUT_MS))
              .handler(connection.initializer())
              .connect(Addresses.parse(address));
    } catch (IllegalArgumentException e) {
      LOG.info("invalid address {}: {}", address, e.getMessage());
      socket.markClosed();
      callback.accept(Reply.NOT_SENT);
      return;
    }
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.channel = connecting.channel();
            socket.attach(connection.channel);
            connection.send(request, call.timeoutMs(), callback);
          } else {
            request.release();
            socket.markClosed();
            callback.accept(Reply.NOT_SENT);
          }
        });
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final String address;
    private final Sockets.Socket socket;
    private Channel channel;
    private Consumer<Reply> pendingCallback;
    private Future<?> timeout;

    Connection(String address, Sockets.Socket socket) {
      this.address = address;
      this.socket = socket;
    }

    ChannelInitializer<Channel> initializer() {
      return new ChannelInitializer<>() {
        @Override
        protected void initChannel(Channel ch) {
          ch.pipeline()
              .addLast(new HttpClientCodec())
              .addLast(new HttpObjectAggregator(maxReplyBytes))
              .addLast(Connection.this);
        }
      };
    }

    void send(DefaultFullHttpRequest request, long timeoutMs, Consumer<Reply> callback) {
      pendingCallback = callback;
      socket.markBusy();
      timeout = group.schedule(() -> complete(Reply.NONE, false), timeoutMs, TimeUnit.MILLISECONDS);
      channel
          .writeAndFlush(request)
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  complete(Reply.NONE, false);
                }
              });
    }

    private void complete(Reply reply, boolean reusable) {
      Consumer<Reply> callback = pendingCallback;
      if (callback == null) {
        return;
      }
      pendingCallback = null;
      timeout.cancel(false);
      if (reusable && channel.isActive()) {
        idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(this);
        socket.markIdle();
      } else {
        channel.close();
      }
      callback.accept(reply);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse msg) {
      complete(
          new Reply(msg.status().code(), ByteBufUtil.getBytes(msg.content())),
          HttpUtil.isKeepAlive(msg) && msg.decoderResult().isSuccess());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      complete(Reply.NONE, false);
      ArrayDeque<Connection> pool = idleConnections.get(address);
      if (pool != null) {
        pool.remove(this);
        if (pool.isEmpty()) {
          idleConnections.remove(address);
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      complete(Reply.NONE, false);
      ctx.close();
    }
  }
}
