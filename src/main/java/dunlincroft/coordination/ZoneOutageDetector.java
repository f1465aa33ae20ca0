package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.Hashing;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes a zone that is cut off from a fault of this node: the zone's machines and
 * controllers are silent while those of all other zones are reachable. Its workers kill their tasks
 * when their lease expires, and not before. Until shortly before that, waiting loses nothing;
 * afterwards nothing is left to lose. Services are therefore replaced in the second half of the
 * lease, machine by machine, so that an outage that ends earlier, or a false detection, costs
 * little or nothing.
 */
final class ZoneOutageDetector {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneOutageDetector.class);

  /** Numbers of reachable and silent machines of a zone. */
  private static final class Reachability {
    int reachable;
    int silent;

    boolean isMost(int part) {
      return part >= Constants.ZONE_OUTAGE_FRACTION * (reachable + silent);
    }
  }

  private final ClusterState cluster;
  private final Membership membership;
  private final Set<String> cutOffZones = new HashSet<>();

  /**
   * Zones whose outage is over, and until when their machines are expected to return one by one.
   */
  private final Map<String, Long> recoveringUntilMs = new HashMap<>();

  private int reachableMachines;
  private boolean manySilent;

  ZoneOutageDetector(ClusterState cluster, Membership membership) {
    this.cluster = cluster;
    this.membership = membership;
  }

  /** Updates the state of all zones; called before the machines are checked one by one. */
  void tick() {
    Map<String, Reachability> zones = new HashMap<>();
    long suspectMs = cluster.reportIntervalsMs(Constants.SUSPECT_REPORT_INTERVALS);
    for (Machine machine : cluster.machines.values()) {
      boolean isReachable =
          machine.session.hasReported()
              && cluster.now() - machine.session.lastHeardMs() < suspectMs;
      if (machine.blockStamp > 0
          && (machine.session.hasReported() || !machine.placements.isEmpty())) {
        Reachability reachability = zones.computeIfAbsent(machine.zone, key -> new Reachability());
        reachability.reachable += isReachable ? 1 : 0;
        reachability.silent += isReachable ? 0 : 1;
      }
    }
    zones.forEach(
        (zone, reachability) -> {
          boolean wasCutOff = cutOffZones.contains(zone);
          // An outage begins only on clear evidence, and ends once half of the machines are
          // reachable.
          if (!wasCutOff && outageBegins(zone, reachability, zones)) {
            LOG.info(
                "zone {} is cut off: {} of its {} machines are silent, other zones are reachable",
                zone,
                reachability.silent,
                reachability.silent + reachability.reachable);
            cutOffZones.add(zone);
          } else if (wasCutOff && reachability.reachable >= reachability.silent) {
            LOG.info(
                "zone {} is not cut off any more: {} machines reachable",
                zone,
                reachability.reachable);
            cutOffZones.remove(zone);
            recoveringUntilMs.put(
                zone,
                cluster.now() + cluster.reportIntervalsMs(Constants.RELEASE_REPORT_INTERVALS));
          }
        });
    cutOffZones.retainAll(zones.keySet());
    reachableMachines =
        zones.values().stream().mapToInt(reachability -> reachability.reachable).sum();
    int silent =
        zones.entrySet().stream()
            .filter(zone -> !cutOffZones.contains(zone.getKey()))
            .mapToInt(zone -> zone.getValue().silent)
            .sum();
    // With many machines silent at once, a fault of this node is more likely than that many dead
    // machines.
    manySilent = silent > 2 && silent * 3 > reachableMachines + silent;
  }

  /**
   * Whether most machines of a zone and its controllers are silent, while most machines of every
   * other zone are reachable.
   */
  private boolean outageBegins(
      String zone, Reachability reachability, Map<String, Reachability> zones) {
    return reachability.silent >= Constants.MIN_ZONE_OUTAGE_MACHINES
        && reachability.isMost(reachability.silent)
        && zones.size() > 1
        && zones.entrySet().stream()
            .allMatch(
                other ->
                    other.getKey().equals(zone)
                        || other.getValue().isMost(other.getValue().reachable))
        && membership.isOnlySilentZone(zone);
  }

  /** Whether a zone is cut off; no machines are rented there meanwhile. */
  boolean isCutOff(String zone) {
    return cutOffZones.contains(zone);
  }

  /** Whether any machine is reachable at all. */
  boolean isAnyMachineReachable() {
    return reachableMachines > 0;
  }

  /** Milliseconds of silence after which a machine is released and its tasks start elsewhere. */
  long releaseAfterMs(Machine machine) {
    if (cluster.now() < recoveringUntilMs.getOrDefault(machine.zone, 0L)) {
      return Long.MAX_VALUE;
    }
    if (!cutOffZones.contains(machine.zone)) {
      return cluster.reportIntervalsMs(
          manySilent
              ? Constants.MANY_SILENT_RELEASE_INTERVALS
              : Constants.RELEASE_REPORT_INTERVALS);
    }
    long leaseMs = (long) (cluster.settings.workerLeaseS() * 1000);
    if (!machine.hasService()) {
      // Its tasks are lost when its lease expires. Afterwards the machine is kept for as long as a
      // replacement would take to boot: the outage may last that long, or end at any moment.
      long bootMs = machine.type == null ? 0 : (long) (machine.type.startupS() * 1000);
      return Math.max(
          cluster.reportIntervalsMs(Constants.MANY_SILENT_RELEASE_INTERVALS), leaseMs + bootMs);
    }
    // Releases are spread out, as the images of the services are fetched by few machines, whose
    // bandwidth is shared.
    long answeredMs =
        membership.isAcquiredFrom(machine.shard, machine.zone) ? cluster.maxCancellationLagMs() : 0;
    long latestMs = leaseMs + answeredMs - Constants.ZONE_RELEASE_LEAD_MS;
    double spreadFraction = (Hashing.of(machine.host) >>> 11) * 0x1p-53;
    return Math.max(
        cluster.reportIntervalsMs(Constants.RELEASE_REPORT_INTERVALS),
        latestMs - (long) (spreadFraction * Constants.ZONE_RELEASE_SPREAD * leaseMs));
  }

  /**
   * Milliseconds for which a machine has been silent. If its zone is cut off and it has never
   * reported to this node, it counts as silent for at least as long as the zone's controllers.
   */
  long silentMs(Machine machine) {
    long ownSilenceMs = cluster.now() - machine.session.lastHeardMs();
    return machine.session.hasReported() || !cutOffZones.contains(machine.zone)
        ? ownSilenceMs
        : Math.max(ownSilenceMs, membership.zoneSilentMs(machine.zone));
  }
}
