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
   * Plans for one team.
   *
   * @param parts each shard's part of the limit
   * @param used what the tasks of each shard take of it
   * @param work what all open work of each shard takes, running work included
   * @param requests waiting tasks, who is served first first
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

  /** Every claim gets one task's room, in order, before any gets more. */
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

  /** What shards lack for the tasks that they have reserved room for. */
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
   * When nobody waits for a part, what is left goes by the open work, so that new tasks find a part
   * at their own shard. A shard whose part covers all its work, or that has half of its due, asks
   * for nothing: two shards would give the same part to and fro.
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
      // Nobody gives below its own due.
      reserved.merge(
          shard,
          new Room(Math.min(current.cpu(), target.cpu()), Math.min(current.gpu(), target.gpu()), 0),
          Room::plus);
    }
    return shortage;
  }

  /** What a shard has beyond what is reserved there. */
  private Room available(String shard) {
    Room unusedHere = unused.getOrDefault(shard, Room.NONE);
    return nonNegative(unusedHere.minus(reserved.getOrDefault(shard, Room.NONE)));
  }

  /** Who has the most beyond its own claims gives first: so few changes as can be. */
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

  /** The part of a room that goes by work; in doubles, as limits may be as good as none. */
  private static Room proportion(Room resources, Room work, Room totalWork) {
    return new Room(
        totalWork.cpu() == 0 ? 0 : (long) ((double) resources.cpu() * work.cpu() / totalWork.cpu()),
        totalWork.gpu() == 0 ? 0 : (long) ((double) resources.gpu() * work.gpu() / totalWork.gpu()),
        0);
  }
}
