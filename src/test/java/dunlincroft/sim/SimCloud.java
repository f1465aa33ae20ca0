package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Resources;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A stand-in for the cloud: rents machines whose workers boot, lists them, takes them back. */
final class SimCloud {
  private final SimCluster cluster;
  final TreeMap<String, SimWorker> machines = new TreeMap<>();
  private final Map<String, Long> rentedAt = new HashMap<>();
  private final Map<String, ObjectNode> hires = new HashMap<>();
  private int next;
  int most = 14;

  /** Zones that have no machines to rent. */
  final Set<String> refused = new HashSet<>();

  /** Machines that stopped on their own. */
  final Set<String> failed = new HashSet<>();

  /** What the list of types says that a machine has. */
  double listedCpus = SimCluster.CPUS;

  /** Time until a rental is answered; the machines are there before. */
  long answerMs;

  /** Answers with machines to a controller that did not lead any more. */
  int answeredToDeposed;

  /** Machines released so far. */
  int released;

  /** What a rented machine takes to boot; one in ten never comes up while this is long. */
  long bootMs = 2000;

  /** Tasks that their machines' release has cost so far. */
  long tasksReleased;

  SimCloud(SimCluster cluster) {
    this.cluster = cluster;
  }

  SimWorker rent(String hall, boolean cheap) {
    String host = String.format("host-%06d", next++);
    boolean never = bootMs > 10_000 && cluster.random.nextInt(10) == 0;
    SimWorker worker =
        new SimWorker(cluster, host, hall, cheap, Resources.roundedDown(SimCluster.CPUS, 0, 64));
    if (!never) {
      cluster.clock.after(bootMs, worker::start);
    }
    machines.put(host, worker);
    cluster.rented(worker);
    rentedAt.put(host, cluster.clock.now());
    return worker;
  }

  /** Machines rented so far. */
  int hired() {
    return rentedAt.size();
  }

  /** Machines on which no task ever began, though they were rented. */
  int unused() {
    return rentedAt.size() - used.size();
  }

  /** Machines on which a task began. */
  final Set<String> used = new HashSet<>();

  void handle(String method, String uri, ObjectNode body, SimNet.Answer out) {
    if (uri.equals("/machine_types")) {
      ObjectNode answer = Cbor.map();
      ObjectNode type = answer.putArray("flavours").addObject().put("label", SimCluster.TYPE);
      type.put("cpus", listedCpus).put("gpus", 0).put("ramGb", 64.0);
      type.put("price", 1.5).put("lowPrice", 0.5).put("startupS", 2.0);
      SimCluster.ZONES.forEach(type.putArray("halls")::add);
      out.send(200, answer);
    } else if (uri.equals("/machines/release")) {
      for (JsonNode host : body.path("hosts")) {
        SimWorker worker = machines.remove(host.asText());
        if (worker != null) {
          released++;
          tasksReleased += worker.tasks.values().stream().filter(SimWorker.Task::on).count();
          worker.die();
        }
      }
      out.send(200, Cbor.map());
    } else if (method.equals("POST") && refused.contains(body.path("hall").asText())) {
      out.send(503, Cbor.map().put("error", "no capacity"));
    } else if (method.equals("POST")) {
      ObjectNode answer = hire(body);
      cluster.clock.after(
          answerMs,
          () -> {
            answered(body.path("hire").asText(), answer);
            out.send(200, answer);
          });
    } else {
      ObjectNode answer = Cbor.map().put("hasNext", false);
      ArrayNode hosts = answer.putArray("hosts");
      machines.forEach(
          (host, worker) ->
              hosts
                  .addObject()
                  .put("ref", host)
                  .put("endpoint", worker.address)
                  .put("flavour", SimCluster.TYPE)
                  .put("hall", worker.hall)
                  .put("lendable", worker.cheap)
                  .put("status", failed.contains(host) ? "failed" : "running")
                  .put("heldS", (cluster.clock.now() - rentedAt.get(host)) / 1000.0));
      out.send(200, answer);
    }
  }

  /** A name of a rental begins with that of the controller that gave it. */
  private void answered(String hire, ObjectNode answer) {
    JsonNode leader = cluster.state.under("d/leader/").get("one");
    boolean leads = leader != null && hire.startsWith(leader.path("name").asText() + "-");
    answeredToDeposed += leads || answer.path("hosts").isEmpty() ? 0 : 1;
  }

  private ObjectNode hire(ObjectNode body) {
    return hires.computeIfAbsent(
        body.path("hire").asText(),
        name -> {
          ObjectNode answer = Cbor.map();
          ArrayNode hosts = answer.putArray("hosts");
          int number = Math.min(body.path("number").asInt(), most - machines.size());
          for (int i = 0; i < number; i++) {
            hosts.add(rent(body.path("hall").asText(), body.path("lendable").asBoolean()).host);
          }
          return answer;
        });
  }
}
