package review;
import java.nio.file.Path;
public final class Big {
  public static void main(String[] a) throws Exception {
    int pieces = Integer.parseInt(a[0]); double run = Double.parseDouble(a[1]); double cpus = Double.parseDouble(a[2]); int jobs = Integer.parseInt(a[3]); double cut = Double.parseDouble(a[4]);
    Deployment.Plan p = new Deployment.Plan();
    try (Deployment d = new Deployment(p, Path.of("/tmp/big-" + pieces + ".txt"))) {
      for (String z : d.zones) for (int i = 0; i < 16; i++) d.cloud.startMachine(z, false);
      d.nodes.forEach(d::start);
      d.record("ready " + d.awaitReady(3, 30));
      for (int i = 0; i < jobs; i++) d.submit(Deployment.job("run-00000" + i, "ledger-backfill", i % 2 == 0 ? "migration-squad" : "compliance", false, "normal", pieces, cpus, 0.5, run));
      Net.sleep(5000);
      String n = "croft-2";
      for (String k : d.nodes) if (!d.log(k, "held with stamp").isEmpty()) d.record("owner " + k + " " + d.log(k, "held with stamp"));
      if (cut > 0) { d.state.refused.add(n); d.record("refused " + n); }
      long w = d.state.written; long e = d.state.epoch;
      for (int t = 0; t < 9; t++) {
        Net.sleep(5000);
        d.record("bytes/s " + (d.state.written - w) / 5 + " epochs/s " + (d.state.epoch - e) / 5 + " finished " + d.finished.size() + " on " + d.placesNow().size() + " " + d.user("GET", "/submissions/run-000000", null, 2000).body());
        w = d.state.written; e = d.state.epoch;
      }
      d.state.refused.remove(n);
      for (int t = 0; t < 6; t++) { Net.sleep(3000); String r = ""; for (String k : d.nodes) r += " " + d.isReady(k); d.record("ready" + r + " finished " + d.finished.size()); }
      d.record("counts " + d.state.counts);
      d.record("exceptions " + d.log("croft-0", "xception") + d.log("croft-1", "xception") + d.log("croft-2", "xception"));
    }
    System.exit(0);
  }
}
