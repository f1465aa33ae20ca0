package dunlincroft.limits;

import dunlincroft.protocol.Room;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which shards transfer unused parts of a team's limit to which others. A pure function of
 * the records, so that all shard owners compute the same plan: requests are served in one order,
 * and unused parts of all shards are moved to the shard of the first request that lacks capacity.
 * Memory is not limited and is left out of all sums.
 */
public final class SharePlan {
  private final Map<String, Room> unused = new TreeMap<>();
  private final Map<String, Room> reserved = new HashMap<>();

  /** Unused capacity of all shards together that no request has reserved yet. */
  private Room unreserved = Room.NONE;

  private SharePlan(Map<String, Room> parts, Map<String, Room> used) {
    parts.forEach(
        (shard, part) -> {
          Room unusedPart =
              withoutMemory(part).minus(withoutMemory(used.getOrDefault(shard, Room.NONE)));
          Room free = new Room(Math.max(0, unusedPart.cpu()), Math.max(0, unusedPart.gpu()), 0);
          unused.put(shard, free);
          unreserved = unreserved.plus(free);
        });
  }

  /**
   * Plans the transfers for one team.
   *
   * @param parts each shard's part of the limit
   * @param used the resources of each shard's running tasks
   * @param work the resources of all unfinished work of each shard, running tasks included
   * @param requests waiting tasks, in the order in which they are served
   */
  public static List<Transfer> transfers(
      Map<String, Room> parts,
      Map<String, Room> used,
      Map<String, Room> work,
      List<ShareRequest> requests) {
    SharePlan plan = new SharePlan(parts, used);
    plan.reserve(requests);
    Map<String, Room> shortage = plan.shortfalls();
    if (shortage.isEmpty()) {
      shortage = plan.shareByWork(parts, work);
    }
    return plan.match(shortage);
  }

  /** Reserves one task for every request, in order, before any request gets more. */
  private void reserve(List<ShareRequest> requests) {
    for (ShareRequest request : requests) {
      reserve(request, Math.min(1, request.tasks()));
    }
    for (ShareRequest request : requests) {
      reserve(request, request.tasks() - 1);
    }
  }

  private void reserve(ShareRequest request, int maxTasks) {
    Room task = withoutMemory(request.taskResources());
    int tasks = task.countIn(unreserved, Math.max(0, maxTasks));
    unreserved = unreserved.minus(task.times(tasks));
    reserved.merge(request.shard(), task.times(tasks), Room::plus);
  }

  /** What shards lack for the tasks that they have reserved capacity for. */
  private Map<String, Room> shortfalls() {
    Map<String, Room> shortage = new TreeMap<>();
    reserved.forEach(
        (shard, resources) -> {
          Room shortfall = nonNegative(resources.minus(unused.getOrDefault(shard, Room.NONE)));
          if (shortfall.cpu() + shortfall.gpu() > 0) {
            shortage.put(shard, shortfall);
          }
        });
    return shortage;
  }

  /**
   * Used when no request lacks capacity: distributes what is unreserved in proportion to unfinished
   * work, so that new tasks can start at their own shard at once. A shard whose part covers all of
   * its work, or that has at least half of its target, gets nothing; otherwise two shards would
   * transfer the same part back and forth.
   */
  private Map<String, Room> shareByWork(Map<String, Room> parts, Map<String, Room> work) {
    Map<String, Room> shortage = new TreeMap<>();
    Room totalWork = work.values().stream().reduce(Room.NONE, Room::plus);
    Room spare = unreserved;
    for (Map.Entry<String, Room> entry : work.entrySet()) {
      String shard = entry.getKey();
      Room part = parts.getOrDefault(shard, Room.NONE);
      Room target = proportion(spare, entry.getValue(), totalWork);
      Room current = available(shard);
      boolean needsCpu = entry.getValue().cpu() > part.cpu() && current.cpu() < target.cpu() / 2;
      boolean needsGpu = entry.getValue().gpu() > part.gpu() && current.gpu() < target.gpu() / 2;
      if (needsCpu || needsGpu) {
        shortage.put(
            shard,
            new Room(
                needsCpu ? target.cpu() - current.cpu() : 0,
                needsGpu ? target.gpu() - current.gpu() : 0,
                0));
      }
      // No shard gives away what it needs for its own target.
      reserved.merge(
          shard,
          new Room(Math.min(current.cpu(), target.cpu()), Math.min(current.gpu(), target.gpu()), 0),
          Room::plus);
    }
    return shortage;
  }

  /** What a shard has unused beyond what is reserved for it. */
  private Room available(String shard) {
    Room unusedHere = unused.getOrDefault(shard, Room.NONE);
    return nonNegative(unusedHere.minus(reserved.getOrDefault(shard, Room.NONE)));
  }

  /**
   * Shards with the most available capacity give first, which keeps the number of transfers low.
   */
  private List<Transfer> match(Map<String, Room> shortage) {
    List<Transfer> transfers = new ArrayList<>();
    Map<String, Room> unmet = new TreeMap<>(shortage);
    unused.keySet().stream()
        .sorted(Comparator.comparingLong((String shard) -> -available(shard).cpu()))
        .forEach(
            from -> {
              Room offered = available(from);
              for (Map.Entry<String, Room> shortfall : unmet.entrySet()) {
                Room amount = componentMin(offered, shortfall.getValue());
                if (amount.cpu() + amount.gpu() > 0 && !shortfall.getKey().equals(from)) {
                  transfers.add(new Transfer(from, shortfall.getKey(), amount));
                  offered = offered.minus(amount);
                  shortfall.setValue(shortfall.getValue().minus(amount));
                }
              }
            });
    return transfers;
  }

  private static Room withoutMemory(Room resources) {
    return new Room(resources.cpu(), resources.gpu(), 0);
  }

  private static Room nonNegative(Room resources) {
    return new Room(Math.max(0, resources.cpu()), Math.max(0, resources.gpu()), 0);
  }

  private static Room componentMin(Room one, Room other) {
    return new Room(Math.min(one.cpu(), other.cpu()), Math.min(one.gpu(), other.gpu()), 0);
  }

  /**
   * The part of the resources in proportion to work. Computed in doubles, because limits can be so
   * large that a product of longs would overflow.
   */
  private static Room proportion(Room resources, Room work, Room totalWork) {
    return new Room(
        totalWork.cpu() == 0 ? 0 : (long) ((double) resources.cpu() * work.cpu() / totalWork.cpu()),
        totalWork.gpu() == 0 ? 0 : (long) ((double) resources.gpu() * work.gpu() / totalWork.gpu()),
        0);
  }
}
