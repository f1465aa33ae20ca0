package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.TaskState.Place;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Whether the replicas that wait find room, machine by machine and zone by zone. Machines may be
 * enough by their number while what is free of them lies in pieces, or in a zone that has its part
 * of a service already. Read off the records; lesser work yields to services and counts for
 * nothing.
 */
final class ReplicaRoom {
  /** What is to be rented: machines of one class for one shard. */
  record Lack(BlockClass blockClass, String shard) {}

  /**
   * What a look at all waiting replicas found.
   *
   * @param lack machines that are to be rented, by class and shard
   * @param jobs services with a replica that finds no room
   * @param tightZones zones that replicas on their way fill to the last machine
   * @param taken machines on whose room a waiting replica counts
   */
  record Look(
      Map<Lack, Integer> lack, Set<String> jobs, Set<String> tightZones, Set<String> taken) {
    static final Look NOTHING = new Look(Map.of(), Set.of(), Set.of(), Set.of());
  }

  /** A machine, there or on its way, with the room that services leave on it. */
  private static final class Bin {
    final String host;
    final BlockClass blockClass;

    /** The shard that holds it; null: whichever needs it. */
    final String shard;

    Room free;

    Bin(String host, BlockClass blockClass, String shard, Room free) {
      this.host = host;
      this.blockClass = blockClass;
      this.shard = shard;
      this.free = free;
    }
  }

  private final World world;
  private final Demand demand;

  ReplicaRoom(World world, Demand demand) {
    this.world = world;
    this.demand = demand;
  }

  /**
   * Looks at all replicas that wait or whose machine does not serve any more.
   *
   * @param serves whether a machine of ours serves or will soon
   * @param silentElsewhere machines that other nodes own and do not hear
   * @param coming machines on their way into blocks, by class
   * @param refused classes of which none can be rented now
   */
  Look look(
      Predicate<Machine> serves,
      Set<String> silentElsewhere,
      Map<BlockClass, Integer> coming,
      Predicate<BlockClass> refused) {
    Set<String> lost = lost(serves);
    lost.addAll(silentElsewhere);
    List<JobIndex.Job> waiting = waiting(lost);
    if (waiting.isEmpty()) {
      return Look.NOTHING;
    }
    List<Bin> bins = bins(lost, coming);
    Look look = new Look(new HashMap<>(), new HashSet<>(), new HashSet<>(), new HashSet<>());
    Map<String, Room> left = left();
    int looks = Constants.REPLICAS_LOOKED_AT;
    for (JobIndex.Job job : waiting) {
      if (looks > 0) {
        looks -= pack(job, lost, bins, left, refused, look);
      }
    }
    waiting.stream()
        .filter(job -> moving(job, lost) > 0)
        .findFirst()
        .ifPresent(largest -> keepZonesOpen(largest, bins, refused, look));
    return look;
  }

  /**
   * Replicas that lose their machines are placed as their machines are given up, one after the
   * other, and not as they were packed here: one that may go anywhere takes room in the only zone
   * that is left to another. So each zone keeps room for one more of the largest, on one more
   * machine if need be; it is rented while the lost machines are still waited for.
   */
  private void keepZonesOpen(
      JobIndex.Job largest, List<Bin> bins, Predicate<BlockClass> refused, Look look) {
    MachineType type = demand.cheapest(largest.spec);
    if (type == null) {
      return;
    }
    for (String zone : world.zonesFor(largest, type)) {
      BlockClass blockClass = new BlockClass(type.label(), zone, false);
      Bin open = open(largest, blockClass, bins);
      if (open == null && !refused.test(blockClass)) {
        look.tightZones.add(zone);
        look.lack.merge(new Lack(blockClass, largest.shard), 1, Integer::sum);
      } else if (open != null && open.host != null) {
        look.taken.add(open.host);
      }
    }
  }

