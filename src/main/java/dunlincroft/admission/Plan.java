package dunlincroft.admission;

import dunlincroft.Constants;
import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * How a capacity is shared out while more is asked for than it bears. First every flow gets half of
 * what it asks for, whatever its rank, by max-min where there is too little; then come services,
 * then the rest, each by weighted max-min over teams and, within a team, by plain max-min over
 * classes (progressive filling: Bertsekas and Gallager, Data Networks, 6.5.2). Nobody gets more
 * than it asks for, so a flood takes only what others leave. A pure function: whoever sees the same
 * picture has the same plan.
 */
public final class Plan {
  private final double capacity;
  private final Object2DoubleMap<TrafficClass> rates = new Object2DoubleOpenHashMap<>();
  private final int fingerprint;

  private Plan(double capacity, int number) {
    this.capacity = capacity;
    this.fingerprint = number;
  }

  /**
   * Makes the plan.
   *
   * @param capacity acceptances a second, of all controllers together
   * @param demand what each flow asks for, in acceptances a second
   * @param weight of a team, above 0
   */
  public static Plan of(
      double capacity, Map<TrafficClass, Double> demand, ToDoubleFunction<String> weight) {
    List<TrafficClass> classes = new ArrayList<>();
    demand.forEach(
        (trafficClass, demanded) -> {
          if (demanded > 0) {
            classes.add(trafficClass);
          }
        });
    classes.sort(
        Comparator.comparing(TrafficClass::team)
            .thenComparing(TrafficClass::jobclass)
            .thenComparing(TrafficClass::prod));
    Plan plan = new Plan(capacity, fingerprint(capacity, classes, demand));
    double[] unmet = new double[classes.size()];
    double[] equalWeights = new double[classes.size()];
    for (int i = 0; i < unmet.length; i++) {
      unmet[i] = demand.get(classes.get(i));
      equalWeights[i] = 1;
    }
    double[] guarantees = new double[unmet.length];
    double sum = 0;
    for (int i = 0; i < unmet.length; i++) {
      guarantees[i] = Constants.ADMISSION_SERVED * unmet[i];
      sum += guarantees[i];
    }
    double[] granted = weightedMaxMin(guaranteedCapacity(sum, capacity), guarantees, equalWeights);
    double remaining = capacity;
    for (int i = 0; i < unmet.length; i++) {
      unmet[i] -= granted[i];
      remaining -= granted[i];
    }
    for (boolean prod : new boolean[] {true, false}) {
      remaining -= plan.shareByTeam(classes, prod, remaining, unmet, granted, weight);
    }
    for (int i = 0; i < unmet.length; i++) {
      plan.rates.put(classes.get(i), granted[i]);
    }
    return plan;
  }

  /**
   * What goes before all ranks, of a sum of first parts: all of it while it fits, and less the more
   * it is beyond the capacity, down to the floor, so that no estimate's flutter turns the plan.
   */
  private static double guaranteedCapacity(double sum, double capacity) {
    double excess = Math.max(0, sum - capacity);
    return Math.min(sum, Math.max(Constants.ADMISSION_FLOOR * capacity, capacity - excess));
  }

  /** Shares out among the flows of one rank; returns what they took. */
  private double shareByTeam(
      List<TrafficClass> classes,
      boolean prod,
      double remaining,
      double[] unmet,
      double[] granted,
      ToDoubleFunction<String> weight) {
    Map<String, List<Integer>> teams = new TreeMap<>();
    for (int i = 0; i < unmet.length; i++) {
      if (classes.get(i).prod() == prod) {
        teams.computeIfAbsent(classes.get(i).team(), t -> new ArrayList<>()).add(i);
      }
    }
    List<String> names = List.copyOf(teams.keySet());
    double[] demanded =
        names.stream()
            .mapToDouble(team -> teams.get(team).stream().mapToDouble(i -> unmet[i]).sum())
            .toArray();
    double[] teamShares =
        weightedMaxMin(remaining, demanded, names.stream().mapToDouble(weight).toArray());
    double totalGranted = 0;
    for (int t = 0; t < teamShares.length; t++) {
      List<Integer> members = teams.get(names.get(t));
      double[] memberDemand = members.stream().mapToDouble(i -> unmet[i]).toArray();
      double[] equalWeights = members.stream().mapToDouble(i -> 1).toArray();
      double[] memberShares = weightedMaxMin(teamShares[t], memberDemand, equalWeights);
      for (int k = 0; k < memberShares.length; k++) {
        granted[members.get(k)] += memberShares[k];
        totalGranted += memberShares[k];
      }
    }
    return totalGranted;
  }

  /** Weighted max-min: nobody above its demand, and all below it at one level of part by weight. */
  static double[] weightedMaxMin(double capacity, double[] demand, double[] weight) {
    List<Integer> order = new ArrayList<>();
    double remainingWeight = 0;
    for (int i = 0; i < demand.length; i++) {
      order.add(i);
      remainingWeight += weight[i];
    }
    order.sort(Comparator.comparingDouble(i -> demand[i] / weight[i]));
    double[] granted = new double[demand.length];
    double remaining = Math.max(0, capacity);
    for (int i : order) {
      granted[i] = Math.min(demand[i], remaining * weight[i] / remainingWeight);
      remaining -= granted[i];
      remainingWeight -= weight[i];
    }
    return granted;
  }

  private static int fingerprint(
      double capacity, List<TrafficClass> classes, Map<TrafficClass, Double> demand) {
    return Objects.hash(capacity, classes, classes.stream().map(demand::get).toList())
        & Integer.MAX_VALUE;
  }

  /** Acceptances a second of a flow; 0 for one that asked for nothing. */
  public double rate(TrafficClass trafficClass) {
    return rates.getOrDefault(trafficClass, 0);
  }

  /** What was shared out. */
  public double capacity() {
    return capacity;
  }

  /** Equal on all controllers that see the same picture: an answer can be traced to its plan. */
  public int fingerprint() {
    return fingerprint;
  }
}
