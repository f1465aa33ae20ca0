package dunlincroft.membership;

/** How far a controller is believed to be there. */
public enum PeerState {
  /** Heard as regularly as ever. */
  TRUSTED,
  /** Silent for longer than it ever is: successors make ready. It may refute that. */
  SUSPECTED,
  /** Most controllers, we among them, find it gone or lost: its shards may be taken. */
  CONDEMNED
}
