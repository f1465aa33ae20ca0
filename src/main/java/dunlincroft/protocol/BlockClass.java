package dunlincroft.protocol;

/**
 * Machine type, zone, and whether the machines are preemptible (spot): machines that agree in these
 * are interchangeable for jobs.
 */
public record BlockClass(String machineType, String zone, boolean preemptible) {
  /** The form in which the log shows it to operators. */
  @Override
  public String toString() {
    return machineType + "/" + zone + "/" + (preemptible ? "spot" : "ordinary");
  }
}
