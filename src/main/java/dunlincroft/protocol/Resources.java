package dunlincroft.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Amounts of processors, accelerators and memory in GB, each in thousandths, so that sums and
 * comparisons are exact.
 */
public record Resources(long cpu, long gpu, long ram) {
  public static final Resources NONE = new Resources(0, 0, 0);
  private static final double UNITS_PER_WHOLE = 1000.0;

  /** Parses the demand of a task; rounded up, so that rounding never overcommits a machine. */
  static Resources parse(JsonNode map) throws MalformedException {
    return new Resources(
        roundUp(Fields.amount(map, "cpus")),
        roundUp(Fields.amount(map, "gpus")),
        roundUp(Fields.amount(map, "ramGb")));
  }

  /** The capacity of a machine or the limit of a team; rounded down. */
  public static Resources roundedDown(double cpus, double gpus, double ramGb) {
    return new Resources(roundDown(cpus), roundDown(gpus), roundDown(ramGb));
  }

  private static long roundUp(double amount) {
    return (long) Math.min(Math.ceil(amount * UNITS_PER_WHOLE - 1e-6), Long.MAX_VALUE / 1e6);
  }

  private static long roundDown(double amount) {
    return (long) Math.min(Math.floor(amount * UNITS_PER_WHOLE + 1e-6), Long.MAX_VALUE / 1e6);
  }

  void write(ObjectNode map) {
    map.put("cpus", cpu / UNITS_PER_WHOLE)
        .put("gpus", gpu / UNITS_PER_WHOLE)
        .put("ramGb", ram / UNITS_PER_WHOLE);
  }

  public Resources plus(Resources other) {
    return new Resources(cpu + other.cpu, gpu + other.gpu, ram + other.ram);
  }

  public Resources minus(Resources other) {
    return new Resources(cpu - other.cpu, gpu - other.gpu, ram - other.ram);
  }

  public Resources times(long n) {
    return new Resources(cpu * n, gpu * n, ram * n);
  }

  /** Whether this demand fits into a capacity. */
  public boolean fitsInto(Resources capacity) {
    return cpu <= capacity.cpu && gpu <= capacity.gpu && ram <= capacity.ram;
  }

  /** How many times these resources fit into {@code free}, at most {@code limit}. */
  public int countIn(Resources free, int limit) {
    long n = limit;
    if (cpu > 0) {
      n = Math.min(n, free.cpu / cpu);
    }
    if (gpu > 0) {
      n = Math.min(n, free.gpu / gpu);
    }
    if (ram > 0) {
      n = Math.min(n, free.ram / ram);
    }
    return free.cpu < 0 || free.gpu < 0 || free.ram < 0 ? 0 : (int) Math.max(0, n);
  }
}
