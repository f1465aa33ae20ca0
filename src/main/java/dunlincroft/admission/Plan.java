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
 * How capacity is shared among traffic classes under overload. First every class is guaranteed half
 * of its demand, regardless of rank, by max-min fairness where the capacity is too small for that.
 * Then services are served, then all others, each by weighted max-min over teams and, within a
 * team, by plain max-min over classes (progressive filling: Bertsekas and Gallager, Data Networks,
 * 6.5.2). No class gets more than its demand, so a flood gets only what others leave. A pure
 * function: controllers with the same snapshot compute the same plan.
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
   * Computes the plan.
   *
   * @param capacity acceptances a second, of all controllers together
   * @param demand demand of each class, in acceptances a second
   * @param weight weight of a team, above 0
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
      guarantees[i] = Constants.GUARANTEED_DEMAND_FRACTION * unmet[i];
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
   * Capacity for the guaranteed parts, of which {@code sum} is wanted: all of it while it fits, and
   * less the more it exceeds the capacity, down to the floor. The gradual reduction keeps small
   * changes of the estimated demand from changing the plan abruptly.
   */
  private static double guaranteedCapacity(double sum, double capacity) {
    double excess = Math.max(0, sum - capacity);
    return Math.min(
        sum, Math.max(Constants.GUARANTEED_CAPACITY_FRACTION * capacity, capacity - excess));
  }

  /** Shares capacity among the classes of one rank; returns how much they were granted. */
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

  /**
   * Weighted max-min: nobody gets more than its demand, and all that get less have the same ratio
   * of share to weight.
   */
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

  /** Acceptances a second of a class; 0 for one without demand. */
  public double rate(TrafficClass trafficClass) {
    return rates.getOrDefault(trafficClass, 0);
  }

  /** The capacity that was shared. */
  public double capacity() {
    return capacity;
  }

  /**
   * Hash of the inputs, equal on all controllers with the same snapshot: it identifies the plan in
   * the logs.
   */
  public int fingerprint() {
    return fingerprint;
  }
}
