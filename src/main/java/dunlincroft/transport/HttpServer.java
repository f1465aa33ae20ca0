package dunlincroft.transport;

import dunlincroft.Constants;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;

/** The HTTP/1.1 server for users, workers and health checks. */
public final class HttpServer {
  private static final int MISDIRECTED = HttpResponseStatus.MISDIRECTED_REQUEST.code();

  private final NettyEnv env;
  private final RequestHandler handler;

  public HttpServer(NettyEnv env, RequestHandler handler) {
    this.env = env;
    this.handler = handler;
  }

  /** Starts to listen; throws if the address cannot be bound. */
  public Channel listen(InetSocketAddress address) throws InterruptedException {
    return new ServerBootstrap()
        .group(env.group())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 512)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                Sockets.Socket socket = env.sockets().acquire(Sockets.Purpose.SERVED);
                if (socket == null) {
                  // Refused before the process limit is reached: beyond it connections fail at
                  // random, among them those of worker heartbeats.
                  ch.close();
                  return;
                }
                socket.attach(ch);
                socket.markIdle();
                ch.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(Constants.MAX_READ_BYTES))
                    .addLast(new ExchangeHandler(socket));
              }
            })
        .bind(address)
        .sync()
        .channel();
  }

  private final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Sockets.Socket socket;

    ExchangeHandler(Sockets.Socket socket) {
      this.socket = socket;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest msg) {
      socket.markBusy();
      boolean keepAliveRequested = HttpUtil.isKeepAlive(msg);
      Responder responder =
          (status, body, retryAfterS) -> {
            socket.markIdle();
            // A client that is redirected to another controller does not need this connection.
            boolean keepAlive = keepAliveRequested && status != MISDIRECTED;
            send(ctx, keepAlive, status, body, retryAfterS);
          };
      if (msg.decoderResult().isFailure()) {
        responder.send(HttpResponseStatus.BAD_REQUEST.code(), new byte[0], 0);
        return;
      }
      byte[] body = ByteBufUtil.getBytes(msg.content());
      String method = msg.method().name();
      String uri = msg.uri();
      env.runLocked(
          () ->
              handler.handle(
                  method,
                  uri,
                  body,
                  (status, data, retry) ->
                      env.sendAfterUnlock(() -> responder.send(status, data, retry))));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private static void send(
      ChannelHandlerContext ctx, boolean keepAlive, int status, byte[] body, int retryAfterS) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, Addresses.CBOR);
    if (retryAfterS > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterS);
    }
    if (keepAlive) {
      ctx.writeAndFlush(response);
    } else {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }
}
