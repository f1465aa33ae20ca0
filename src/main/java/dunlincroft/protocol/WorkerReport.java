package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report: the body of its heartbeats ({@code /hello}) and of its answers to {@code
 * /commands} and {@code /status}.
 *
 * @param machineType {@code flavour} on the wire
 * @param zone {@code hall} on the wire
 * @param preemptible {@code lendable} on the wire
 * @param sessionNumber rises whenever the worker starts a new session; {@code tenure} on the wire
 * @param counter number of the report within the session
 * @param fence the highest fence token that the worker has seen
 * @param reclaimNoticeS seconds until the cloud provider reclaims the machine, or {@link
 *     #NO_RECLAIM_NOTICE}; {@code warningS} on the wire
 * @param tasks {@code pieces} on the wire
 */
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

  /** The cloud provider has not announced to reclaim the machine. */
  public static final double NO_RECLAIM_NOTICE = -1;

  /**
   * State of one task on the machine.
   *
   * @param id {@code piece} on the wire; {@code job} and {@code task} are parsed from it
   * @param attempt {@code try} on the wire
   * @param cause why the task has ended, or null
   * @param isStateSaved {@code stored} on the wire
   */
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

  /** Whether a worker's answer to a query is valid and comes from the given machine. */
  public static boolean isAnswerOf(String host, int status, byte[] body) {
    try {
      return status == 200 && Fields.text(Cbor.parse(body), "host").equals(host);
    } catch (MalformedException e) {
      return false;
    }
  }

  /** Whether this report is newer than another one of the same worker. */
  public boolean isNewerThan(long otherSessionNumber, long otherCounter) {
    return sessionNumber > otherSessionNumber
        || (sessionNumber == otherSessionNumber && counter > otherCounter);
  }

  private static int taskNumber(String text) throws MalformedException {
    int number;
    try {
      number = Integer.parseInt(text);
    } catch (NumberFormatException e) {
      number = -1;
    }
    if (number < 0) {
      throw new MalformedException("piece must have the form run-000412/3");
    }
    return number;
  }

  public static WorkerReport parse(JsonNode map) throws MalformedException {
    List<TaskReport> tasks = new ArrayList<>();
    for (JsonNode item : Fields.list(map, "pieces")) {
      String id = Fields.text(item, "piece");
      int slash = id.lastIndexOf('/');
      int task = taskNumber(id.substring(slash + 1));
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
