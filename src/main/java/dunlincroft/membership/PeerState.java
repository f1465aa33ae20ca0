package dunlincroft.membership;

/** Whether a controller is believed to be alive. */
public enum PeerState {
  /** Heard at its usual intervals. */
  TRUSTED,
  /** Silent for longer than usual: successors prepare. It may refute the suspicion. */
  SUSPECTED,
  /**
   * The majority of controllers, this one included, find it ended or unreachable: its shards may be
   * taken over.
   */
  CONDEMNED
}
