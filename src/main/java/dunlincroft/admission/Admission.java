package dunlincroft.admission;

import dunlincroft.Constants;
import dunlincroft.protocol.Hashing;
import dunlincroft.transport.PeerHeartbeat.ClassDemand;
import dunlincroft.transport.PeerHeartbeat.Load;
import dunlincroft.transport.PeerHeartbeat.RetryReservation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admission control: decides which submissions are accepted while more arrive than the write rate
 * of the state service allows. All controllers exchange their load and compute the same {@link
 * Plan} from it; each admits its own part. A refused submission is told when to retry; that
 * reservation is known to all controllers, so the retry is recognised at any of them. No submission
 * is queued here: each is answered at once.
 *
 * <p>This class only decides when a submission is tried. Whether a job is accepted is decided by a
 * guarded write. All times are in milliseconds of one monotonic clock. No I/O is done here.
 */
public final class Admission {
  private static final Logger LOG = LoggerFactory.getLogger(Admission.class);

  /** Stands for all traffic classes that do not fit into a heartbeat. */
  private static final String OTHER_CLASSES = "*";

  /**
   * The decision on a submission: it is tried now, or it is to be retried after {@code retryAfterS}
   * seconds.
   */
  public record Verdict(boolean admitted, int retryAfterS) {
    static final Verdict ADMITTED = new Verdict(true, 0);
  }

  /** Load of one traffic class at this controller, and its retry slots. */
  private static final class ClassState {
    /** First submissions (retries not counted) per second, smoothed. */
    double requestRate;

    int arrivals;

    /** Submissions admitted at this controller per second, smoothed. */
    double admittedRate;

    int recentlyAdmitted;

    /** Retry slots before this time are already reserved. */
    double reservedUntil;

    int admitted;
    int refused;

    /** Refused submissions with a reserved slot that have not been retried yet. */
    int pendingRetries;
  }

  private final String self;
  private final ToDoubleFunction<String> weight;
  private final LoadSnapshot snapshot = new LoadSnapshot();
  private final RetryReservations reservations = new RetryReservations();
  private final Map<TrafficClass, ClassState> states = new HashMap<>();
  private Plan plan;
  private int deferredSincePlan;

  /** Reduces this controller's planned rates where they add up to more than its own capacity. */
  private double scale = 1;

  /**
   * Cache for the current plan: the rate that each class would get if its demand were unlimited.
   */
  private final Map<TrafficClass, Double> saturatedRates = new HashMap<>();

  private double localCapacity;
  private long tickedAt;
  private long overloadedAt = Long.MIN_VALUE / 2;

  /**
   * @param self name of this controller
   * @param weight weight of a team, above 0, in the shares of teams that ask for more than is
   *     available
   */
  public Admission(String self, ToDoubleFunction<String> weight) {
    this.self = self;
    this.weight = weight;
    plan = Plan.of(0, Map.of(), weight);
  }

  // ---- load snapshot ----

  /** Takes in another controller's load and the reservations that it made. */
  public void loadReceived(String node, Load load, long nowMs) {
    snapshot.update(node, load, nowMs);
    for (RetryReservation promise : load.retryReservations()) {
      reservations.store(promise.jobHash(), nowMs + promise.dueInMs(), promise.tentative());
    }
  }

  /** The load and the new reservations of this controller, to be sent to its peers. */
  public Load load(long nowMs) {
    return new Load(localCapacity, reportedClasses(), reservations.announced(nowMs));
  }

  /** The classes with the highest demand; those that do not fit into a heartbeat are summed up. */
  private List<ClassDemand> reportedClasses() {
    List<ClassDemand> classes = new ArrayList<>();
    states.forEach(
        (trafficClass, state) -> {
          double demanded =
              Math.max(
                  state.requestRate,
                  state.pendingRetries / (double) Constants.MAX_RETRY_SLOT_DELAY_S);
          if (demanded > Constants.MIN_SUBMISSIONS_PER_S) {
            classes.add(
                new ClassDemand(
                    trafficClass.team(), trafficClass.jobclass(), trafficClass.prod(), demanded));
          }
        });
    classes.sort(Comparator.comparingDouble(ClassDemand::demandRate).reversed());
    if (classes.size() <= Constants.HEARTBEAT_TRAFFIC_CLASSES) {
      return classes;
    }
    List<ClassDemand> reported =
        new ArrayList<>(classes.subList(0, Constants.HEARTBEAT_TRAFFIC_CLASSES));
    for (boolean prod : new boolean[] {true, false}) {
      double remainder =
          classes.stream()
              .skip(Constants.HEARTBEAT_TRAFFIC_CLASSES)
              .filter(trafficClass -> trafficClass.prod() == prod)
              .mapToDouble(ClassDemand::demandRate)
              .sum();
      reported.add(new ClassDemand(OTHER_CLASSES, OTHER_CLASSES, prod, remainder));
    }
    return reported;
  }

