package dunlincroft.operators;

import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.MalformedException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** The operators' own settings; what their file leaves out keeps its preset. */
public final class Policy {
  public static final Policy DEFAULT = new Policy(Map.of());

  private static final double MILLI = 1000;

  private final Map<Setting, Expression> rules = new EnumMap<>(Setting.class);

  private Policy(Map<Setting, Expression> configured) {
    for (Setting setting : Setting.values()) {
      rules.put(setting, configured.getOrDefault(setting, setting.defaultValue));
    }
  }

  /** Reads a file; an error names its line and column. */
  public static Policy parse(String file) throws MalformedException {
    return new Policy(Parser.parse(file));
  }

  /** Fraction of a machine's cpus at which it is full. */
  public double loadBound(MachineType type, String zone, boolean spot) {
    return number(Setting.BOUND, machineInputs(type, zone, spot));
  }

  /** Fraction of a machine with services that other work leaves free. */
  public double serviceReserve(MachineType type, String zone, boolean spot) {
    return number(Setting.RESERVE, machineInputs(type, zone, spot));
  }

  /** Most of the random extra that a placement leaves free, in rooms of one task. */
  public double maxPlacementBuffer(JobSpec spec) {
    return number(Setting.BUFFER, jobInputs(spec));
  }

  /** Machines kept free for services in each zone. */
  public double spareMachinesPerZone(MachineType type) {
    return number(Setting.SPARE, typeInputs(type));
  }

  /** Machines of the type that are rented at the most. */
  public int maxRentals(MachineType type) {
    return (int) number(Setting.RENTALS_MOST, typeInputs(type));
  }

  /** Work that one stopped task may lose for another team's guarantee, by the task's job. */
  public long maxPreemptionLossMs(JobSpec spec) {
    return (long) (number(Setting.PREEMPT_LOSS_S, jobInputs(spec)) * MILLI);
  }

  /** Whether a job that allows spot machines gets them. */
  public boolean isSpotEnabled(JobSpec spec) {
    return rules.get(Setting.SPOT).bool(jobInputs(spec));
  }

  /** Machines for each lease holder. */
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
