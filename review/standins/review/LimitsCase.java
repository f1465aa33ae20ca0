package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state service lowers its limits to those that the settings announce: jobs that are accepted
 * afterwards must still start.
 */
public final class LimitsCase {
  /** No job is left waiting for this long while a machine has room and its team is under its limit. */
  private static final double WAITING_S = 90;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Deployment.Plan plan = new Deployment.Plan();
    plan.next =
        Net.map().put("rps", 90.0).put("write_rps", 24.0).put("value_kb", 2.0).put("txn_ops", 5);
    int code = 2;
    try (Deployment d = new Deployment(plan, Path.of(args[0]))) {
      code = run(d, trouble);
      d.record("exit " + code);
    }
    System.exit(code);
  }

  private static ObjectNode notes(int number) {
    return Deployment.job(
        "run-" + (100_000 + number), "contract-notes", "settlement-clerks", false, "normal", 25, 2,
        2.8, 3);
  }

  private static ObjectNode capture(int number) {
    return Deployment.job(
        "run-" + (200_000 + number), "order-capture", "dealing-desk", true, "prod", 2, 1, 1.8, 0);
  }

  private static int run(Deployment d, boolean trouble) {
    for (String zone : d.zones) {
      for (int i = 0; i < 3; i++) {
        d.cloud.startMachine(zone, false);
      }
    }
    d.nodes.forEach(d::start);
    if (!d.awaitReady(3, 30)) {
      d.record("the controllers did not become ready");
      return 2;
    }
    Net.sleep(2000);
    List<ObjectNode> before = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      before.add(notes(i));
      before.add(capture(i));
    }
    for (ObjectNode job : before) {
      if (!d.submit(job)) {
        d.record(job.path("ref").asText() + " was not accepted");
        return 2;
      }
    }
    Net.sleep(4000);
    if (trouble) {
      d.state.limit(2, 5, 24);
      d.record("the state service lowers its limits: values 2 KiB, 5 changes, 24 a second");
    }
    Map<String, ObjectNode> watched = new TreeMap<>();
    Map<String, Double> waitingSince = new TreeMap<>();
    for (int i = 8; i < 11; i++) {
      for (ObjectNode job : List.of(notes(i), capture(i))) {
        if (d.submit(job)) {
          watched.put(job.path("ref").asText(), job);
          waitingSince.put(job.path("ref").asText(), d.seconds());
        }
      }
    }
    if (watched.isEmpty()) {
      d.record("no job was accepted after the limits fell");
      return 2;
    }
    List<String> left = new ArrayList<>();
    double end = d.seconds() + WAITING_S + 1;
    while (d.seconds() < end && left.isEmpty() && !waitingSince.isEmpty()) {
      for (String ref : List.copyOf(waitingSince.keySet())) {
        check(d, watched.get(ref), waitingSince);
        if (waitingSince.containsKey(ref) && d.seconds() - waitingSince.get(ref) > WAITING_S) {
          left.add(ref);
        }
      }
      Net.sleep(1000);
    }
    for (String ref : watched.keySet()) {
      Net.Answer answer = d.user("GET", "/submissions/" + ref, null, 2000);
      d.record(ref + ": " + answer.status() + " " + answer.body());
    }
    d.record("answers of the state service: " + d.state.counts);
    d.record(
        left.isEmpty()
            ? "RULE HELD: every job has started"
            : "RULE BROKEN: left waiting for 90 s beside room: " + left);
    return left.isEmpty() ? 0 : 1;
  }

  /** Keeps a job's time of waiting: it ends with a start, and begins anew without room. */
  private static void check(Deployment d, ObjectNode job, Map<String, Double> waitingSince) {
    String ref = job.path("ref").asText();
    if (d.starts.keySet().stream().anyMatch(task -> task.startsWith(ref + "/"))) {
      waitingSince.remove(ref);
      d.record(ref + " has started");
      return;
    }
    double cpus = job.path("cpus").asDouble();
    String team = job.path("owner").asText();
    double used =
        d.placesNow().keySet().stream()
            .map(task -> d.specs.get(task.substring(0, task.lastIndexOf('/'))))
            .filter(spec -> spec.path("owner").asText().equals(team))
            .mapToDouble(spec -> spec.path("cpus").asDouble())
            .sum();
    double most =
        d.plan.teams.stream().filter(t -> t.name().equals(team)).findFirst().get().cpusMax();
    boolean hasRoom =
        d.workers.values().stream()
            .anyMatch(worker -> worker.hasRoom(cpus, job.path("ramGb").asDouble()));
    d.recordQuietly(ref + " waits; room " + hasRoom + ", team uses " + used + " of " + most);
    if (!hasRoom || used + cpus > most) {
      waitingSince.put(ref, d.seconds());
    }
  }
}
