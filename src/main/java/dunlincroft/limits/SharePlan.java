package dunlincroft.limits;

import dunlincroft.protocol.Resources;
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
  private final Map<String, Resources> unused = new TreeMap<>();
  private final Map<String, Resources> reserved = new HashMap<>();

  /** Unused capacity of all shards together that no request has reserved yet. */
  private Resources unreserved = Resources.NONE;

  private SharePlan(Map<String, Resources> parts, Map<String, Resources> used) {
    parts.forEach(
        (shard, part) -> {
          Resources unusedPart =
              withoutMemory(part).minus(withoutMemory(used.getOrDefault(shard, Resources.NONE)));
          Resources free =
              new Resources(Math.max(0, unusedPart.cpu()), Math.max(0, unusedPart.gpu()), 0);
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
      Map<String, Resources> parts,
      Map<String, Resources> used,
      Map<String, Resources> work,
      List<ShareRequest> requests) {
    SharePlan plan = new SharePlan(parts, used);
    plan.reserve(requests);
    Map<String, Resources> shortage = plan.shortfalls();
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
    Resources task = withoutMemory(request.taskResources());
    int tasks = task.countIn(unreserved, Math.max(0, maxTasks));
    unreserved = unreserved.minus(task.times(tasks));
    reserved.merge(request.shard(), task.times(tasks), Resources::plus);
  }

  /** What shards lack for the tasks that they have reserved capacity for. */
  private Map<String, Resources> shortfalls() {
    Map<String, Resources> shortage = new TreeMap<>();
    reserved.forEach(
        (shard, resources) -> {
          Resources shortfall =
              nonNegative(resources.minus(unused.getOrDefault(shard, Resources.NONE)));
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
  private Map<String, Resources> shareByWork(
      Map<String, Resources> parts, Map<String, Resources> work) {
    Map<String, Resources> shortage = new TreeMap<>();
    Resources totalWork = work.values().stream().reduce(Resources.NONE, Resources::plus);
    Resources spare = unreserved;
    for (Map.Entry<String, Resources> entry : work.entrySet()) {
      String shard = entry.getKey();
      Resources part = parts.getOrDefault(shard, Resources.NONE);
      Resources target = proportion(spare, entry.getValue(), totalWork);
      Resources current = available(shard);
      boolean needsCpu = entry.getValue().cpu() > part.cpu() && current.cpu() < target.cpu() / 2;
      boolean needsGpu = entry.getValue().gpu() > part.gpu() && current.gpu() < target.gpu() / 2;
      if (needsCpu || needsGpu) {
        shortage.put(
            shard,
            new Resources(
                needsCpu ? target.cpu() - current.cpu() : 0,
                needsGpu ? target.gpu() - current.gpu() : 0,
                0));
      }
      // No shard gives away what it needs for its own target.
      reserved.merge(
          shard,
          new Resources(
              Math.min(current.cpu(), target.cpu()), Math.min(current.gpu(), target.gpu()), 0),
          Resources::plus);
    }
    return shortage;
  }

  /** What a shard has unused beyond what is reserved for it. */
  private Resources available(String shard) {
    Resources unusedHere = unused.getOrDefault(shard, Resources.NONE);
    return nonNegative(unusedHere.minus(reserved.getOrDefault(shard, Resources.NONE)));
  }

  /**
   * Shards with the most available capacity give first, which keeps the number of transfers low.
   */
  private List<Transfer> match(Map<String, Resources> shortage) {
    List<Transfer> transfers = new ArrayList<>();
    Map<String, Resources> unmet = new TreeMap<>(shortage);
    unused.keySet().stream()
        .sorted(Comparator.comparingLong((String shard) -> -available(shard).cpu()))
        .forEach(
            from -> {
              Resources offered = available(from);
              for (Map.Entry<String, Resources> shortfall : unmet.entrySet()) {
                Resources amount = componentMin(offered, shortfall.getValue());
                if (amount.cpu() + amount.gpu() > 0 && !shortfall.getKey().equals(from)) {
                  transfers.add(new Transfer(from, shortfall.getKey(), amount));
                  offered = offered.minus(amount);
                  shortfall.setValue(shortfall.getValue().minus(amount));
                }
              }
            });
    return transfers;
  }

  private static Resources withoutMemory(Resources resources) {
    return new Resources(resources.cpu(), resources.gpu(), 0);
  }

  private static Resources nonNegative(Resources resources) {
    return new Resources(Math.max(0, resources.cpu()), Math.max(0, resources.gpu()), 0);
  }

  private static Resources componentMin(Resources one, Resources other) {
    return new Resources(Math.min(one.cpu(), other.cpu()), Math.min(one.gpu(), other.gpu()), 0);
  }

  /**
   * The part of the resources in proportion to work. Computed in doubles, because limits can be so
   * large that a product of longs would overflow.
   */
  private static Resources proportion(Resources resources, Resources work, Resources totalWork) {
    return new Resources(
        totalWork.cpu() == 0 ? 0 : (long) ((double) resources.cpu() * work.cpu() / totalWork.cpu()),
        totalWork.gpu() == 0 ? 0 : (long) ((double) resources.gpu() * work.gpu() / totalWork.gpu()),
        0);
  }
}
