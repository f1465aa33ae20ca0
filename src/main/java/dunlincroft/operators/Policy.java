package dunlincroft.operators;

import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.MalformedException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** The operators' settings. Settings that their file does not contain have default values. */
public final class Policy {
  /** Default values of all settings. */
  public static final Policy DEFAULT = new Policy(Map.of());

  private static final double MILLI = 1000;

  private final Map<Setting, Expression> rules = new EnumMap<>(Setting.class);

  private Policy(Map<Setting, Expression> configured) {
    for (Setting setting : Setting.values()) {
      rules.put(setting, configured.getOrDefault(setting, setting.defaultValue));
    }
  }

  /** Parses a settings file. The exception's message names line and column of the error. */
  public static Policy parse(String file) throws MalformedException {
    return new Policy(Parser.parse(file));
  }

  /** Fraction of a machine's CPUs that may be used; beyond it the machine counts as full. */
  public double loadBound(MachineType type, String zone, boolean spot) {
    return number(Setting.BOUND, machineInputs(type, zone, spot));
  }

  /** Fraction of a machine that runs services which other work must leave free. */
  public double serviceReserve(MachineType type, String zone, boolean spot) {
    return number(Setting.RESERVE, machineInputs(type, zone, spot));
  }

  /**
   * Upper bound of the random buffer that a placement leaves free on a machine, in multiples of the
   * resources of one task.
   */
  public double maxPlacementBuffer(JobSpec spec) {
    return number(Setting.BUFFER, jobInputs(spec));
  }

  /** Number of machines kept free for services in each zone. */
  public double spareMachinesPerZone(MachineType type) {
    return number(Setting.SPARE, typeInputs(type));
  }

  /** Maximum number of rented machines of a type. */
  public int maxRentals(MachineType type) {
    return (int) number(Setting.RENTALS_MOST, typeInputs(type));
  }

  /**
   * Maximum work, in milliseconds, that a task of a job may lose when it is preempted for another
   * team's guarantee.
   */
  public long maxPreemptionLossMs(JobSpec spec) {
    return (long) (number(Setting.PREEMPT_LOSS_S, jobInputs(spec)) * MILLI);
  }

  /** Whether a job that accepts spot (preemptible) machines may be placed on them. */
  public boolean isSpotEnabled(JobSpec spec) {
    return rules.get(Setting.SPOT).bool(jobInputs(spec));
  }

  /** Number of machines for each controller that owns leases. */
  public int machinesPerLeaseOwner() {
    return (int) number(Setting.HOLDER_MACHINES, Inputs.NONE);
  }

  private double number(Setting setting, Inputs inputs) {
    return Math.max(setting.min, Math.min(setting.max, rules.get(setting).number(inputs)));
  }

  private static Inputs machineInputs(MachineType type, String zone, boolean spot) {
    Inputs typeInputs = typeInputs(type);
    return name ->
        switch (name) {
          case "zone" -> zone;
          case "spot" -> spot;
          default -> typeInputs.get(name);
        };
  }

  private static Inputs typeInputs(MachineType type) {
    return name ->
        switch (name) {
          case "type" -> type.label();
          case "cpus" -> type.resources().cpu() / MILLI;
          case "price" -> type.price();
          default -> Inputs.NONE.get(name);
        };
  }

  private static Inputs jobInputs(JobSpec spec) {
    return name ->
        switch (name) {
          case "team" -> spec.team();
          case "class" -> spec.jobclass();
          case "rank" -> spec.rank().name().toLowerCase(Locale.ROOT);
          case "service" -> spec.isService();
          case "tasks" -> (double) spec.taskCount();
          case "cpus" -> spec.resources().cpu() / MILLI;
          default -> Inputs.NONE.get(name);
        };
  }
}
