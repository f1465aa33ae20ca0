package dunlincroft.coordination;

/**
 * Why a machine gets no new work. Every event leads from each reason to exactly one. A release that
 * was requested is no reason of its own: while it is under way, {@link MachineLifecycle} keeps work
 * away, and if the cloud refuses it, whatever reason there was still holds.
 */
enum DrainReason {
  /** The machine is not drained. */
  NONE("not drained"),

  /** The machine exceeds the demand. */
  SURPLUS("surplus"),

  /** The cloud provider has announced to reclaim the machine. */
  RECLAIMED("notice"),

  /** The machine fails the tasks that it starts. */
  SICK("sick"),

  /** The cloud provider lists the machine as stopped. */
  STOPPED("failed");

  private final String label;

  DrainReason(String label) {
    this.label = label;
  }

  boolean isDraining() {
    return this != NONE;
  }

  /** Demand has fallen below the supply. */
  DrainReason onSurplus() {
    return this == NONE ? SURPLUS : this;
  }

  /** The machine is needed after all. */
  DrainReason onNeeded() {
    return this == SURPLUS ? NONE : this;
  }

  /** The worker reports a reclaim notice. */
  DrainReason onReclaimNotice() {
    return this == NONE || this == SURPLUS ? RECLAIMED : this;
  }

  /** The worker reports no reclaim notice (any more). */
  DrainReason onNoReclaimNotice() {
    return this == RECLAIMED ? NONE : this;
  }

  /** The machine has failed too many tasks in a row. */
  DrainReason onSickness() {
    return this == STOPPED ? this : SICK;
  }

  /** The cloud provider lists the machine as stopped. */
  DrainReason onStopped() {
    return STOPPED;
  }

  /** The reason as the log names it. */
  @Override
  public String toString() {
    return label;
  }
}
