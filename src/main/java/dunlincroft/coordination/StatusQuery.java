package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.transport.Env;
import dunlincroft.transport.Env.Reply;
import java.util.function.Consumer;

/**
 * Queries a worker for its status directly, independently of the order in which its heartbeats
 * arrive.
 */
final class StatusQuery {
  /** The response from the endpoint at which the worker of a host was queried. */
  record Answer(String host, Reply reply) {
    /** Whether there was a successful response, even if its body names another host. */
    boolean hasArrived() {
      return reply.status() == 200;
    }

    /** Whether the worker of the host itself answered. */
    boolean isFromHost() {
      return WorkerReport.isAnswerOf(host, reply.status(), reply.body());
    }
  }

  private StatusQuery() {}

  /** Sends one query; {@code onAnswer} gets the outcome, also when there is no response. */
  static void query(Env env, String host, String endpoint, Consumer<Answer> onAnswer) {
    env.call(
        new Env.Call(endpoint, "GET", Wire.STATUS, null, Constants.WORKER_CALL_TIMEOUT_MS),
        reply -> onAnswer.accept(new Answer(host, reply)));
  }
}
