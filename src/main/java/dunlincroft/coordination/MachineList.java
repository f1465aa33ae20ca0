package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.Listing;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Wire;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The cloud's list of machines, which lags. Machines of ours are found by it, and those that stay
 * on it without a block are adopted.
 */
final class MachineList {
  private static final Logger LOG = LoggerFactory.getLogger(MachineList.class);

  private final ClusterState world;
  private final Membership members;
  private final MachineProbe probe;
  private final Cloud cloud;
  private final MachineDiscovery discovery;
  private final Map<String, Long> seenUnknown = new HashMap<>();
  private long nextList;
  private long lastList;
  private boolean listing;
  private boolean again;

  MachineList(
      ClusterState world,
      Membership members,
      MachineProbe probe,
      Cloud cloud,
      MachineDiscovery discovery) {
    this.world = world;
    this.members = members;
    this.probe = probe;
    this.cloud = cloud;
    this.discovery = discovery;
  }

  private long lags(double number) {
    return (long) (world.settings.listLagS() * number * 1000);
  }

  /**
   * A new holder looks up where its machines are. Workers of one that is alive but cut off stay
   * with it for a while: unless we ask them ourselves, they seem silent, and are released.
   */
  void findMachines() {
    if (world.machines.values().stream().allMatch(machine -> machine.endpoint != null)) {
      return;
    }
    // What a listing under way has shown already was shown before these machines were ours.
    again = listing;
    nextList = 0;
    tick();
  }

  /** Where others' machines are is remembered for the day that they become ours. */
  void lookAhead(boolean soon) {
    long every = soon ? Constants.LIST_MS : Constants.LOOK_AHEAD_MS;
    if (world.now() - lastList >= every) {
      nextList = 0;
      tick();
    }
  }

  void tick() {
    if (listing || world.now() < nextList) {
      return;
    }
    again = false;
    lastList = world.now();
    nextList = lastList + Constants.LIST_MS;
    listing = true;
    listFrom("", new HashSet<>());
  }

  private void listFrom(String since, Set<String> seen) {
    cloud.call(
        false,
        "GET",
        Wire.MACHINES + "?since=" + since + "&most=" + Constants.MACHINE_PAGE,
        null,
        (status, body) -> {
          listing = false;
          if (status != 200 || body == null) {
            LOG.info("machine list not to be had: {}", status);
            return;
          }
          try {
            String last = since;
            for (JsonNode item : Fields.list(body, "hosts")) {
              Listing machine = Listing.parse(item);
              last = machine.host();
              seen.add(last);
              listed(machine);
            }
            if (Fields.flag(body, "hasNext")) {
              listing = true;
              listFrom(last, seen);
            } else {
              seenUnknown.keySet().retainAll(seen);
              world.endpoints.keySet().retainAll(seen);
              if (again) {
                findMachines();
              }
            }
          } catch (Malformed e) {
            LOG.info("machine list: {}", e.getMessage());
          }
        });
  }

  private void listed(Listing machine) {
    if (world.blocks.blockOf(machine.host()) == null) {
      // The list lags: a machine returned a moment ago still shows. One that stays is unexpected.
      if (members.isLeader()
          && !discovery.isGone(machine.host())
          && world.now() - seenUnknown.computeIfAbsent(machine.host(), host -> world.now())
              >= lags(Constants.UNKNOWN_LAGS)) {
        LOG.info("host {} is listed and has no block: adopted", machine.host());
        discovery.adopt(
            List.of(machine.host()),
            new BlockClass(machine.flavour(), machine.hall(), machine.lendable()),
            world.env.wallMillis() - (long) (machine.heldS() * 1000),
            null);
      }
      return;
    }
    Machine ours = world.machines.get(machine.host());
    if (ours == null) {
      world.endpoints.put(machine.host(), machine.endpoint());
    } else if (ours.endpoint == null) {
      ours.endpoint = machine.endpoint();
      probe.probe(ours);
    }
    if (ours != null && machine.status().equals(Listing.FAILED) && ours.draining == null) {
      LOG.info("host {} is listed as failed", machine.host());
      ours.draining = "failed";
    }
  }
}
