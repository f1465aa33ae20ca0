package review;

import java.nio.file.Path;

public final class Smoke {
  static Deployment.Plan plan() {
    Deployment.Plan p = new Deployment.Plan();
    p.rps = Double.parseDouble(System.getProperty("rps", "90"));
    return p;
  }

  public static void main(String[] args) throws Exception {
    int history = Integer.parseInt(args.length > 0 ? args[0] : "0");
    try (Deployment d = new Deployment(plan(), Path.of("/tmp/smoke.txt"))) {
      var ended = Net.map().put("status", "done").put("done", 1);
      for (int i = 0; i < history; i++) {
        d.state.put(String.format("d/jobs/run-%07d", i), ended);
      }
      for (String zone : d.zones) {
        d.cloud.startMachine(zone, false);
        d.cloud.startMachine(zone, false);
      }
      d.nodes.forEach(d::start);
      d.record("ready: " + d.awaitReady(3, 90));
      d.record("counts " + d.state.counts);
      for (int i = 0; i < 5; i++) {
        d.submit(Deployment.job("run-n" + i, "contract-notes", "settlement-clerks", false, "normal", 10, 2, 2.8, 5));
      }
      d.submit(Deployment.job("run-s1", "order-capture", "dealing-desk", true, "prod", 3, 1, 1.8, 0));
      Net.sleep(15000);
      for (int i = 0; i < 5; i++) {
        Net.Answer a = d.user("GET", "/submissions/run-n" + i, null, 2000);
        d.record("poll " + i + " " + a);
      }
      d.record("" + d.user("GET", "/submissions/run-s1", null, 2000));
      for (String n : d.nodes) {
        d.record(n + " alive " + d.processes.get(n).isAlive() + " errors " + d.log(n, "OutOfMemory"));
      }
      d.record("counts " + d.state.counts);
    }
    System.exit(0);
  }
}
