package dunlincroft;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Resources;
import dunlincroft.transport.Addresses;
import dunlincroft.transport.NettyEnv;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The validated settings file of the platform. Unknown fields of the file are ignored. */
public record Settings(
    String nodeName,
    String zone,
    InetSocketAddress listenAddress,
    InetSocketAddress peerListenAddress,
    List<Peer> peers,
    String cloudEndpoint,
    String stateEndpoint,
    Map<String, Team> teams,
    List<Objective> objectives,
    double reportIntervalS,
    double workerLeaseS,
    double maxCancellationS,
    double stateRps,
    double stateWriteRps,
    double nextStateRps,
    double nextStateWriteRps,
    double maxValueKib,
    int maxTxnOps,
    double cloudRps,
    double machineListLagS,
    double memoryMb,
    int maxSockets,
    double maxClockOffsetMs) {

  /** Another controller; its zone is empty if the settings do not specify it. */
  public record Peer(String nodeName, String zone, InetSocketAddress address) {}

  /** A team's guarantee and limit. */
  public record Team(String name, Resources guarantee, Resources limit) {}

  private static final double NO_LIMIT = 1e9;

  /**
   * Weight of a team among teams that together ask for more than there is: its part of all
   * guaranteed cpus, and at least {@link Constants#MIN_TEAM_WEIGHT}. All teams have the same weight
   * if none has a guarantee.
   */
  public double weight(String team) {
    double guaranteedCpu =
        teams.values().stream().mapToDouble(each -> each.guarantee().cpu()).sum();
    Team teamSettings = teams.get(team);
    double teamCpu = teamSettings == null ? 0 : teamSettings.guarantee().cpu();
    return guaranteedCpu == 0 ? 1 : Math.max(teamCpu / guaranteedCpu, Constants.MIN_TEAM_WEIGHT);
  }

  /** Parses and validates a settings file; an error message names the field at fault. */
  public static Settings parse(String json) throws MalformedException {
    JsonNode root;
    try {
      root = new ObjectMapper().readTree(json);
    } catch (JsonProcessingException e) {
      throw new MalformedException(
          "malformed JSON at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr());
    }
    JsonNode endpoints = object(root, "", "endpoints");
    JsonNode deployment = object(root, "", "deployment");
    JsonNode workers = object(deployment, "deployment.", "workers");
    JsonNode state = object(deployment, "deployment.", "state");
    JsonNode cloud = object(deployment, "deployment.", "cloud");
    List<Peer> peers = new ArrayList<>();
    for (JsonNode peer : withPath("", () -> Fields.list(root, "others"))) {
      peers.add(
          new Peer(
              withPath("others.", () -> Fields.text(peer, "node_name")),
              peer.path("site").asText(),
              address(peer, "others.", "address")));
    }
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonNode team : withPath("deployment.", () -> Fields.list(deployment, "teams"))) {
      withPath(
          "deployment.teams.",
          () -> {
            String name = Fields.text(team, "name");
            Resources guarantee =
                Resources.roundedDown(
                    Fields.amountOr(team, "cpus", 0), Fields.amountOr(team, "gpus", 0), NO_LIMIT);
            Resources limit =
                Resources.roundedDown(
                    limitOrNone(team, "cpus_max"), limitOrNone(team, "gpus_max"), NO_LIMIT);
            return teams.put(name, new Team(name, guarantee, limit));
          });
    }
    return new Settings(
        withPath("", () -> Fields.text(root, "node_name")),
        withPath("", () -> Fields.text(root, "site")),
        address(root, "", "listen"),
        address(root, "", "back"),
        peers,
        hostAndPort(address(endpoints, "endpoints.", "cloud")),
        hostAndPort(address(endpoints, "endpoints.", "state")),
        teams,
        withPath("deployment.objectives.", () -> objectives(deployment)),
        positive(workers, "deployment.workers.", "report_s"),
        positive(workers, "deployment.workers.", "lease_s"),
        positive(workers, "deployment.workers.", "cancel_s"),
        positive(state, "deployment.state.", "rps"),
        positive(state, "deployment.state.", "write_rps"),
        lowestLimit(state, "rps"),
        lowestLimit(state, "write_rps"),
        lowestLimit(state, "value_kb"),
        maxTxnOps(state),
        positive(cloud, "deployment.cloud.", "rps"),
        positive(cloud, "deployment.cloud.", "list_lag_s"),
        machineLimit(deployment, "memory_mb", Constants.DEFAULT_MEMORY_MB),
        (int) machineLimit(deployment, "max_sockets", Constants.DEFAULT_MAX_SOCKETS),
        withPath(
            "deployment.",
            () -> Fields.amountOr(deployment, "clock_off_ms", Constants.DEFAULT_CLOCK_OFFSET_MS)));
  }

  /**
   * The lower of a present limit of the state service and of the one announced under {@code next},
   * which may come into force at any time without notice.
   */
  private static double lowestLimit(JsonNode state, String field) throws MalformedException {
    double present = positive(state, "deployment.state.", field);
    JsonNode next = state.path("next");
    return Fields.isAbsent(next, field)
        ? present
        : Math.min(present, positive(next, "deployment.state.next.", field));
  }

  /** The end of a job must fit into one transaction: otherwise it would be retried forever. */
  private static int maxTxnOps(JsonNode state) throws MalformedException {
    double ops = lowestLimit(state, "txn_ops");
    if (ops < Constants.JOB_END_OPS) {
      throw new MalformedException(
          "deployment.state.txn_ops must be at least " + Constants.JOB_END_OPS);
    }
    return (int) ops;
  }

  private static double machineLimit(JsonNode deployment, String field, double defaultValue)
      throws MalformedException {
    if (Fields.isAbsent(deployment, "machine_limits")) {
      return defaultValue;
    }
    JsonNode limits = object(deployment, "deployment.", "machine_limits");
    return Fields.isAbsent(limits, field)
        ? defaultValue
        : positive(limits, "deployment.machine_limits.", field);
  }

  /** Reads a limit; 0 means that there is none. */
  private static double limitOrNone(JsonNode team, String field) throws MalformedException {
    double limit = Fields.amountOr(team, field, 0);
    return limit == 0 ? NO_LIMIT : limit;
  }

  /** The operators' target for a job class: seconds within which all tasks of a job finish. */
  public record Objective(String jobclass, double completeWithinS) {}

  private static List<Objective> objectives(JsonNode deployment) throws MalformedException {
    List<Objective> objectives = new ArrayList<>();
    if (!Fields.isAbsent(deployment, "objectives")) {
      for (JsonNode objective : Fields.list(deployment, "objectives")) {
        if ("finished".equals(Fields.text(objective, "kind"))) {
          objectives.add(
              new Objective(Fields.text(objective, "class"), Fields.amount(objective, "within_s")));
        }
      }
    }
    return objectives;
  }

  private interface FieldReader<T> {
    T get() throws MalformedException;
  }

  /** Puts the path of the enclosing object before the field named in an error message. */
  private static <T> T withPath(String path, FieldReader<T> reader) throws MalformedException {
    try {
      return reader.get();
    } catch (MalformedException e) {
      throw new MalformedException(path + e.getMessage());
    }
  }

  private static JsonNode object(JsonNode parent, String path, String field)
      throws MalformedException {
    JsonNode node = parent == null ? null : parent.get(field);
    if (node == null || !node.isObject()) {
      throw new MalformedException(path + field + " must be a map");
    }
    return node;
  }

  private static InetSocketAddress address(JsonNode container, String path, String field)
      throws MalformedException {
    String text = withPath(path, () -> Fields.text(container, field));
    try {
      return Addresses.parse(text);
    } catch (IllegalArgumentException e) {
      throw new MalformedException(path + field + " is " + e.getMessage());
    }
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static double positive(JsonNode container, String path, String field)
      throws MalformedException {
    double value = withPath(path, () -> Fields.amount(container, field));
    if (value <= 0) {
      throw new MalformedException(path + field + " must be above 0");
    }
    return value;
  }

  /** Limit on the connections of the process, and the addresses that are always connected to. */
  public NettyEnv.SocketLimits socketLimits() {
    return new NettyEnv.SocketLimits(
        maxSockets,
        reportIntervalS * Constants.MAX_REPORT_INTERVAL_FACTOR,
        Set.copyOf(List.of(stateEndpoint, cloudEndpoint)));
  }

  /** Maximum size of one slot of a shard's log, counted in characters of its JSON text. */
  public int logSlotBytes() {
    return Math.min(Constants.MAX_LOG_SLOT_BYTES, (int) (maxValueKib * 1024 * 0.95) - 16);
  }

  /** Number of slots of a shard's log that are in use before pages are written. */
  public int logSlots() {
    return Math.max(2, (int) (memoryMb * Constants.SHARD_LOG_BYTES_PER_MB) / logSlotBytes());
  }

  /** Number of tasks in a log entry that fits into a slot even with the longest job id. */
  public static int maxTasksPerLogEntry(int slotBytes) {
    return Math.max(1, (slotBytes - 250) / Constants.MAX_PAGE_ENTRY_BYTES);
  }

  /** Largest size of a value in the state service, in characters of its JSON text. */
  public int maxValueBytes() {
    return (int) (maxValueKib * Constants.BYTES_PER_KIB);
  }

  /**
   * Number of machines in a block such that its record fits into a value, and at most the machines
   * of one rental.
   */
  public int machinesPerBlock() {
    int fitting = (int) (maxValueKib * 1024 / Constants.MAX_BLOCK_ENTRY_BYTES) - 4;
    return Math.max(1, Math.min(Constants.MAX_RENTAL_MACHINES, fitting));
  }

  /**
   * Number of tasks in a page of a job's record such that the page always fits into a value,
   * whatever its entries are.
   */
  public int tasksPerPage() {
    return Math.max(1, (int) (maxValueKib * 1024 / Constants.MAX_PAGE_ENTRY_BYTES));
  }
}
