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

/** Simulates the cloud: rents machines whose workers boot, lists them, and releases them. */
final class SimCloud {
  private final SimCluster cluster;
  final TreeMap<String, SimWorker> machines = new TreeMap<>();
  private final Map<String, Long> rentedAt = new HashMap<>();
  private final Map<String, ObjectNode> rentals = new HashMap<>();
  private int nextHostNumber;
  int maxMachines = 14;

  /** Zones in which no machines can be rented. */
  final Set<String> zonesWithoutCapacity = new HashSet<>();

  /** Machines listed as failed. */
  final Set<String> failedHosts = new HashSet<>();

  /** CPUs of a machine according to the list of machine types. */
  double listedCpus = SimCluster.CPUS_PER_MACHINE;

  /** Delay of the answer to a rental; the machines exist before it is sent. */
  long answerDelayMs;

  /**
   * Rentals with machines that were answered when the controller that asked for them was no longer
   * the leader.
   */
  int rentalsForDeposedLeaders;

  /** Machines released so far. */
  int releasedMachines;

  /** Boot time of a rented machine. While it exceeds 10 s, one machine in ten never comes up. */
  long bootMs = 2000;

  /** Tasks that were lost because their machines were released. */
  long tasksLostToRelease;

  SimCloud(SimCluster cluster) {
    this.cluster = cluster;
  }

  SimWorker rent(String zone, boolean spot) {
    String host = String.format("host-%06d", nextHostNumber++);
    boolean neverBoots = bootMs > 10_000 && cluster.random.nextInt(10) == 0;
    SimWorker worker =
        new SimWorker(
            cluster, host, zone, spot, Resources.roundedDown(SimCluster.CPUS_PER_MACHINE, 0, 64));
    if (!neverBoots) {
      cluster.clock.after(bootMs, worker::start);
    }
    machines.put(host, worker);
    cluster.onMachineRented(worker);
    rentedAt.put(host, cluster.clock.now());
    return worker;
  }

  /** Number of machines rented so far. */
  int rentedMachines() {
    return rentedAt.size();
  }

  /** Number of rented machines on which no task was ever started. */
  int unusedMachines() {
    return rentedAt.size() - usedHosts.size();
  }

  /** Machines on which a task was started. */
  final Set<String> usedHosts = new HashSet<>();

  void handle(String method, String uri, ObjectNode body, SimNet.Responder responder) {
    if (uri.equals("/machine_types")) {
      ObjectNode answer = Cbor.map();
      ObjectNode type =
          answer.putArray("flavours").addObject().put("label", SimCluster.MACHINE_TYPE);
      type.put("cpus", listedCpus).put("gpus", 0).put("ramGb", 64.0);
      type.put("price", 1.5).put("lowPrice", 0.5).put("startupS", 2.0);
      SimCluster.ZONES.forEach(type.putArray("halls")::add);
      responder.send(200, answer);
    } else if (uri.equals("/machines/release")) {
      for (JsonNode host : body.path("hosts")) {
        SimWorker worker = machines.remove(host.asText());
        if (worker != null) {
          releasedMachines++;
          tasksLostToRelease +=
              worker.tasks.values().stream().filter(SimWorker.Task::isActive).count();
          worker.terminate();
        }
      }
      responder.send(200, Cbor.map());
    } else if (method.equals("POST") && zonesWithoutCapacity.contains(body.path("hall").asText())) {
      responder.send(503, Cbor.map().put("error", "no capacity"));
    } else if (method.equals("POST")) {
      ObjectNode answer = rentOnce(body);
      cluster.clock.after(
          answerDelayMs,
          () -> {
            onRentalAnswered(body.path("hire").asText(), answer);
            responder.send(200, answer);
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
                  .put("flavour", SimCluster.MACHINE_TYPE)
                  .put("hall", worker.zone)
                  .put("lendable", worker.spot)
                  .put("status", failedHosts.contains(host) ? "failed" : "running")
                  .put("heldS", (cluster.clock.now() - rentedAt.get(host)) / 1000.0));
      responder.send(200, answer);
    }
  }

  /**
   * Counts rentals whose controller was deposed before the answer. The name of a rental begins with
   * that of the controller that chose it.
   */
  private void onRentalAnswered(String rentalName, ObjectNode answer) {
    JsonNode leader = cluster.state.dataUnder("d/leader/").get("one");
    boolean leads = leader != null && rentalName.startsWith(leader.path("name").asText() + "-");
    rentalsForDeposedLeaders += leads || answer.path("hosts").isEmpty() ? 0 : 1;
  }

  private ObjectNode rentOnce(ObjectNode body) {
    return rentals.computeIfAbsent(
        body.path("hire").asText(),
        name -> {
          ObjectNode answer = Cbor.map();
          ArrayNode hosts = answer.putArray("hosts");
          int number = Math.min(body.path("number").asInt(), maxMachines - machines.size());
          for (int i = 0; i < number; i++) {
            hosts.add(rent(body.path("hall").asText(), body.path("lendable").asBoolean()).host);
          }
          return answer;
        });
  }
}
