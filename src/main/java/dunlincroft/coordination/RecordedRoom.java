package dunlincroft.coordination;

import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.TaskState.Place;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the machines of all shards have free by the records, as every owner of a shard reads them
 * alike. Machines that this node owns count only while they can take work.
 */
final class RecordedRoom {
  /** A machine and what recorded tasks leave free of it. */
  static final class Host {
    final String name;
    final String shard;
    final BlockClass blockClass;
    Room free;
    boolean services;

    private Host(String name, String shard, BlockClass blockClass, Room free) {
      this.name = name;
      this.shard = shard;
      this.blockClass = blockClass;
      this.free = free;
    }
  }

  private final World world;
  private final Map<String, List<Host>> byShard = new HashMap<>();

  RecordedRoom(World world) {
    this.world = world;
    Map<String, Host> hosts = hosts();
    for (JobIndex.Job job : world.index.all().values()) {
      for (Place place : job.places()) {
        Host host = hosts.get(place.host());
        if (host != null) {
          host.free = host.free.minus(job.spec.room());
          host.services |= job.spec.daemon();
        }
      }
    }
  }

  private Map<String, Host> hosts() {
    Map<String, Host> hosts = new HashMap<>();
    for (BlockIndex.Block block : world.blocks.all()) {
      BlockClass blockClass = block.record().blockClass();
      MachineType type = world.types.get(blockClass.flavour());
      if (type == null) {
        continue;
      }
      double bound = world.policy.bound(type, blockClass.hall(), blockClass.lendable());
      Room room = type.room().minus(new Room((long) (type.room().cpu() * (1 - bound)), 0, 0));
      for (String name : block.record().hosts().keySet()) {
        Machine known = world.machines.get(name);
        if (known == null || world.usable(known)) {
          Host host = new Host(name, block.record().shard(), blockClass, room);
          hosts.put(name, host);
          byShard.computeIfAbsent(host.shard, shard -> new ArrayList<>()).add(host);
        }
      }
    }
    return hosts;
  }

  /** The machines of a shard. */
  List<Host> of(String shard) {
    return byShard.getOrDefault(shard, List.of());
  }

  /** Shards that have machines. */
  Set<String> shards() {
    return byShard.keySet();
  }

  /** How many more tasks of a job the machines of a shard have room for, at most so many. */
  int countFor(JobIndex.Job job, String shard, int most) {
    Map<String, Integer> perZone = perZone(job);
    int count = 0;
    for (Host host : of(shard)) {
      if (count >= most) {
        return most;
      }
      if (suits(job.spec, host, perZone)) {
        String zone = host.blockClass.hall();
        int zoneLeft = job.spec.zoneMost() - perZone.getOrDefault(zone, 0);
        int here = job.spec.room().countIn(freeFor(job.spec, host), Math.min(most, zoneLeft));
        perZone.merge(zone, here, Integer::sum);
        count += here;
      }
    }
    return Math.min(count, most);
  }

  /** Whether one more task of a job may go to a machine and has room there. */
  boolean fits(JobIndex.Job job, Host host) {
    return suits(job.spec, host, perZone(job)) && job.spec.room().fits(freeFor(job.spec, host));
  }

  private Map<String, Integer> perZone(JobIndex.Job job) {
    Map<String, Integer> perZone = new HashMap<>();
    for (Place place : job.places()) {
      BlockIndex.Block block = world.blocks.of(place.host());
      if (block != null) {
        perZone.merge(block.record().blockClass().hall(), 1, Integer::sum);
      }
    }
    return perZone;
  }

  private boolean suits(JobSpec spec, Host host, Map<String, Integer> perZone) {
    String zone = host.blockClass.hall();
    boolean apart = spec.samePlace() && !perZone.isEmpty() && !perZone.containsKey(zone);
    return !apart
        && perZone.getOrDefault(zone, 0) < spec.zoneMost()
        && spec.allows(host.blockClass.flavour(), zone, host.blockClass.lendable())
        && (!host.blockClass.lendable() || world.spot(spec));
  }

  /** What is free for a job: the operators' reserve on machines with services is for services. */
  private Room freeFor(JobSpec spec, Host host) {
    if (!host.services || spec.rank() == Rank.PROD) {
      return host.free;
    }
    MachineType type = world.types.get(host.blockClass.flavour());
    double reserve = world.policy.reserve(type, host.blockClass.hall(), host.blockClass.lendable());
    return host.free.minus(new Room((long) (type.room().cpu() * reserve), 0, 0));
  }
}
