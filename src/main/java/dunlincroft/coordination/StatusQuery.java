package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.transport.Env;
import dunlincroft.transport.Env.Reply;
import java.util.function.Consumer;

/** Asks a worker for its status, past the order in which its heartbeats arrive. */
final class StatusQuery {
  /** What came back from the address at which the worker of a host was asked. */
  record Answer(String host, Reply reply) {
    /** Whether anybody answered, if only with a body that names another host. */
    boolean hasArrived() {
      return reply.status() == 200;
    }

    /** Whether the worker of the host itself answered. */
    boolean isFromHost() {
      return WorkerReport.answers(host, reply.status(), reply.body());
    }
  }

  private StatusQuery() {}

  /** Asks once; {@code then} gets the answer, also when there is none. */
  static void query(Env env, String host, String endpoint, Consumer<Answer> onAnswer) {
    env.call(
        new Env.Call(endpoint, "GET", Wire.STATUS, null, Constants.WORKER_CALL_MS),
        reply -> onAnswer.accept(new Answer(host, reply)));
  }
}
