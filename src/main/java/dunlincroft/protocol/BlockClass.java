package dunlincroft.protocol;

/** Machines of one class serve the same jobs: type, zone, and whether they are spot machines. */
public record BlockClass(String machineType, String zone, boolean preemptible) {
  /** As operators read it in the log. */
  @Override
  public String toString() {
    return machineType + "/" + zone + "/" + (preemptible ? "spot" : "ordinary");
  }
}
