package dunlincroft.protocol;

/** Machines of one class serve the same jobs: type, zone, and whether they are spot machines. */
public record BlockClass(String flavour, String hall, boolean lendable) {
  /** As operators read it in the log. */
  @Override
  public String toString() {
    return flavour + "/" + hall + "/" + (lendable ? "spot" : "ordinary");
  }
}