  /** A machine of a class that has room for one more replica of a job, or null. */
  private static Bin open(JobIndex.Job job, BlockClass blockClass, List<Bin> bins) {
    return bins.stream()
        .filter(bin -> bin.shard == null || bin.shard.equals(job.shard))
        .filter(bin -> bin.blockClass.equals(blockClass))
        .filter(bin -> job.spec.room().fits(bin.free))
        .findFirst()
        .orElse(null);
  }

  private static int moving(JobIndex.Job job, Set<String> lost) {
    return missing(job, lost) - (job.wanted() - job.placed());
  }

  /** Machines in blocks that do not serve: what is recorded there moves. */
  private Set<String> lost(Predicate<Machine> serves) {
    Set<String> lost = new HashSet<>();
    for (Machine machine : world.machines.values()) {
      if (!serves.test(machine)) {
        lost.add(machine.host);
      }
    }
    return lost;
  }

  /** Services with replicas that wait or are to move, the largest replicas first. */
  private List<JobIndex.Job> waiting(Set<String> lost) {
    List<JobIndex.Job> waiting = new ArrayList<>();
    for (JobIndex.Job job : world.index.all().values()) {
      JobSpec spec = job.spec;
      if (spec.daemon()
          && spec.rank() == Rank.PROD
          && missing(job, lost) > 0
          && !job.faulty()
          && !demand.cancelled(spec)
          && world.wanted(spec)
          && !world.sided(spec)) {
        waiting.add(job);
      }
    }
    waiting.sort(
        Comparator.comparingLong((JobIndex.Job job) -> -job.spec.room().cpu())
            .thenComparing(job -> job.spec.ref()));
    return waiting;
  }

  private static int missing(JobIndex.Job job, Set<String> lost) {
    int missing = job.wanted() - job.placed();
    for (Place place : job.places()) {
      missing += lost.contains(place.host()) ? 1 : 0;
    }
    return missing;
  }

  /** What each team's limit leaves for replicas that are on no machine. */
  private Map<String, Room> left() {
    Map<String, Room> left = new HashMap<>();
    world.settings.teams().values().forEach(team -> left.put(team.name(), team.limit()));
    for (JobIndex.Job job : world.index.all().values()) {
      Room taken = job.spec.room().times(job.placed());
      left.computeIfPresent(job.spec.owner(), (team, room) -> room.minus(taken));
    }
    return left;
  }

  // ---- machines ----

  private List<Bin> bins(Set<String> lost, Map<BlockClass, Integer> coming) {
    Map<String, Room> taken = takenByServices();
    Map<BlockClass, Room> rooms = new HashMap<>();
    List<Bin> bins = new ArrayList<>();
    for (BlockIndex.Block block : world.blocks.all()) {
      BlockClass blockClass = block.record().blockClass();
      Room whole = rooms.computeIfAbsent(blockClass, this::room);
      for (String host : block.record().hosts().keySet()) {
        if (!lost.contains(host)) {
          Room free = whole.minus(taken.getOrDefault(host, Room.NONE));
          bins.add(new Bin(host, blockClass, block.record().shard(), free));
        }
      }
    }
    coming.forEach(
        (blockClass, number) -> {
          for (int i = 0; i < number; i++) {
            bins.add(new Bin(null, blockClass, null, room(blockClass)));
          }
        });
    return bins;
  }

  /** What does not yield to a service, by machine. */
  private Map<String, Room> takenByServices() {
    Map<String, Room> taken = new HashMap<>();
    for (JobIndex.Job job : world.index.all().values()) {
      if (job.spec.rank() == Rank.PROD || job.spec.daemon()) {
        for (Place place : job.places()) {
          taken.merge(place.host(), job.spec.room(), Room::plus);
        }
      }
    }
    return taken;
  }

  /** A machine's room for services, less what the operators keep free. */
  private Room room(BlockClass blockClass) {
    MachineType type = world.types.get(blockClass.flavour());
    if (type == null) {
      return Room.NONE;
    }
    double bound = world.policy.bound(type, blockClass.hall(), blockClass.lendable());
    return type.room().minus(new Room((long) (type.room().cpu() * (1 - bound)), 0, 0));
  }

