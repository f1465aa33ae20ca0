package dunlincroft.membership;

/** What acts for shards; membership tells it when to begin, to make ready, and to stop. */
public interface ShardListener {
  /** Whether we act for a shard now. */
  boolean owns(String shard);

  /** Stamp of the shard's record under which we act for it; 0 if we do not. */
  long stamp(String shard);

  /** Begins to act for a shard: its record names us, and all that was written before is read. */
  void acquire(String shard, long stamp);

  /** Stops acting for a shard: somebody else does. */
  void release(String shard);

  /**
   * We are first in line for a shard that has machines: what can be read ahead is read, now and
   * then, and at once when its holder is {@code suspected}. Told again and again.
   */
  void prepareTakeover(boolean suspected);

  /**
   * Another controller has told a user that a job is cancelled; we have not read it yet. Its tasks
   * may be stopped, which is safe; nothing may be told or recorded on the strength of it.
   */
  void cancelledByPeer(String job);
}