  /**
   * Recomputes the plan; called a few times a second.
   *
   * @param acceptsPerSecond acceptances a second that this controller can write
   */
  public void tick(double acceptsPerSecond, long nowMs) {
    double seconds = Math.max(0.001, (nowMs - tickedAt) / 1000.0);
    double decay = Math.exp(-seconds / Constants.SUBMISSION_RATE_SMOOTHING_S);
    tickedAt = nowMs;
    localCapacity = acceptsPerSecond;
    states
        .values()
        .removeIf(
            state -> {
              state.requestRate =
                  state.requestRate * decay + state.arrivals / seconds * (1 - decay);
              state.arrivals = 0;
              state.admittedRate =
                  state.admittedRate * decay + state.recentlyAdmitted / seconds * (1 - decay);
              state.recentlyAdmitted = 0;
              // Users that did not retry at their slot have given up or were served by another
              // controller.
              state.pendingRetries =
                  state.reservedUntil + Constants.RETRY_LATE_MS < nowMs ? 0 : state.pendingRetries;
              return state.requestRate < Constants.MIN_SUBMISSIONS_PER_S / 10
                  && state.pendingRetries == 0;
            });
    snapshot.expire(nowMs);
    reservations.expire(nowMs);
    replan(nowMs);
  }

  private void replan(long nowMs) {
    deferredSincePlan = 0;
    snapshot.update(self, new Load(localCapacity, reportedClasses(), List.of()), nowMs);
    plan = plan(snapshot.demand());
    saturatedRates.clear();
    double plannedRate = 0;
    for (TrafficClass trafficClass : states.keySet()) {
      double totalDemand = snapshot.demand(trafficClass);
      plannedRate +=
          totalDemand > 0
              ? plan.rate(trafficClass) * snapshot.demand(self, trafficClass) / totalDemand
              : 0;
    }
    scale = plannedRate > localCapacity ? localCapacity / plannedRate : 1;
  }

  /** Called after this process was paused: the loads received before the pause are out of date. */
  public void pauseDetected() {
    snapshot.reset();
  }

  // ---- submissions ----

  /**
   * Decides on a submission. Without overload it is admitted. Under overload it is admitted if its
   * slot is due, if its class has no slots reserved ahead, or if the wait is short and its class is
   * within its planned rate. Else it gets a slot at the end of the queue of slots of its class,
   * which advances at the class's planned rate. Slots are given only as far ahead as users are
   * willing to wait. Beyond that a submission gets a retry time without a slot; the end of each
   * queue of slots is kept for such retries, so that they go before new submissions.
   *
   * @param waitMs how long its write would wait for the rate limit of the state service
   */
  public Verdict offer(String job, TrafficClass trafficClass, long waitMs, long nowMs) {
    long id = Hashing.of(job);
    ClassState state = states.computeIfAbsent(trafficClass, f -> new ClassState());
    long due = reservations.dueAt(id);
    boolean hasReservation = due >= 0;
    if (hasReservation
        && nowMs + Constants.RETRY_EARLY_MS >= due
        && !reservations.isTentative(id)) {
      return admit(state);
    }
    if (!hasReservation) {
      state.arrivals++;
    }
    boolean isOverBudget = waitMs > Constants.MAX_SUBMISSION_WAIT_MS;
    if (isOverBudget) {
      overloadedAt = nowMs;
    }
    boolean isOverloaded = nowMs - overloadedAt < Constants.OVERLOAD_MS;
    // The first half of the acceptable wait is open to every class that is within its planned rate,
    // so that capacity is not wasted and a short burst is not refused. The second half is kept for
    // submissions that come at their slot.
    if (!isOverloaded
        || (waitMs <= Constants.MAX_SUBMISSION_WAIT_MS / 2 && isWithinPlan(trafficClass, state))) {
      if (isOverloaded && !hasReservation) {
        state.reservedUntil = Math.max(state.reservedUntil, nowMs) + 1000 / rate(trafficClass);
      }
      return admit(state);
    }
    if (!isOverBudget && state.reservedUntil <= nowMs) {
      state.reservedUntil = nowMs + 1000 / rate(trafficClass);
      return admit(state);
    }
    if (hasReservation && !reservations.isTentative(id)) {
      return refuse(trafficClass, state, due, nowMs);
    }
    if (++deferredSincePlan >= Constants.REPLAN_AFTER_DEFERRALS) {
      replan(nowMs);
    }
    double slot = Math.max(state.reservedUntil, nowMs) + 1000 / rate(trafficClass);
    double latest = nowMs + 1000.0 * Constants.MAX_RETRY_SLOT_DELAY_S;
    if (slot > (hasReservation ? latest : latest - Constants.RETRY_SLOT_RESERVE_MS)) {
      reservations.reserve(id, (long) latest, true, nowMs);
      return refuse(trafficClass, state, (long) latest, nowMs);
    }
    state.reservedUntil = slot;
    state.pendingRetries++;
    reservations.reserve(id, (long) slot, false, nowMs);
    return refuse(trafficClass, state, (long) slot, nowMs);
  }

