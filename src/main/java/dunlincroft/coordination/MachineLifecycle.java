package dunlincroft.coordination;

/**
 * Progress of a machine's release to the cloud. Every event leads from each state to exactly one
 * state.
 */
enum MachineLifecycle {
  /** The machine runs tasks, or will once it has booted. */
  IN_USE,
  /** The release was requested and the cloud has not answered yet. */
  RELEASING,
  /** The cloud has confirmed the release; the block record still names the machine. */
  RELEASED,
  /**
   * This node does not own the machine any more; placement orders computed earlier may still
   * contain it.
   */
  DROPPED;

  MachineLifecycle onReleaseAsked() {
    return this == IN_USE ? RELEASING : this;
  }

  /** The cloud did not confirm the release, which may therefore be requested again. */
  MachineLifecycle onReleaseFailed() {
    return this == RELEASING ? IN_USE : this;
  }

  MachineLifecycle onReleaseConfirmed() {
    return this == RELEASING ? RELEASED : this;
  }
}
