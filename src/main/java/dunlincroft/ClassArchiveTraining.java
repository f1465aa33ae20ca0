package dunlincroft;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.coordination.Controller;
import dunlincroft.front.HttpApi;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.Env;
import dunlincroft.transport.HttpServer;
import dunlincroft.transport.NettyEnv;
import dunlincroft.transport.PeerLink;
import io.netty.channel.Channel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import picocli.CommandLine.Command;

/**
 * Training run for the class data sharing archive of the build: starts a controller on the loopback
 * interface and sends it a few requests, so that the classes which a start loads are archived. The
 * archive shortens start-up, during which the controller is down and its processor time is charged.
 */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Loads what a start loads, for the class archive of the build.")
final class ClassArchiveTraining implements Callable<Integer> {
  private static final long CALL_TIMEOUT_MS = 2000;

  private static final String SETTINGS =
      """
      {"node_name":"n","site":"a","listen":"127.0.0.1:1","back":"127.0.0.1:1","others":[],
       "endpoints":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},
       "deployment":{"zones":["a"],"teams":[],"objectives":[],
        "workers":{"report_s":3.0,"lease_s":20.0,"cancel_s":45.0},
        "state":{"rps":100.0,"write_rps":50.0,"value_kb":4.0,"txn_ops":8},
        "cloud":{"rps":2.0,"list_lag_s":5.0}}}
      """;

  @Override
  public Integer call() throws InterruptedException, MalformedException {
    Settings settings = Settings.parse(SETTINGS);
    NettyEnv env =
        new NettyEnv(SystemNanoClock.INSTANCE, SystemEpochClock.INSTANCE, settings.socketLimits());
    Controller controller = new Controller(settings, Policy.DEFAULT, env);
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Channel server = new HttpServer(env, new HttpApi(controller)).listen(anyPort);
    PeerLink link =
        new PeerLink(
            env,
            controller::peerHeartbeat,
            controller::onPeerHeartbeat,
            controller::onConnectionRefusal);
    Channel peerServer = link.start(anyPort, Map.of());
    link.start(anyPort, Map.of("n", (InetSocketAddress) peerServer.localAddress()));
    env.runLocked(controller::start);
    String address = "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    ObjectNode job =
        Cbor.map()
            .put("ref", "run-1")
            .put("jobclass", "c")
            .put("owner", "o")
            .put("shape", Wire.BATCH)
            .put("rank", "normal")
            .put("pieces", 1);
    ObjectNode report =
        Cbor.map()
            .put("host", "h")
            .put("endpoint", address)
            .put("flavour", "f")
            .put("hall", "a")
            .put("lendable", false)
            .put("tenure", 1)
            .put("counter", 1)
            .put("fence", 0);
    report.putArray("pieces");
    CountDownLatch answered = new CountDownLatch(4);
    env.runLocked(
        () -> {
          String jobPath = Wire.SUBMISSIONS + "/run-1";
          byte[] body = Cbor.bytes(job);
          env.call(
              new Env.Call(address, "GET", Wire.READY, null, CALL_TIMEOUT_MS),
              reply -> answered.countDown());
          env.call(
              new Env.Call(address, "GET", jobPath, null, CALL_TIMEOUT_MS),
              reply -> answered.countDown());
          env.call(
              new Env.Call(address, "POST", Wire.SUBMISSIONS, body, CALL_TIMEOUT_MS),
              reply -> answered.countDown());
          env.call(
              new Env.Call(
                  address, "POST", Wire.WORKER_HEARTBEAT, Cbor.bytes(report), CALL_TIMEOUT_MS),
              reply -> answered.countDown());
        });
    return answered.await(5 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS) ? 0 : 1;
  }
}
