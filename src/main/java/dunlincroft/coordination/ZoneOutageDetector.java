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
 * Tells a zone that is cut off from a fault of ours: its machines and its controllers are silent,
 * while those of all other zones are heard. Its workers kill their tasks once their lease is over,
 * and not before: until shortly before that, waiting loses nothing, and after it nothing is left to
 * lose. So what services need is started elsewhere in the second half of the lease, machine by
 * machine; a cut that ends sooner, or a wrong guess, has cost little or nothing.
 */
final class ZoneOutageDetector {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneOutageDetector.class);

  /** How many machines of a zone are heard, and how many are not. */
  private static final class Reachability {
    int reachable;
    int silent;

    boolean isMost(int part) {
      return part >= Constants.ZONE_PART * (reachable + silent);
    }
  }

  private final ClusterState cluster;
  private final Membership membership;
  private final Set<String> cutOffZones = new HashSet<>();

  /** Zones whose cut is over: their machines come back one by one. */
  private final Map<String, Long> recoveringUntilMs = new HashMap<>();

  private int reachableMachines;
  private boolean manySilent;

  ZoneOutageDetector(ClusterState cluster, Membership membership) {
    this.cluster = cluster;
    this.membership = membership;
  }

  /** Looks at all machines; called before a look at each. */
  void tick() {
    Map<String, Reachability> zones = new HashMap<>();
    long suspectMs = cluster.reportIntervalsMs(Constants.SUSPECT_REPORTS);
    for (Machine machine : cluster.machines.values()) {
      boolean isReachable =
          machine.session.hasReported()
              && cluster.now() - machine.session.lastHeardMs() < suspectMs;
      if (machine.blockStamp > 0 && (machine.session.hasReported() || !machine.placed.isEmpty())) {
        Reachability reachability = zones.computeIfAbsent(machine.hall, key -> new Reachability());
        reachability.reachable += isReachable ? 1 : 0;
        reachability.silent += isReachable ? 0 : 1;
      }
    }
    zones.forEach(
        (zone, reachability) -> {
          boolean wasCutOff = cutOffZones.contains(zone);
          // It must be clear to begin with, and it is over as soon as half of them are heard.
          if (!wasCutOff && outageBegins(zone, reachability, zones)) {
            LOG.info(
                "zone {} is cut off: {} of its {} machines are silent, those of others are heard",
                zone,
                reachability.silent,
                reachability.silent + reachability.reachable);
            cutOffZones.add(zone);
          } else if (wasCutOff && reachability.reachable >= reachability.silent) {
            LOG.info(
                "zone {} is not cut off any more: {} machines heard", zone, reachability.reachable);
            cutOffZones.remove(zone);
            recoveringUntilMs.put(
                zone, cluster.now() + cluster.reportIntervalsMs(Constants.DEAD_REPORTS));
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
    // Many silent at once: rather a fault of ours than so many dead machines.
    manySilent = silent > 2 && silent * 3 > reachableMachines + silent;
  }

  private boolean outageBegins(
      String zone, Reachability reachability, Map<String, Reachability> zones) {
    return reachability.silent >= Constants.ZONE_LEAST
        && reachability.isMost(reachability.silent)
        && zones.size() > 1
        && zones.entrySet().stream()
            .allMatch(
                other ->
                    other.getKey().equals(zone)
                        || other.getValue().isMost(other.getValue().reachable))
        && membership.isOnlySilentZone(zone);
  }

  /** Whether a zone is cut off: nothing is rented there meanwhile. */
  boolean isCutOff(String zone) {
    return cutOffZones.contains(zone);
  }

  /** Whether any machine is heard at all. */
  boolean isAnyMachineReachable() {
    return reachableMachines > 0;
  }

  /** Milliseconds of silence after which a machine is released and its tasks start elsewhere. */
  long releaseAfterMs(Machine machine) {
    if (cluster.now() < recoveringUntilMs.getOrDefault(machine.hall, 0L)) {
      return Long.MAX_VALUE;
    }
    if (!cutOffZones.contains(machine.hall)) {
      return cluster.reportIntervalsMs(
          manySilent ? Constants.DEAD_MANY_REPORTS : Constants.DEAD_REPORTS);
    }
    long leaseMs = (long) (cluster.settings.leaseS() * 1000);
    if (!machine.hasDaemon()) {
      // What it ran is lost with its lease. From then on it is waited for as long as a new one in
      // its place would take to boot: a cut may last as long again, or be over at once.
      long bootMs = machine.type == null ? 0 : (long) (machine.type.startupS() * 1000);
      return Math.max(cluster.reportIntervalsMs(Constants.DEAD_MANY_REPORTS), leaseMs + bootMs);
    }
    // Not all at once: their images are fetched by few machines, which share their rate.
    long answeredMs =
        membership.isAcquiredFrom(machine.shard, machine.hall) ? cluster.maxCancellationLagMs() : 0;
    long latestMs = leaseMs + answeredMs - Constants.ZONE_LEAD_MS;
    double spreadFraction = (Hashing.of(machine.host) >>> 11) * 0x1p-53;
    return Math.max(
        cluster.reportIntervalsMs(Constants.DEAD_REPORTS),
        latestMs - (long) (spreadFraction * Constants.ZONE_TURNS * leaseMs));
  }

  /**
   * Milliseconds for which a machine has been silent. One that we never heard has been at least as
   * long as the controllers of its zone, if that is cut off.
   */
  long silentMs(Machine machine) {
    long ownSilenceMs = cluster.now() - machine.session.lastHeardMs();
    return machine.session.hasReported() || !cutOffZones.contains(machine.hall)
        ? ownSilenceMs
        : Math.max(ownSilenceMs, membership.zoneSilentMs(machine.hall));
  }
}
