package dunlincroft.coordination;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;

/**
 * Starts that were sent to one worker as direct commands, each with the highest fence under which
 * it was sent.
 *
 * <p>A command may be carried out more than once, and a copy of it remains valid until the worker
 * has seen a higher fence, even if the command was answered. The worker ignores a copy of a start
 * while it still reports the attempt. Once the attempt is discarded, the copy would start it again.
 */
final class DirectStarts {
  private final Object2LongOpenHashMap<String> fenceByTask = new Object2LongOpenHashMap<>();

  /** A start of a task was sent under a fence. */
  void onSent(String task, long fence) {
    fenceByTask.merge(task, fence, Math::max);
  }

  /** The worker has seen a fence: starts that were sent under lower ones are void. */
  void onFenceSeen(long fence) {
    fenceByTask.object2LongEntrySet().removeIf(entry -> entry.getLongValue() < fence);
  }

  /** Whether a copy of a start of this task may still be carried out. */
  boolean isRepeatable(String task) {
    return fenceByTask.containsKey(task);
  }
}
