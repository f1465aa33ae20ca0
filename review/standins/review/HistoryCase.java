package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All controllers of a deployment that has run for ten days crash and come back: jobs that they
 * accepted before must be answered for, and run.
 */
public final class HistoryCase {
  /** Jobs a minute at the site: 32 of portfolio-orders, 41 of valuation-run, 35 of fee-accrual. */
  private static final int JOBS_A_MINUTE = 108;

  private static final int DAYS = Integer.getInteger("days", 10);

  /** A job about which no question is answered for this long counts as forgotten. */
  private static final double FORGOTTEN_S = 75;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (Deployment d = new Deployment(plan(), Path.of(args[0]))) {
      code = run(d, trouble);
      d.record("exit " + code);
    }
    System.exit(code);
  }

  private static Deployment.Plan plan() {
    Deployment.Plan plan = new Deployment.Plan();
    plan.zones = List.of("aberdeen", "perth", "stirling");
    plan.teams =
        List.of(
            new Deployment.Team("adviser-desk", 3500, 8000),
            new Deployment.Team("statements-office", 5000, 18000),
            new Deployment.Team("integration-crew", 6000, 18000));
    plan.reportS = 5;
    plan.leaseS = 24;
    plan.cancelS = 54;
    plan.rps = 200;
    plan.writeRps = 80;
    plan.valueKb = 8;
    plan.txnOps = 24;
    plan.cloudRps = 4;
    plan.listLagS = 8;
    plan.memoryMb = 320;
    plan.maxSockets = 3000;
    plan.type = "tay-16";
    plan.typeCpus = 16;
    plan.typeRamGb = 128;
    plan.bootS = 35;
    return plan;
  }

  private static int run(Deployment d, boolean trouble) {
    int history = DAYS * 24 * 60 * JOBS_A_MINUTE;
    d.state.epoch = 3L * history; // What ten days have written before.
    for (String zone : d.zones) {
      d.cloud.startMachine(zone, false);
      d.cloud.startMachine(zone, false);
    }
    d.nodes.forEach(d::start);
    if (!d.awaitReady(3, 30)) {
      d.record("the controllers did not become ready");
      return 2;
    }
    List<String> refs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      boolean service = i == 0;
      String ref = String.format("run-%07d", history + i);
      ObjectNode job =
          service
              ? Deployment.job(ref, "portfolio-orders", "adviser-desk", true, "prod", 3, 4, 28, 0)
              : Deployment.job(
                  ref, "valuation-run", "statements-office", false, "normal", 8, 2, 13, 30);
      if (!d.submit(job)) {
        d.record(ref + " was not accepted");
        return 2;
      }
      refs.add(ref);
    }
    ObjectNode ended = Net.map().put("status", "done").put("done", 40);
    for (int i = 0; i < history; i++) {
      d.state.lay(String.format("d/jobs/run-%07d", i), ended, i + 1);
    }
    d.record("the state service holds the final states of " + history + " jobs of " + DAYS + " days");
    Net.sleep(3000);
    if (trouble) {
      d.nodes.forEach(d::kill);
      Net.sleep(8000);
      d.nodes.forEach(d::start);
    } else {
      Net.sleep(8000);
    }
    double from = d.seconds();
    d.record("troubles over");
    Map<String, Double> answeredAt = new TreeMap<>();
    Map<String, String> last = new TreeMap<>();
    while (d.seconds() - from < FORGOTTEN_S && answeredAt.size() < refs.size()) {
      for (String ref : refs) {
        Net.Answer answer = d.user("GET", "/submissions/" + ref, null, 2000);
        d.recordQuietly("poll " + ref + ": " + answer.status() + " " + answer.body());
        last.put(ref, answer.status() + " " + answer.body());
        if (answer.status() == 200) {
          answeredAt.putIfAbsent(ref, d.seconds() - from);
        }
      }
      Net.sleep(2000);
    }
    d.record("answered (seconds after the troubles): " + answeredAt);
    d.record("last answers: " + last);
    for (String node : d.nodes) {
      d.record(
          node
              + (d.processes.get(node).isAlive() ? " lives" : " has ended")
              + ", ready "
              + d.isReady(node)
              + ", requests to the state service "
              + d.state.counts.entrySet().stream()
                  .filter(e -> e.getKey().startsWith(node))
                  .toList());
    }
    List<String> forgotten = refs.stream().filter(ref -> !answeredAt.containsKey(ref)).toList();
    d.record(
        forgotten.isEmpty()
            ? "RULE HELD: every accepted job was answered for"
            : "RULE BROKEN: forgotten, no question answered for 75 s: " + forgotten);
    return forgotten.isEmpty() ? 0 : 1;
  }
}
