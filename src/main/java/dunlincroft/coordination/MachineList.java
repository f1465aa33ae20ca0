package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MachineListing;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the cloud's list of machines, which lags behind. Provides the endpoints of this node's
 * machines; machines that stay listed without a block are adopted.
 */
final class MachineList {
  private static final Logger LOG = LoggerFactory.getLogger(MachineList.class);

  private final ClusterState cluster;
  private final Membership membership;
  private final MachineProbe probe;
  private final CloudClient cloud;
  private final MachineDiscovery discovery;

  /** Since when machines have been listed that no block names. */
  private final Map<String, Long> unknownSince = new HashMap<>();

  private long nextPollMs;
  private long lastPollMs;
  private boolean isPolling;

  /** Whether the list has to be polled again once the poll in progress is complete. */
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

  /** Milliseconds of so many usual lags of the list. */
  private long lagMs(double number) {
    return (long) (cluster.settings.machineListLagS() * number * 1000);
  }

  /**
   * Looks up the endpoints of machines that this node has just acquired. Workers keep reporting for
   * a while to a former owner that is alive but partitioned from its peers: unless this node
   * queries them itself, they appear silent and are released.
   */
  void locateMachines() {
    if (cluster.machines.values().stream().allMatch(machine -> machine.endpoint != null)) {
      return;
    }
    // Machines that the poll in progress has already listed were not owned by this node at that
    // time, so the list is polled once more.
    hasToRepoll = isPolling;
    nextPollMs = 0;
    tick();
  }

  /** Prefetches the endpoints of machines that this node may acquire. */
  void prefetchEndpoints(boolean takeoverImminent) {
    long intervalMs =
        takeoverImminent ? Constants.MACHINE_LIST_INTERVAL_MS : Constants.STANDBY_LIST_INTERVAL_MS;
    if (cluster.now() - lastPollMs >= intervalMs) {
      nextPollMs = 0;
      tick();
    }
  }

  /** Polls the list if that is due. */
  void tick() {
    if (isPolling || cluster.now() < nextPollMs) {
      return;
    }
    hasToRepoll = false;
    lastPollMs = cluster.now();
    nextPollMs = lastPollMs + Constants.MACHINE_LIST_INTERVAL_MS;
    isPolling = true;
    pollFrom("", new HashSet<>());
  }

  private void pollFrom(String since, Set<String> seen) {
    cloud.call(
        false,
        "GET",
        Wire.MACHINES + "?since=" + since + "&most=" + Constants.MACHINE_PAGE_ENTRIES,
        null,
        (status, body) -> {
          isPolling = false;
          if (status != 200 || body == null) {
            LOG.info("machine list is unavailable: status {}", status);
            return;
          }
          try {
            String last = since;
            for (JsonNode item : Fields.list(body, "hosts")) {
              MachineListing listing = MachineListing.parse(item);
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
          } catch (MalformedException e) {
            LOG.info("machine list is malformed: {}", e.getMessage());
          }
        });
  }

  private void onListed(MachineListing listing) {
    if (cluster.blocks.blockOf(listing.host()) == null) {
      // The list lags: a machine released a moment ago is still listed. One that stays is adopted.
      if (membership.isLeader()
          && !discovery.isRecentlyReleased(listing.host())
          && cluster.now() - unknownSince.computeIfAbsent(listing.host(), host -> cluster.now())
              >= lagMs(Constants.UNKNOWN_ENTRY_LIST_LAGS)) {
        LOG.info("host {} is listed by the cloud and has no block: adopting it", listing.host());
        discovery.adopt(
            List.of(listing.host()),
            new BlockClass(listing.machineType(), listing.zone(), listing.preemptible()),
            cluster.env.wallMillis() - (long) (listing.rentedS() * 1000),
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
    if (owned != null
        && listing.status().equals(MachineListing.FAILED)
        && owned.drainReason != DrainReason.STOPPED) {
      LOG.info("host {} is listed as failed by the cloud", listing.host());
      owned.drainReason = owned.drainReason.onStopped();
    }
  }
}
