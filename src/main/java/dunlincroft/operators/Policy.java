package dunlincroft.operators;

import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.MalformedException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** The operators' own settings; what their file leaves out keeps its preset. */
public final class Policy {
  public static final Policy PRESET = new Policy(Map.of());

  private static final double MILLI = 1000;

  private final Map<Setting, Expression> rules = new EnumMap<>(Setting.class);

  private Policy(Map<Setting, Expression> set) {
    for (Setting setting : Setting.values()) {
      rules.put(setting, set.getOrDefault(setting, setting.preset));
    }
  }

  /** Reads a file; an error names its line and column. */
  public static Policy parse(String file) throws MalformedException {
    return new Policy(Checker.check(file));
  }

  /** Fraction of a machine's cpus at which it is full. */
  public double bound(MachineType type, String zone, boolean spot) {
    return number(Setting.BOUND, machine(type, zone, spot));
  }

  /** Fraction of a machine with services that other work leaves free. */
  public double reserve(MachineType type, String zone, boolean spot) {
    return number(Setting.RESERVE, machine(type, zone, spot));
  }

  /** Most of the random extra that a placement leaves free, in rooms of one task. */
  public double buffer(JobSpec spec) {
    return number(Setting.BUFFER, job(spec));
  }

  /** Machines kept free for services in each zone. */
  public double spare(MachineType type) {
    return number(Setting.SPARE, type(type));
  }

  /** Machines of the type that are rented at the most. */
  public int rentalsMost(MachineType type) {
    return (int) number(Setting.RENTALS_MOST, type(type));
  }

  /** Work that one stopped task may lose for another team's guarantee, by the task's job. */
  public long preemptLossMs(JobSpec spec) {
    return (long) (number(Setting.PREEMPT_LOSS_S, job(spec)) * MILLI);
  }

  /** Whether a job that allows spot machines gets them. */
  public boolean spot(JobSpec spec) {
    return rules.get(Setting.SPOT).truth(job(spec));
  }

  /** Machines for each lease holder. */
  public int holderMachines() {
    return (int) number(Setting.HOLDER_MACHINES, Inputs.NONE);
  }

  private double number(Setting setting, Inputs in) {
    return Math.max(setting.least, Math.min(setting.most, rules.get(setting).number(in)));
  }

  private static Inputs machine(MachineType type, String zone, boolean spot) {
    Inputs more = type(type);
    return name ->
        switch (name) {
          case "zone" -> zone;
          case "spot" -> spot;
          default -> more.get(name);
        };
  }

  private static Inputs type(MachineType type) {
    return name ->
        switch (name) {
          case "type" -> type.label();
          case "cpus" -> type.resources().cpu() / MILLI;
          case "price" -> type.price();
          default -> Inputs.NONE.get(name);
        };
  }

  private static Inputs job(JobSpec spec) {
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
