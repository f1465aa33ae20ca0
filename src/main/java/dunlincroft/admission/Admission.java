package dunlincroft.admission;

import dunlincroft.Constants;
import dunlincroft.protocol.Hashing;
import dunlincroft.transport.Beat.Flowing;
import dunlincroft.transport.Beat.Load;
import dunlincroft.transport.Beat.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which submissions are let in while more come than the state service's changes bear. All
 * controllers tell each other what is asked of them and make the same plan of it ({@link Plan});
 * each admits its own part. Who is refused is told when its turn is, and is known again at any
 * controller. Nobody is held back: every submission is answered at once.
 *
 * <p>It decides about order and time only; whether a job is accepted is decided by a guarded write.
 * All times are of one steady clock, in milliseconds. It does no I/O.
 */
public final class Admission {
  private static final Logger LOG = LoggerFactory.getLogger(Admission.class);

  /** The name of all flows that a beat has no room for. */
  private static final String OTHER_CLASSES = "*";

  /** What becomes of a submission now: it is tried, or comes again in so many seconds. */
  public record Verdict(boolean admitted, int retryAfterS) {
    static final Verdict ADMITTED = new Verdict(true, 0);
  }

  /** What a flow has asked for here, and when its next turn is. */
  private static final class ClassState {
    /** Submissions that came for the first time, a second; smoothed. */
    double requestRate;

    int arrivals;

    /** Submissions let in here, a second; smoothed. */
    double admittedRate;

    int recentlyAdmitted;

    /** Up to here turns are given away. */
    double reservedUntil;

    int admitted;
    int refused;

    /** Those that were told to come later, and have not come yet. */
    int pendingRetries;
  }

  private final String self;
  private final ToDoubleFunction<String> weight;
  private final LoadSnapshot snapshot = new LoadSnapshot();
  private final RetryReservations reservations = new RetryReservations();
  private final Map<TrafficClass, ClassState> states = new HashMap<>();
  private Plan plan;
  private int deferredSincePlan;

  /** Where more of the plan's users are at our door than our part of the rate bears: less of it. */
  private double scale = 1;

  /** What flows would get of the present plan if they wanted everything, as far as asked for. */
  private final Map<TrafficClass, Double> saturatedRates = new HashMap<>();

  private double localCapacity;
  private long tickedAt;
  private long overloadedAt = Long.MIN_VALUE / 2;

  /**
   * @param self our name
   * @param weight of a team, above 0: what it gets beside others that want more than there is
   */
  public Admission(String self, ToDoubleFunction<String> weight) {
    this.self = self;
    this.weight = weight;
    plan = Plan.of(0, Map.of(), weight);
  }

  // ---- the picture ----

  /** Another controller's load, with the promises that it made. */
  public void loadReceived(String node, Load load, long nowMs) {
    snapshot.update(node, load, nowMs);
    for (Promise promise : load.promises()) {
      reservations.store(promise.job(), nowMs + promise.inMs(), promise.loose());
    }
  }

  /** What we tell the others. */
  public Load load(long nowMs) {
    return new Load(localCapacity, reportedClasses(), reservations.announced(nowMs));
  }

  /** The flows that ask for most; those beyond a beat's room are told of together. */
  private List<Flowing> reportedClasses() {
    List<Flowing> classes = new ArrayList<>();
    states.forEach(
        (trafficClass, state) -> {
          double demanded =
              Math.max(
                  state.requestRate, state.pendingRetries / (double) Constants.RETRY_AFTER_MOST_S);
          if (demanded > Constants.ASKED_LEAST) {
            classes.add(
                new Flowing(
                    trafficClass.team(), trafficClass.jobclass(), trafficClass.prod(), demanded));
          }
        });
    classes.sort(Comparator.comparingDouble(Flowing::asked).reversed());
    if (classes.size() <= Constants.BEAT_FLOWS) {
      return classes;
    }
    List<Flowing> reported = new ArrayList<>(classes.subList(0, Constants.BEAT_FLOWS));
    for (boolean prod : new boolean[] {true, false}) {
      double remainder =
          classes.stream()
              .skip(Constants.BEAT_FLOWS)
              .filter(trafficClass -> trafficClass.prod() == prod)
              .mapToDouble(Flowing::asked)
              .sum();
      reported.add(new Flowing(OTHER_CLASSES, OTHER_CLASSES, prod, remainder));
    }
    return reported;
  }

