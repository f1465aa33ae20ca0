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

/** The platform's settings file, checked. Unknown fields are ignored. */
public record Settings(
    String node,
    String site,
    InetSocketAddress listen,
    InetSocketAddress back,
    List<Peer> others,
    String cloud,
    String state,
    Map<String, Team> teams,
    List<Hope> hopes,
    double reportS,
    double leaseS,
    double cancelS,
    double stateRps,
    double stateWriteRps,
    double valueKb,
    int txnOps,
    double cloudRps,
    double listLagS,
    double memoryMb,
    int sockets,
    double clockOffMs) {

  /** Another controller; its zone is empty where the settings do not tell. */
  public record Peer(String node, String site, InetSocketAddress address) {}

  /** A team's guarantee and limit. */
  public record Team(String name, Resources guarantee, Resources limit) {}

  private static final double NO_LIMIT = 1e9;

  /**
   * What a team gets beside others that want more than there is: its guaranteed processors, and
   * without a guarantee, or where nobody has one, a small part of all.
   */
  public double weight(String team) {
    double all = teams.values().stream().mapToDouble(each -> each.guarantee().cpu()).sum();
    Team mine = teams.get(team);
    double own = mine == null ? 0 : mine.guarantee().cpu();
    return all == 0 ? 1 : Math.max(own / all, Constants.GUEST_WEIGHT);
  }

  public static Settings parse(String json) throws MalformedException {
    JsonNode root;
    try {
      root = new ObjectMapper().readTree(json);
    } catch (JsonProcessingException e) {
      throw new MalformedException(
          "not JSON at line "
              + e.getLocation().getLineNr()
              + ", column "
              + e.getLocation().getColumnNr());
    }
    JsonNode endpoints = map(root, "", "endpoints");
    JsonNode deployment = map(root, "", "deployment");
    JsonNode workers = map(deployment, "deployment.", "workers");
    JsonNode state = map(deployment, "deployment.", "state");
    JsonNode cloud = map(deployment, "deployment.", "cloud");
    List<Peer> others = new ArrayList<>();
    for (JsonNode other : in("", () -> Fields.list(root, "others"))) {
      others.add(
          new Peer(
              in("others.", () -> Fields.text(other, "node_name")),
              other.path("site").asText(),
              address(other, "others.", "address")));
    }
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonNode team : in("deployment.", () -> Fields.list(deployment, "teams"))) {
      in(
          "deployment.teams.",
          () -> {
            String name = Fields.text(team, "name");
            Resources guarantee =
                Resources.roundedDown(
                    Fields.amountOr(team, "cpus", 0), Fields.amountOr(team, "gpus", 0), NO_LIMIT);
            Resources limit =
                Resources.roundedDown(limit(team, "cpus_max"), limit(team, "gpus_max"), NO_LIMIT);
            return teams.put(name, new Team(name, guarantee, limit));
          });
    }
    return new Settings(
        in("", () -> Fields.text(root, "node_name")),
        in("", () -> Fields.text(root, "site")),
        address(root, "", "listen"),
        address(root, "", "back"),
        others,
        text(address(endpoints, "endpoints.", "cloud")),
        text(address(endpoints, "endpoints.", "state")),
        teams,
        in("deployment.objectives.", () -> hopes(deployment)),
        positive(workers, "deployment.workers.", "report_s"),
        positive(workers, "deployment.workers.", "lease_s"),
        positive(workers, "deployment.workers.", "cancel_s"),
        positive(state, "deployment.state.", "rps"),
        positive(state, "deployment.state.", "write_rps"),
        positive(state, "deployment.state.", "value_kb"),
        txnOps(state),
        positive(cloud, "deployment.cloud.", "rps"),
        positive(cloud, "deployment.cloud.", "list_lag_s"),
        machineLimit(deployment, "memory_mb", Constants.MEMORY_MB),
        (int) machineLimit(deployment, "max_sockets", Constants.SOCKETS),
        in(
            "deployment.",
            () -> Fields.amountOr(deployment, "clock_off_ms", Constants.CLOCK_OFF_MS)));
  }

  /** The end of a job must fit into one transaction: with less it would be tried for ever. */
  private static int txnOps(JsonNode state) throws MalformedException {
    double ops = positive(state, "deployment.state.", "txn_ops");
    if (ops < Constants.END_OPS) {
      throw new MalformedException(
          "deployment.state.txn_ops must be at least " + Constants.END_OPS);
    }
    return (int) ops;
  }

  private static double machineLimit(JsonNode deployment, String field, double preset)
      throws MalformedException {
    if (Fields.isAbsent(deployment, "machine_limits")) {
      return preset;
    }
    JsonNode limits = map(deployment, "deployment.", "machine_limits");
    return Fields.isAbsent(limits, field)
        ? preset
        : positive(limits, "deployment.machine_limits.", field);
  }

  /** 0 means that there is no limit. */
  private static double limit(JsonNode team, String field) throws MalformedException {
    double limit = Fields.amountOr(team, field, 0);
    return limit == 0 ? NO_LIMIT : limit;
  }

  /** What the operators hope for of a class: all of a job's tasks done within this, in seconds. */
  public record Hope(String jobclass, double withinS) {}

  private static List<Hope> hopes(JsonNode deployment) throws MalformedException {
    List<Hope> hopes = new ArrayList<>();
    if (!Fields.isAbsent(deployment, "objectives")) {
      for (JsonNode objective : Fields.list(deployment, "objectives")) {
        if ("finished".equals(Fields.text(objective, "kind"))) {
          hopes.add(
              new Hope(Fields.text(objective, "class"), Fields.amount(objective, "within_s")));
        }
      }
    }
    return hopes;
  }

  private interface Read<T> {
    T get() throws MalformedException;
  }

  private static <T> T in(String path, Read<T> read) throws MalformedException {
    try {
      return read.get();
    } catch (MalformedException e) {
      throw new MalformedException(path + e.getMessage());
    }
  }

  private static JsonNode map(JsonNode parent, String path, String field)
      throws MalformedException {
    JsonNode node = parent == null ? null : parent.get(field);
    if (node == null || !node.isObject()) {
      throw new MalformedException(path + field + " must be a map");
    }
    return node;
  }

  private static InetSocketAddress address(JsonNode map, String path, String field)
      throws MalformedException {
    String text = in(path, () -> Fields.text(map, field));
    try {
      return Addresses.parse(text);
    } catch (IllegalArgumentException e) {
      throw new MalformedException(path + field + " is " + e.getMessage());
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static double positive(JsonNode map, String path, String field)
      throws MalformedException {
    double value = in(path, () -> Fields.amount(map, field));
    if (value <= 0) {
      throw new MalformedException(path + field + " must be above 0");
    }
    return value;
  }

  /** What connections the process may have, and who always gets one. */
  public NettyEnv.SocketLimits socketLimits() {
    return new NettyEnv.SocketLimits(
        sockets, reportS * Constants.REPORT_LATEST, Set.copyOf(List.of(state, cloud)));
  }

  /** Characters of one slot of a shard's log. */
  public int logBytes() {
    return Math.min(Constants.LOG_BYTES, (int) (valueKb * 1024 * 0.95) - 16);
  }

  /** Slots of a shard's log in use before pages are written. */
  public int logSlots() {
    return Math.max(2, (int) (memoryMb * Constants.LOG_BYTES_PER_MB) / logBytes());
  }

  /**
   * Tasks of one entry that is sure to fit into a slot, with the longest id that a job may have.
   */
  public int logTasks() {
    return Math.max(1, (logBytes() - 250) / Constants.PAGE_ENTRY_BYTES);
  }

  /** Machines of one block, so that the block fits a value: one rental's at the most. */
  public int blockMachines() {
    int fit = (int) (valueKb * 1024 / Constants.BLOCK_ENTRY_BYTES) - 4;
    return Math.max(1, Math.min(Constants.MAX_HIRE, fit));
  }

  /** Tasks of one page of a job's record, so that the page fits a value whatever happens. */
  public int pageTasks() {
    return Math.max(1, (int) (valueKb * 1024 / Constants.PAGE_ENTRY_BYTES));
  }
}
