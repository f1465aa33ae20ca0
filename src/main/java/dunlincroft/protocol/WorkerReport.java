package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A worker's report, as it comes by /hello and in answers of /commands and /status. */
public record WorkerReport(
    String host,
    String endpoint,
    String machineType,
    String zone,
    boolean preemptible,
    long sessionNumber,
    long counter,
    long fence,
    double reclaimNoticeS,
    List<TaskReport> tasks) {

  /** No notice from the cloud. */
  public static final double NO_RECLAIM_NOTICE = -1;

  /** One task on the machine; {@code job} and {@code task} are taken from its id. */
  public record TaskReport(
      String id,
      String job,
      int task,
      long attempt,
      String status,
      String cause,
      boolean isStateSaved) {
    public boolean hasExited() {
      return status.equals(Wire.EXITED);
    }
  }

  /** Whether an answer of a worker to a question is that of a machine. */
  public static boolean isAnswerOf(String host, int status, byte[] body) {
    try {
      return status == 200 && Fields.text(Cbor.parse(body), "host").equals(host);
    } catch (MalformedException e) {
      return false;
    }
  }

  /** Whether this report was made after another one of the same worker. */
  public boolean isNewerThan(long otherSessionNumber, long otherCounter) {
    return sessionNumber > otherSessionNumber
        || (sessionNumber == otherSessionNumber && counter > otherCounter);
  }

  public static WorkerReport parse(JsonNode map) throws MalformedException {
    List<TaskReport> tasks = new ArrayList<>();
    for (JsonNode item : Fields.list(map, "pieces")) {
      String id = Fields.text(item, "piece");
      int slash = id.lastIndexOf('/');
      int task;
      try {
        task = Integer.parseInt(id.substring(slash + 1));
      } catch (NumberFormatException e) {
        throw new MalformedException("piece must have the form run-000412/3");
      }
      tasks.add(
          new TaskReport(
              id,
              id.substring(0, Math.max(slash, 0)),
              task,
              Fields.count(item, "try"),
              Fields.text(item, "status"),
              Fields.textOrNull(item, "cause"),
              !Fields.isAbsent(item, "stored") && Fields.flag(item, "stored")));
    }
    return new WorkerReport(
        Fields.text(map, "host"),
        Fields.text(map, "endpoint"),
        Fields.text(map, "flavour"),
        Fields.text(map, "hall"),
        Fields.flag(map, "lendable"),
        Fields.count(map, "tenure"),
        Fields.count(map, "counter"),
        Fields.count(map, "fence"),
        Fields.amountOr(map, "warningS", NO_RECLAIM_NOTICE),
        tasks);
  }
}
