package dunlincroft.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * An order to a worker: to run a task, to stop it, or to discard an ended one from its reports.
 *
 * @param verb {@link Wire#RUN}, {@link Wire#KILL} or {@link Wire#DISCARD}
 * @param taskId {@code piece} on the wire
 * @param attempt number of the attempt to run the task; {@code try} on the wire
 * @param graceS with {@link Wire#KILL}, time that the task has to save its state; {@code windDownS}
 *     on the wire
 */
public record WorkerOrder(String verb, String taskId, long attempt, double graceS) {
  public static WorkerOrder run(String taskId, long attempt) {
    return new WorkerOrder(Wire.RUN, taskId, attempt, 0);
  }

  public static WorkerOrder kill(String taskId, long attempt, double graceS) {
    return new WorkerOrder(Wire.KILL, taskId, attempt, graceS);
  }

  public static WorkerOrder discard(String taskId, long attempt) {
    return new WorkerOrder(Wire.DISCARD, taskId, attempt, 0);
  }

  public boolean isRun() {
    return verb.equals(Wire.RUN);
  }

  public boolean isDiscard() {
    return verb.equals(Wire.DISCARD);
  }

  /**
   * A message body with orders: the answer to a worker heartbeat. A direct command has the worker's
   * session number in addition, {@code tenure} on the wire.
   */
  public static ObjectNode body(long fence, List<WorkerOrder> orders) {
    ObjectNode map = Cbor.map().put("fence", fence);
    ArrayNode list = map.putArray("orders");
    for (WorkerOrder order : orders) {
      ObjectNode item = list.addObject();
      item.put("verb", order.verb).put("piece", order.taskId).put("try", order.attempt);
      if (order.verb.equals(Wire.KILL)) {
        item.put("windDownS", order.graceS);
      }
    }
    return map;
  }
}
