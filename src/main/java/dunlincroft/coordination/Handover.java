package dunlincroft.coordination;

import dunlincroft.bookkeeping.Replica;
import dunlincroft.membership.Membership;
import java.util.HashSet;
import java.util.Set;

/** What owners of shards give to each other while several shards have machines, or had them. */
final class Handover {
  private final ClusterState world;
  private final Membership members;
  private final MachineHandover machines;
  private final ShareHandover shares;

  Handover(ClusterState world, Membership members, Demand demand) {
    this.world = world;
    this.members = members;
    HandoverWriter writer = new HandoverWriter(world);
    machines = new MachineHandover(world, members, demand, writer);
    shares = new ShareHandover(world, demand, writer);
  }

  void tick() {
    Set<String> shards = new HashSet<>(members.leasedShards());
    world.blocks.all().forEach(block -> shards.add(block.record().shard()));
    world
        .replica
        .items(Replica.SHARES)
        .values()
        .forEach(item -> item.data().fieldNames().forEachRemaining(shards::add));
    if (shards.size() < 2) {
      return;
    }
    RecordedCapacity room = new RecordedCapacity(world);
    machines.tick(room);
    shares.tick(shards.size(), room);
  }
}
