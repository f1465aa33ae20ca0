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
final class ZoneWatch {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneWatch.class);

  /** How many machines of a zone are heard, and how many are not. */
  private static final class Count {
    int heard;
    int silent;

    boolean mostly(int part) {
      return part >= Constants.ZONE_PART * (heard + silent);
    }
  }

  private final World world;
  private final Membership members;
  private final Set<String> cut = new HashSet<>();

  /** Zones whose cut is over: their machines come back one by one. */
  private final Map<String, Long> backUntil = new HashMap<>();

  private int heard;
  private boolean many;

  ZoneWatch(World world, Membership members) {
    this.world = world;
    this.members = members;
  }

  /** Looks at all machines; called before a look at each. */
  void tick() {
    Map<String, Count> zones = new HashMap<>();
    long suspectMs = world.reports(Constants.SUSPECT_REPORTS);
    for (Machine machine : world.machines.values()) {
      boolean there =
          machine.session.hasReported() && world.now() - machine.session.lastHeardMs() < suspectMs;
      if (machine.blockStamp > 0 && (machine.session.hasReported() || !machine.placed.isEmpty())) {
        Count count = zones.computeIfAbsent(machine.hall, hall -> new Count());
        count.heard += there ? 1 : 0;
        count.silent += there ? 0 : 1;
      }
    }
    zones.forEach(
        (zone, count) -> {
          boolean was = cut.contains(zone);
          // It must be clear to begin with, and it is over as soon as half of them are heard.
          if (!was && begins(zone, count, zones)) {
            LOG.info(
                "zone {} is cut off: {} of its {} machines are silent, those of others are heard",
                zone,
                count.silent,
                count.silent + count.heard);
            cut.add(zone);
          } else if (was && count.heard >= count.silent) {
            LOG.info("zone {} is not cut off any more: {} machines heard", zone, count.heard);
            cut.remove(zone);
            backUntil.put(zone, world.now() + world.reports(Constants.DEAD_REPORTS));
          }
        });
    cut.retainAll(zones.keySet());
    heard = zones.values().stream().mapToInt(count -> count.heard).sum();
    int silent =
        zones.entrySet().stream()
            .filter(zone -> !cut.contains(zone.getKey()))
            .mapToInt(zone -> zone.getValue().silent)
            .sum();
    // Many silent at once: rather a fault of ours than so many dead machines.
    many = silent > 2 && silent * 3 > heard + silent;
  }

  private boolean begins(String zone, Count count, Map<String, Count> zones) {
    return count.silent >= Constants.ZONE_LEAST
        && count.mostly(count.silent)
        && zones.size() > 1
        && zones.entrySet().stream()
            .allMatch(
                other ->
                    other.getKey().equals(zone) || other.getValue().mostly(other.getValue().heard))
        && members.isOnlySilentZone(zone);
  }

  /** Whether a zone is cut off: nothing is rented there meanwhile. */
  boolean isCut(String zone) {
    return cut.contains(zone);
  }

  /** Whether any machine is heard at all. */
  boolean anyHeard() {
    return heard > 0;
  }

  /** Milliseconds of silence after which a machine is released and its tasks start elsewhere. */
  long deadMs(Machine machine) {
    if (world.now() < backUntil.getOrDefault(machine.hall, 0L)) {
      return Long.MAX_VALUE;
    }
    if (!cut.contains(machine.hall)) {
      return world.reports(many ? Constants.DEAD_MANY_REPORTS : Constants.DEAD_REPORTS);
    }
    long lease = (long) (world.settings.leaseS() * 1000);
    if (!machine.hasDaemon()) {
      // What it ran is lost with its lease. From then on it is waited for as long as a new one in
      // its place would take to boot: a cut may last as long again, or be over at once.
      long boot = machine.type == null ? 0 : (long) (machine.type.startupS() * 1000);
      return Math.max(world.reports(Constants.DEAD_MANY_REPORTS), lease + boot);
    }
    // Not all at once: their images are fetched by few machines, which share their rate.
    long answered = members.isAcquiredFrom(machine.shard, machine.hall) ? world.cutMs() : 0;
    long last = lease + answered - Constants.ZONE_LEAD_MS;
    double turn = (Hashing.of(machine.host) >>> 11) * 0x1p-53;
    return Math.max(
        world.reports(Constants.DEAD_REPORTS), last - (long) (turn * Constants.ZONE_TURNS * lease));
  }

  /**
   * Milliseconds for which a machine has been silent. One that we never heard has been at least as
   * long as the controllers of its zone, if that is cut off.
   */
  long silentMs(Machine machine) {
    long silent = world.now() - machine.session.lastHeardMs();
    return machine.session.hasReported() || !cut.contains(machine.hall)
        ? silent
        : Math.max(silent, members.zoneSilentMs(machine.hall));
  }
}
