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

  private final ClusterState cluster;
  private final Membership membership;
  private final MachineProbe probe;
  private final CloudClient cloud;
  private final MachineDiscovery discovery;
  private final Map<String, Long> unknownSince = new HashMap<>();
  private long nextPollMs;
  private long lastPollMs;
  private boolean isPolling;
  private boolean hasToRepoll;

  MachineList(
      ClusterState cluster,
      Membership membership,
      MachineProbe probe,
      CloudClient cloud,
      MachineDiscovery discovery) {
    this.cluster = cluster;
    this.membership = membership;
    this.probe = probe;
    this.cloud = cloud;
    this.discovery = discovery;
  }

  private long lagMs(double number) {
    return (long) (cluster.settings.listLagS() * number * 1000);
  }

  /**
   * A new holder looks up where its machines are. Workers of one that is alive but cut off stay
   * with it for a while: unless we ask them ourselves, they seem silent, and are released.
   */
  void locateMachines() {
    if (cluster.machines.values().stream().allMatch(machine -> machine.endpoint != null)) {
      return;
    }
    // What a listing under way has shown already was shown before these machines were ours.
    hasToRepoll = isPolling;
    nextPollMs = 0;
    tick();
  }

  /** Where others' machines are is remembered for the day that they become ours. */
  void prefetchEndpoints(boolean takeoverImminent) {
    long intervalMs = takeoverImminent ? Constants.LIST_MS : Constants.LOOK_AHEAD_MS;
    if (cluster.now() - lastPollMs >= intervalMs) {
      nextPollMs = 0;
      tick();
    }
  }

  void tick() {
    if (isPolling || cluster.now() < nextPollMs) {
      return;
    }
    hasToRepoll = false;
    lastPollMs = cluster.now();
    nextPollMs = lastPollMs + Constants.LIST_MS;
    isPolling = true;
    pollFrom("", new HashSet<>());
  }

  private void pollFrom(String since, Set<String> seen) {
    cloud.call(
        false,
        "GET",
        Wire.MACHINES + "?since=" + since + "&most=" + Constants.MACHINE_PAGE,
        null,
        (status, body) -> {
          isPolling = false;
          if (status != 200 || body == null) {
            LOG.info("machine list not to be had: {}", status);
            return;
          }
          try {
            String last = since;
            for (JsonNode item : Fields.list(body, "hosts")) {
              Listing listing = Listing.parse(item);
              last = listing.host();
              seen.add(last);
              onListed(listing);
            }
            if (Fields.flag(body, "hasNext")) {
              isPolling = true;
              pollFrom(last, seen);
            } else {
              unknownSince.keySet().retainAll(seen);
              cluster.endpoints.keySet().retainAll(seen);
              if (hasToRepoll) {
                locateMachines();
              }
            }
          } catch (Malformed e) {
            LOG.info("machine list: {}", e.getMessage());
          }
        });
  }

  private void onListed(Listing listing) {
    if (cluster.blocks.blockOf(listing.host()) == null) {
      // The list lags: a machine returned a moment ago still shows. One that stays is unexpected.
      if (membership.isLeader()
          && !discovery.isRecentlyReleased(listing.host())
          && cluster.now() - unknownSince.computeIfAbsent(listing.host(), host -> cluster.now())
              >= lagMs(Constants.UNKNOWN_LAGS)) {
        LOG.info("host {} is listed and has no block: adopted", listing.host());
        discovery.adopt(
            List.of(listing.host()),
            new BlockClass(listing.flavour(), listing.hall(), listing.lendable()),
            cluster.env.wallMillis() - (long) (listing.heldS() * 1000),
            null);
      }
      return;
    }
    Machine owned = cluster.machines.get(listing.host());
    if (owned == null) {
      cluster.endpoints.put(listing.host(), listing.endpoint());
    } else if (owned.endpoint == null) {
      owned.endpoint = listing.endpoint();
      probe.probe(owned);
    }
    if (owned != null && listing.status().equals(Listing.FAILED) && owned.drainReason == null) {
      LOG.info("host {} is listed as failed", listing.host());
      owned.drainReason = "failed";
    }
  }
}