  private static Verdict admit(ClassState state) {
    state.admitted++;
    state.recentlyAdmitted++;
    return Verdict.ADMITTED;
  }

  /**
   * Whether a class has recently been admitted at no more than its planned rate, so that classes
   * that retry most often cannot take the capacity that is open to all.
   */
  private boolean isWithinPlan(TrafficClass trafficClass, ClassState state) {
    double totalDemand = snapshot.demand(trafficClass);
    double localRate =
        totalDemand > 0
            ? plan.rate(trafficClass) * snapshot.demand(self, trafficClass) / totalDemand
            : 0;
    return state.admittedRate <= scale * localRate;
  }

  /**
   * Acceptances a second that a class gets at this controller: its local part of the rate that the
   * plan would give it if its demand were unlimited, so that a class that asks for less is served
   * quickly. It is never less than an even part of the minimum for all classes with pending
   * retries, and never more than this controller's part of the state service's rate, whatever the
   * snapshot says.
   */
  private double rate(TrafficClass trafficClass) {
    double totalDemand = snapshot.demand(trafficClass);
    double evenShare = localCapacity / Math.max(localCapacity, snapshot.capacity());
    double localShare =
        totalDemand > 0
            ? Math.max(evenShare, snapshot.demand(self, trafficClass) / totalDemand)
            : evenShare;
    long backloggedClasses =
        states.values().stream().filter(state -> state.pendingRetries > 0).count();
    double minRate =
        localCapacity * Constants.MIN_SLOT_RATE_FRACTION / Math.max(1, backloggedClasses);
    // While the plan leaves much of the demand unserved, slots advance at the planned rate. A
    // higher rate would use up the capacity that is guaranteed to the other classes.
    double classRate =
        plan.rate(trafficClass) < Constants.UNDERSERVED_DEMAND_FRACTION * totalDemand
            ? plan.rate(trafficClass)
            : saturatedRates.computeIfAbsent(trafficClass, this::saturatedRate);
    double localPart = Math.min(localCapacity, scale * localShare * classRate);
    return Math.max(Math.max(minRate, Constants.MIN_SUBMISSIONS_PER_S), localPart);
  }

  private double saturatedRate(TrafficClass trafficClass) {
    Map<TrafficClass, Double> saturatedDemand = snapshot.demand();
    saturatedDemand.put(trafficClass, snapshot.capacity());
    return plan(saturatedDemand).rate(trafficClass);
  }

  private Plan plan(Map<TrafficClass, Double> demand) {
    return Plan.of(snapshot.capacity(), demand, weight);
  }

  private static Verdict refuse(
      TrafficClass trafficClass, ClassState state, long dueMs, long nowMs) {
    state.refused++;
    int seconds = (int) Math.ceil((dueMs - nowMs) / 1000.0);
    int maxSeconds =
        trafficClass.prod() ? Constants.MAX_SERVICE_RETRY_AFTER_S : Constants.MAX_RETRY_AFTER_S;
    return new Verdict(false, Math.max(Constants.MIN_RETRY_AFTER_S, Math.min(maxSeconds, seconds)));
  }

  /**
   * Called when the write of an admitted submission found no free rate budget: returns after how
   * many seconds it is to be retried.
   */
  public int retryLater(String job, TrafficClass trafficClass, long nowMs) {
    overloadedAt = nowMs;
    ClassState state = states.computeIfAbsent(trafficClass, f -> new ClassState());
    state.admitted--;
    long id = Hashing.of(job);
    if (reservations.dueAt(id) < 0) {
      reservations.reserve(id, nowMs + 1000L * Constants.MIN_RETRY_AFTER_S, false, nowMs);
      state.pendingRetries++;
    }
    return refuse(trafficClass, state, nowMs, nowMs).retryAfterS;
  }

  /** Called when the job is accepted or can never be: removes its reservation. */
  public void settled(String job, TrafficClass trafficClass) {
    long id = Hashing.of(job);
    ClassState state = states.get(trafficClass);
    if (reservations.dueAt(id) >= 0 && state != null) {
      state.pendingRetries = Math.max(0, state.pendingRetries - 1);
    }
    reservations.discard(id);
  }

  /** Logs one line for each class that was refused since the last call. */
  public void log() {
    states.forEach(this::log);
  }

  private void log(TrafficClass trafficClass, ClassState state) {
    if (state.refused > 0) {
      LOG.info(
          "admission of {} {}: {} asked a second, {} admitted, {} refused, {} told to come again,"
              + " plan {} for {} a second",
          trafficClass.team(),
          trafficClass.jobclass(),
          String.format("%.2f", state.requestRate),
          state.admitted,
          state.refused,
          state.pendingRetries,
          plan.fingerprint(),
          String.format("%.1f", plan.capacity()));
    }
    state.admitted = 0;
    state.refused = 0;
  }
}