  /**
   * Makes the plan anew; called a few times a second.
   *
   * @param acceptsPerSecond acceptances a second that we can bear
   */
  public void tick(double acceptsPerSecond, long nowMs) {
    double seconds = Math.max(0.001, (nowMs - tickedAt) / 1000.0);
    double decay = Math.exp(-seconds / Constants.ASKED_S);
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
              // Whoever was told to come and did not has given up, or was served elsewhere.
              state.pendingRetries =
                  state.reservedUntil + Constants.PROMISE_LATE_MS < nowMs
                      ? 0
                      : state.pendingRetries;
              return state.requestRate < Constants.ASKED_LEAST / 10 && state.pendingRetries == 0;
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

  /** We stood still: what the others told is as old as that. */
  public void pauseDetected() {
    snapshot.reset();
  }

  // ---- submissions ----

  /**
   * A submission comes. Without overload it is tried. Else it is its turn, or it learns when that
   * is: in its flow's line, by the flow's part of the plan. Lines are no longer than users wait;
   * beyond that one is told to come once more, and then goes before those that come anew.
   *
   * @param waitMs how long its write would wait for the state service's budget
   */
  public Verdict offer(String job, TrafficClass trafficClass, long waitMs, long nowMs) {
    long id = Hashing.of(job);
    ClassState state = states.computeIfAbsent(trafficClass, f -> new ClassState());
    long due = reservations.dueAt(id);
    boolean hasReservation = due >= 0;
    if (hasReservation
        && nowMs + Constants.PROMISE_EARLY_MS >= due
        && !reservations.isTentative(id)) {
      return admit(state);
    }
    if (!hasReservation) {
      state.arrivals++;
    }
    boolean isOverBudget = waitMs > Constants.ANSWER_MS;
    if (isOverBudget) {
      overloadedAt = nowMs;
    }
    boolean isOverloaded = nowMs - overloadedAt < Constants.OVERLOAD_MS;
    // Half of the wait that users bear is open to whoever comes, so that nothing is wasted and a
    // short crowd is not sent away; the other half is for those who are within their part.
    if (!isOverloaded || (waitMs <= Constants.ANSWER_MS / 2 && isWithinPlan(trafficClass, state))) {
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
    if (++deferredSincePlan >= Constants.PLAN_AFTER) {
      replan(nowMs);
    }
    double slot = Math.max(state.reservedUntil, nowMs) + 1000 / rate(trafficClass);
    double latest = nowMs + 1000.0 * Constants.RETRY_AFTER_MOST_S;
    if (slot > (hasReservation ? latest : latest - Constants.LINE_KEPT_MS)) {
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
   * Whether a flow has not had more than the plan's part of late: who comes again most often must
   * not take what is open to all.
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
   * Acceptances a second that a flow may have here: our part of what the plan would give it if it
   * wanted everything, so that who asks for less than that is soon served, and never less than an
   * even part of the floor. Our part of the state service's rate is the bound with any picture.
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
    double minRate = localCapacity * Constants.LINES_PART / Math.max(1, backloggedClasses);
    // While the plan leaves much of it unserved, a flow's line moves at the plan's pace: else it
    // would take what goes before all ranks from the others.
    double classRate =
        plan.rate(trafficClass) < Constants.SHORT_OF_DEMAND * totalDemand
            ? plan.rate(trafficClass)
            : saturatedRates.computeIfAbsent(trafficClass, this::saturatedRate);
    double localPart = Math.min(localCapacity, scale * localShare * classRate);
    return Math.max(Math.max(minRate, Constants.ASKED_LEAST), localPart);
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
    int maxSeconds = trafficClass.prod() ? Constants.LOOK_IN_SERVICE_S : Constants.LOOK_IN_S;
    return new Verdict(false, Math.max(Constants.RETRY_AFTER_S, Math.min(maxSeconds, seconds)));
  }

  /** The write of one that was let in found no budget after all: it comes again soon. */
  public int retryLater(String job, TrafficClass trafficClass, long nowMs) {
    overloadedAt = nowMs;
    ClassState state = states.computeIfAbsent(trafficClass, f -> new ClassState());
    state.admitted--;
    long id = Hashing.of(job);
    if (reservations.dueAt(id) < 0) {
      reservations.reserve(id, nowMs + 1000L * Constants.RETRY_AFTER_S, false, nowMs);
      state.pendingRetries++;
    }
    return refuse(trafficClass, state, nowMs, nowMs).retryAfterS;
  }

  /** It is accepted, or can never be: its promise is kept. */
  public void settled(String job, TrafficClass trafficClass) {
    long id = Hashing.of(job);
    ClassState state = states.get(trafficClass);
    if (reservations.dueAt(id) >= 0 && state != null) {
      state.pendingRetries = Math.max(0, state.pendingRetries - 1);
    }
    reservations.discard(id);
  }

  /** One line for each flow that was refused since the last call, for operators. */
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