  // ---- fitting ----

  /** Finds room for the replicas of a service, one by one. Returns how many it looked at. */
  private int pack(
      JobIndex.Job job,
      Set<String> lost,
      List<Bin> bins,
      Map<String, Room> left,
      Predicate<BlockClass> refused,
      Look look) {
    JobSpec spec = job.spec;
    Settings.Team team = world.settings.teams().get(spec.owner());
    if (team == null) {
      return 0;
    }
    Map<String, Integer> perZone = perZone(job, lost);
    int moving = moving(job, lost);
    int fresh = spec.room().countIn(left.get(team.name()), job.wanted() - job.placed());
    left.merge(team.name(), spec.room().times(fresh), Room::minus);
    int number = Math.min(moving + fresh, Constants.REPLICAS_LOOKED_AT);
    for (int i = 0; i < number; i++) {
      Bin bin = find(job, bins, perZone);
      if (bin == null) {
        look.jobs.add(spec.ref());
        bin = rented(job, perZone, refused);
        if (bin == null) {
          return i + 1;
        }
        bins.add(bin);
        look.lack.merge(new Lack(bin.blockClass, job.shard), 1, Integer::sum);
      } else if (bin.host != null) {
        look.taken.add(bin.host);
      }
      bin.free = bin.free.minus(spec.room());
      perZone.merge(bin.blockClass.hall(), 1, Integer::sum);
    }
    return number;
  }

  /** The replicas of a service that stay where they are, by zone. */
  private Map<String, Integer> perZone(JobIndex.Job job, Set<String> lost) {
    Map<String, Integer> perZone = new HashMap<>();
    for (Place place : job.places()) {
      BlockIndex.Block block = lost.contains(place.host()) ? null : world.blocks.of(place.host());
      if (block != null) {
        perZone.merge(block.record().blockClass().hall(), 1, Integer::sum);
      }
    }
    return perZone;
  }

  /** A machine with room for one more replica, in the zone with the fewest of them. */
  private Bin find(JobIndex.Job job, List<Bin> bins, Map<String, Integer> perZone) {
    Bin best = null;
    for (Bin bin : bins) {
      if (job.spec.room().fits(bin.free)
          && (bin.shard == null || bin.shard.equals(job.shard))
          && suits(job.spec, bin.blockClass, perZone)
          && (best == null || count(perZone, bin) < count(perZone, best))) {
        best = bin;
      }
    }
    return best;
  }

  private static int count(Map<String, Integer> perZone, Bin bin) {
    return perZone.getOrDefault(bin.blockClass.hall(), 0);
  }

  private boolean suits(JobSpec spec, BlockClass blockClass, Map<String, Integer> perZone) {
    String zone = blockClass.hall();
    boolean apart = spec.samePlace() && !perZone.isEmpty() && !perZone.containsKey(zone);
    return !apart
        && perZone.getOrDefault(zone, 0) < spec.zoneMost()
        && spec.allows(blockClass.flavour(), zone, blockClass.lendable())
        && (!blockClass.lendable() || world.spot(spec));
  }

  /** A machine that could be rented for one more replica, or null. */
  private Bin rented(JobIndex.Job job, Map<String, Integer> perZone, Predicate<BlockClass> no) {
    MachineType type = demand.cheapest(job.spec);
    if (type == null) {
      return null;
    }
    Bin best = null;
    for (String zone : type.halls()) {
      BlockClass blockClass = new BlockClass(type.label(), zone, false);
      Bin bin = new Bin(null, blockClass, job.shard, room(blockClass));
      if (!no.test(blockClass)
          && suits(job.spec, blockClass, perZone)
          && job.spec.room().fits(bin.free)
          && (best == null || count(perZone, bin) < count(perZone, best))) {
        best = bin;
      }
    }
    return best;
  }
}
