package dunlincroft.membership;

/**
 * Called by membership when a shard is acquired or released, or its takeover should be prepared.
 */
public interface ShardListener {
  /** Whether this node acts as the shard's owner now. */
  boolean owns(String shard);

  /** Stamp of the shard's record under which this node owns it; 0 if it does not. */
  long stamp(String shard);

  /**
   * Starts to act as the shard's owner: its record names this node, and all earlier writes have
   * been read.
   */
  void acquire(String shard, long stamp);

  /** Stops acting as the shard's owner, because another node is. */
  void release(String shard);

  /**
   * This node is the first successor for a shard that has machines: data needed for a takeover may
   * be read ahead from time to time, and at once if the owner is {@code suspected}. Called
   * repeatedly.
   */
  void prepareTakeover(boolean suspected);

  /**
   * Another controller has acknowledged a job's cancellation to a user; this node has not read it
   * yet. The job's tasks may be stopped, which is safe, but nothing may be acknowledged or recorded
   * because of it.
   */
  void cancelledByPeer(String job);
}
