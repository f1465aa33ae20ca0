package dunlincroft.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** One command to a worker. */
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

  /** The body that carries orders: the answer to a hello, and with a tenure a direct command. */
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
