package review;

import com.fasterxml.jackson.databind.node.*;
import java.nio.file.Path;

public final class Smoke2 {
  public static void main(String[] args) throws Exception {
    double mb = Double.parseDouble(args[0]);
    try (Deployment d = new Deployment(new Deployment.Plan(), Path.of("/tmp/smoke2-" + args[0] + ".txt"))) {
      for (String zone : d.zones) {
        d.cloud.startMachine(zone, false);
      }
      d.nodes.forEach(d::start);
      d.record("ready: " + d.awaitReady(3, 90));
      Net.sleep(3000);
      d.state.refused.add("croft-2");
      ArrayNode log = Net.map().putArray("log");
      for (int i = 0; i < 90; i++) {
        ObjectNode e = log.addObject().put("n", 1000000 + i).put("job", "run-zz" + i);
        e.putArray("done").add(0).add(5);
        e.putArray("at").addArray().add("host-000231").add(123456789012L).add(3).add(4).add(7);
      }
      ObjectNode slot = Net.map();
      slot.set("log", log);
      int size = Net.bytes(slot).length;
      d.record("slot " + size + " json " + slot.toString().length());
      int n = (int) (mb * 1e6 / size);
      for (int i = 0; i < n; i++) {
        d.state.put("d/logs/croft-1/" + (i % 5), slot);
        Net.sleep(2);
      }
      d.record("written " + n);
      Net.sleep(5000);
      d.state.refused.remove("croft-2");
      for (int i = 0; i < 10; i++) {
        Net.sleep(2000);
        d.record("ready croft-2 " + d.isReady("croft-2") + " croft-0 " + d.isReady("croft-0"));
      }
      d.record("counts " + d.state.counts);
    }
    System.exit(0);
  }
}
