package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.TokenBucket;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.MalformedException;
import dunlincroft.transport.DeferredTask;
import dunlincroft.transport.Env;
import java.util.ArrayDeque;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the cloud API. Requests are queued and sent within this controller's share of the
 * published request rate; urgent ones, such as releases, are sent first.
 */
final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);

  private record Call(
      String method, String path, ObjectNode body, BiConsumer<Integer, ObjectNode> onResponse) {}

  private final Env env;
  private final String address;
  private final TokenBucket bucket;
  private final ArrayDeque<Call> queue = new ArrayDeque<>();
  private final DeferredTask sendTask;

  CloudClient(Env env, String address, double rps) {
    this.env = env;
    this.sendTask = new DeferredTask(env, this::sendQueued);
    this.address = address;
    this.bucket = new TokenBucket(rps, 1, env.nowMillis());
  }

  /** Sets this controller's share of the published request rate. */
  void setRate(double rps) {
    bucket.rate(rps * Constants.USABLE_RATE_FRACTION, env.nowMillis());
  }

  /**
   * Queues a request. {@code onResponse} gets the status and the parsed body; status 0 and a null
   * body mean that there was no valid response.
   */
  void call(
      boolean urgent,
      String method,
      String path,
      ObjectNode body,
      BiConsumer<Integer, ObjectNode> onResponse) {
    Call call = new Call(method, path, body, onResponse);
    if (urgent) {
      queue.addFirst(call);
    } else {
      queue.addLast(call);
    }
    sendTask.schedule(0);
  }

  private void sendQueued() {
    while (!queue.isEmpty()) {
      if (!bucket.has(1, env.nowMillis())) {
        sendTask.schedule(100);
        return;
      }
      bucket.consume(1, env.nowMillis());
      Call call = queue.poll();
      env.call(
          new Env.Call(
              address,
              call.method,
              call.path,
              call.body == null ? null : Cbor.bytes(call.body),
              Constants.CLOUD_CALL_TIMEOUT_MS),
          reply -> {
            ObjectNode body = null;
            int status = reply.status();
            if (reply.body().length > 0) {
              try {
                body = Cbor.parse(reply.body());
              } catch (MalformedException e) {
                LOG.info(
                    "cloud response with status {} to {} has a malformed body", status, call.path);
                status = 0;
              }
            }
            call.onResponse.accept(status, body);
          });
    }
  }
}
