package dunlincroft.transport;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.transport.Env.Reply;
import io.netty.channel.Channel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.junit.jupiter.api.Test;

class LoopbackTest {
  private final NettyEnv env = env(2000);

  private static NettyEnv env(int sockets) {
    return new NettyEnv(
        SystemNanoClock.INSTANCE,
        SystemEpochClock.INSTANCE,
        new NettyEnv.SocketLimits(sockets, 1, Set.of()));
  }

  private Reply call(String address, String path, byte[] body, long timeoutMs) throws Exception {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    env.runLocked(
        () -> env.call(new Env.Call(address, "POST", path, body, timeoutMs), reply::complete));
    return reply.get(10, TimeUnit.SECONDS);
  }

  @Test
  void requestsAreAnsweredOrTimeOutAndAFailingHandlerDoesNotStopTheServer() throws Exception {
    HttpServer server =
        new HttpServer(
            env,
            (method, path, body, out) -> {
              switch (path) {
                case "/echo" -> out.send(200, body, 0);
                case "/fault" -> throw new IllegalStateException("a failing handler");
                case "/silent" -> assertThat(method).isEqualTo("POST");
                default -> out.send(404, new byte[0], 3);
              }
            });
    Channel channel = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    String address = "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    byte[] body = new byte[70_000];
    body[7] = 42;
    assertThat(call(address, "/echo", body, 5000).body()).isEqualTo(body);
    assertThat(call(address, "/nowhere", new byte[1], 5000).status()).isEqualTo(404);
    assertThat(call(address, "/silent", new byte[1], 100).status()).isZero();
    assertThat(call(address, "/fault", new byte[1], 100).status()).isZero();
    assertThat(call(address, "/echo", new byte[3], 5000).status()).isEqualTo(200);
    channel.close().sync();
    assertThat(call(address, "/echo", new byte[3], 1000).status()).isIn(0, 200);
    Reply refused = call("127.0.0.1:1", "/echo", new byte[3], 1000);
    assertThat(refused.mayBeExecuted())
        .as("no request is sent over a refused connection")
        .isFalse();
  }

  @Property(seed = "5", tries = 100)
  void heartbeatsSurviveEncoding(
      @ForAll @AlphaChars String node, @ForAll long incarnation, @ForAll long silent) {
    PeerLink link = new PeerLink(env, () -> null, heartbeat -> {}, (other, refused) -> {});
    boolean odd = silent % 2 != 0;
    List<PeerHeartbeat.PeerObservation> observations =
        odd
            ? List.of()
            : List.of(new PeerHeartbeat.PeerObservation(node, silent, silent / 2, odd, !odd, odd));
    PeerHeartbeat.CancellationReport cancellations =
        new PeerHeartbeat.CancellationReport(
            incarnation,
            silent,
            odd ? List.of(new PeerHeartbeat.HeartbeatEcho(node, silent, incarnation)) : List.of(),
            silent / 5,
            incarnation / 3,
            silent / 7,
            odd ? List.of() : List.of(new PeerHeartbeat.CancelledJob(node, silent)));
    PeerHeartbeat heartbeat =
        new PeerHeartbeat(
            node,
            incarnation,
            silent,
            silent / 3.0,
            incarnation / 7.0,
            silent,
            observations,
            PeerHeartbeat.Load.NONE,
            cancellations);
    assertThat(link.decode(link.encode(heartbeat))).isEqualTo(heartbeat);
  }
}
