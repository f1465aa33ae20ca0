package dunlincroft.limits;

import dunlincroft.protocol.Room;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which shards give unused parts of one team's limit to which others. A pure function of
 * the records, so that all owners of shards come to the same plan from the same records: claims are
 * served in one order, and whatever is unused anywhere is gathered at the shard of the first claim
 * that lacks it. Memory is no part of a limit and is left out of all sums.
 */
public final class SharePlan {
  private final Map<String, Room> unused = new TreeMap<>();
  private final Map<String, Room> reserved = new HashMap<>();

  /** What no claim has reserved yet, of all shards together. */
  private Room left = Room.NONE;

  private SharePlan(Map<String, Room> parts, Map<String, Room> used) {
    parts.forEach(
        (shard, part) -> {
          Room rest = limited(part).minus(limited(used.getOrDefault(shard, Room.NONE)));
          Room free = new Room(Math.max(0, rest.cpu()), Math.max(0, rest.gpu()), 0);
          unused.put(shard, free);
          left = left.plus(free);
        });
  }

  /**
   * Plans for one team.
   *
   * @param parts each shard's part of the limit
   * @param used what the tasks of each shard take of it
   * @param work what all open work of each shard takes, running work included
   * @param claims waiting tasks, who is served first first
   */
  public static List<Transfer> transfers(
      Map<String, Room> parts, Map<String, Room> used, Map<String, Room> work, List<Claim> claims) {
    SharePlan plan = new SharePlan(parts, used);
    plan.reserve(claims);
    Map<String, Room> missing = plan.missing();
    if (missing.isEmpty()) {
      missing = plan.headroom(parts, work);
    }
    return plan.match(missing);
  }

  /** Every claim gets one task's room, in order, before any gets more. */
  private void reserve(List<Claim> claims) {
    for (Claim claim : claims) {
      reserve(claim, Math.min(1, claim.tasks()));
    }
    for (Claim claim : claims) {
      reserve(claim, claim.tasks() - 1);
    }
  }

  private void reserve(Claim claim, int most) {
    Room task = limited(claim.task());
    int tasks = task.countIn(left, Math.max(0, most));
    left = left.minus(task.times(tasks));
    reserved.merge(claim.shard(), task.times(tasks), Room::plus);
  }

  /** What shards lack for the tasks that they have reserved room for. */
  private Map<String, Room> missing() {
    Map<String, Room> missing = new TreeMap<>();
    reserved.forEach(
        (shard, room) -> {
          Room lack = positive(room.minus(unused.getOrDefault(shard, Room.NONE)));
          if (lack.cpu() + lack.gpu() > 0) {
            missing.put(shard, lack);
          }
        });
    return missing;
  }

  /**
   * When nobody waits for a part, what is left goes by the open work, so that new tasks find a part
   * at their own shard. A shard whose part covers all its work, or that has half of its due, asks
   * for nothing: two shards would give the same part to and fro.
   */
  private Map<String, Room> headroom(Map<String, Room> parts, Map<String, Room> work) {
    Map<String, Room> missing = new TreeMap<>();
    Room all = work.values().stream().reduce(Room.NONE, Room::plus);
    Room spare = left;
    for (Map.Entry<String, Room> entry : work.entrySet()) {
      String shard = entry.getKey();
      Room part = parts.getOrDefault(shard, Room.NONE);
      Room due = proportion(spare, entry.getValue(), all);
      Room has = rest(shard);
      boolean needsCpu = entry.getValue().cpu() > part.cpu() && has.cpu() < due.cpu() / 2;
      boolean needsGpu = entry.getValue().gpu() > part.gpu() && has.gpu() < due.gpu() / 2;
      if (needsCpu || needsGpu) {
        missing.put(
            shard,
            new Room(
                needsCpu ? due.cpu() - has.cpu() : 0, needsGpu ? due.gpu() - has.gpu() : 0, 0));
      }
      // Nobody gives below its own due.
      reserved.merge(
          shard,
          new Room(Math.min(has.cpu(), due.cpu()), Math.min(has.gpu(), due.gpu()), 0),
          Room::plus);
    }
    return missing;
  }

  /** What a shard has beyond what is reserved there. */
  private Room rest(String shard) {
    Room has = unused.getOrDefault(shard, Room.NONE);
    return positive(has.minus(reserved.getOrDefault(shard, Room.NONE)));
  }

  /** Who has the most beyond its own claims gives first: so few changes as can be. */
  private List<Transfer> match(Map<String, Room> missing) {
    List<Transfer> transfers = new ArrayList<>();
    Map<String, Room> open = new TreeMap<>(missing);
    unused.keySet().stream()
        .sorted(Comparator.comparingLong((String shard) -> -rest(shard).cpu()))
        .forEach(
            from -> {
              Room gives = rest(from);
              for (Map.Entry<String, Room> lack : open.entrySet()) {
                Room gift = least(gives, lack.getValue());
                if (gift.cpu() + gift.gpu() > 0 && !lack.getKey().equals(from)) {
                  transfers.add(new Transfer(from, lack.getKey(), gift));
                  gives = gives.minus(gift);
                  lack.setValue(lack.getValue().minus(gift));
                }
              }
            });
    return transfers;
  }

  private static Room limited(Room room) {
    return new Room(room.cpu(), room.gpu(), 0);
  }

  private static Room positive(Room room) {
    return new Room(Math.max(0, room.cpu()), Math.max(0, room.gpu()), 0);
  }

  private static Room least(Room one, Room other) {
    return new Room(Math.min(one.cpu(), other.cpu()), Math.min(one.gpu(), other.gpu()), 0);
  }

  /** The part of a room that goes by work; in doubles, as limits may be as good as none. */
  private static Room proportion(Room room, Room work, Room all) {
    return new Room(
        all.cpu() == 0 ? 0 : (long) ((double) room.cpu() * work.cpu() / all.cpu()),
        all.gpu() == 0 ? 0 : (long) ((double) room.gpu() * work.gpu() / all.gpu()),
        0);
  }
}
