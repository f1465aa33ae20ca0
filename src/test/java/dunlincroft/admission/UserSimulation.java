package dunlincroft.admission;

import dunlincroft.Constants;
import dunlincroft.sim.VirtualClock;
import dunlincroft.transport.PeerHeartbeat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Simulated users that follow the protocol (retries, Retry-After, giving up after 60 s), and
 * several controllers with a limited rate of acceptances. Used by {@link AdmissionTest}; {@link
 * #main} prints a comparison of admission policies.
 */
final class UserSimulation {
  /** How the controllers decide which submissions to admit. */
  enum Policy {
    /** The policy of {@link Admission}. */
    SHARED_PLAN,
    /**
     * First come, first served; a submission that finds no free rate budget is retried after a
     * second.
     */
    FIRST_COME_FIRST_SERVED,
    /** Admits at random, less often the longer the queue is. */
    RANDOM
  }

  private static final long STEP_MS = 10;
  private static final long GIVE_UP_MS = 60_000;

  /** One submission. */
  private final class User {
    private final String job;
    private final TrafficClass trafficClass;
    private final long submittedAt = clock.now();

    User(String job, TrafficClass trafficClass) {
      this.job = job;
      this.trafficClass = trafficClass;
    }

    void submit() {
      int node = random.nextInt(nodes.size());
      if (!isUp.test(node)) {
        refused++;
        retryAfter(1);
        return;
      }
      nodes.get(node).offer(this);
    }

    void retryAfter(int seconds) {
      if (clock.now() + 1000L * seconds - submittedAt > GIVE_UP_MS) {
        abandoned.merge(trafficClass, 1, Integer::sum);
      } else {
        clock.after(1000L * seconds + random.nextInt(20), this::submit);
      }
    }

    void accepted() {
      waitTimes
          .computeIfAbsent(trafficClass, f -> new ArrayList<>())
          .add(clock.now() - submittedAt);
    }
  }

  /**
   * One controller: its admission control, and the queue of admitted submissions that wait for its
   * rate budget.
   */
  private final class Node {
    private final String name;
    private final Admission admission;
    private double budget;
    private final List<User> queue = new ArrayList<>();

    Node(int index) {
      name = "n" + index;
      admission = new Admission(name, team -> weights.getOrDefault(team, 1.0));
    }

    private long waitMs() {
      return (long) Math.max(0, 1000 * (queue.size() + 1 - budget) / rate);
    }

    void offer(User user) {
      if (policy == Policy.SHARED_PLAN) {
        Admission.Verdict verdict =
            admission.offer(user.job, user.trafficClass, waitMs(), clock.now());
        if (verdict.admitted() && waitMs() <= Constants.MAX_BUDGET_WAIT_MS) {
          queue.add(user);
        } else {
          refused++;
          user.retryAfter(
              verdict.admitted()
                  ? admission.retryLater(user.job, user.trafficClass, clock.now())
                  : verdict.retryAfterS());
        }
        return;
      }
      boolean isAdmitted =
          policy == Policy.FIRST_COME_FIRST_SERVED
              ? waitMs() <= Constants.MAX_SUBMISSION_WAIT_MS
              : random.nextDouble() * (1 + waitMs()) < Constants.MAX_SUBMISSION_WAIT_MS;
      if (isAdmitted) {
        queue.add(user);
      } else {
        refused++;
        user.retryAfter(1);
      }
    }

    void step() {
      budget = Math.min(Math.max(1, rate / 3), budget + rate * STEP_MS / 1000);
      while (!queue.isEmpty() && budget >= 1) {
        budget--;
        User user = queue.remove(0);
        admission.settled(user.job, user.trafficClass);
        user.accepted();
      }
    }
  }

  final VirtualClock clock = new VirtualClock();
  final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final Policy policy;

  /** Acceptances a second of each controller. */
  double rate;

  IntPredicate isUp = node -> true;
  boolean isLinked = true;
  final Map<String, Double> weights = new LinkedHashMap<>();
  final Map<TrafficClass, List<Long>> waitTimes = new LinkedHashMap<>();
  final Map<TrafficClass, Integer> submitted = new LinkedHashMap<>();
  final Map<TrafficClass, Integer> abandoned = new LinkedHashMap<>();
  int refused;
  private int users;

  UserSimulation(Policy policy, int controllers, double capacity, long seed) {
    this.policy = policy;
    this.rate = capacity / controllers;
    this.random = new Random(seed);
    for (int i = 0; i < controllers; i++) {
      nodes.add(new Node(i));
    }
    step();
    exchangeLoads();
  }

  private void step() {
    nodes.forEach(Node::step);
    clock.after(STEP_MS, this::step);
  }

  private void exchangeLoads() {
    for (Node node : nodes) {
      node.admission.tick(rate, clock.now());
      PeerHeartbeat.Load load = node.admission.load(clock.now());
      for (Node other : nodes) {
        if (other != node && isLinked) {
          clock.after(
              1 + random.nextInt(30),
              () -> other.admission.loadReceived(node.name, load, clock.now()));
        }
      }
    }
    clock.after(Constants.PEER_HEARTBEAT_MS, this::exchangeLoads);
  }

  /** Submissions of a class at random times at the given mean rate, until {@code untilMs}. */
  void offer(TrafficClass trafficClass, double perSecond, long untilMs) {
    long gap = (long) Math.max(1, -Math.log(1 - random.nextDouble()) * 1000 / perSecond);
    clock.after(
        gap,
        () -> {
          if (clock.now() < untilMs) {
            submitted.merge(trafficClass, 1, Integer::sum);
            new User("run-" + users++, trafficClass).submit();
            offer(trafficClass, perSecond, untilMs);
          }
        });
  }

  /** Many submissions at once. */
  void burst(TrafficClass trafficClass, int number) {
    for (int i = 0; i < number; i++) {
      submitted.merge(trafficClass, 1, Integer::sum);
      new User("run-" + users++, trafficClass).submit();
    }
  }

  int accepted(TrafficClass trafficClass) {
    return waitTimes.getOrDefault(trafficClass, List.of()).size();
  }

  int accepted() {
    return waitTimes.values().stream().mapToInt(List::size).sum();
  }

  /** Fraction of a class's submissions that were accepted in the end. */
  double servedFraction(TrafficClass trafficClass) {
    return accepted(trafficClass) / (double) submitted.get(trafficClass);
  }

  long percentile(double fraction) {
    long[] all =
        waitTimes.values().stream().flatMap(List::stream).mapToLong(Long::longValue).toArray();
    Arrays.sort(all);
    return all.length == 0 ? 0 : all[(int) (fraction * (all.length - 1))];
  }

  /** Prints the table of docs/admission.md: policies, numbers of controllers, and loads. */
  public static void main(String[] args) {
    System.out.println(
        "way,controllers,load,throughput,refusals_each,p95_s,worst_team,worst_class");
    for (Policy policy : Policy.values()) {
      for (int controllers : new int[] {1, 3, 5}) {
        for (double load : new double[] {0.5, 0.9, 1, 2, 10}) {
          UserSimulation simulation = new UserSimulation(policy, controllers, 30, 1);
          TrafficClass[] classes = new TrafficClass[8];
          for (int i = 0; i < classes.length; i++) {
            // One team in four asks for seven times as much as each of the others.
            classes[i] = new TrafficClass("t" + i / 2, "c" + i % 2, i % 2 == 0);
            simulation.offer(classes[i], 30 * load / 20 * (i < 2 ? 7 : 1), 200_000);
          }
          simulation.clock.runUntil(200_000);
          double worstTeam = 1;
          double worstClass = 1;
          for (int i = 0; i < classes.length; i++) {
            worstClass = Math.min(worstClass, simulation.servedFraction(classes[i]));
            if (i % 2 == 0) {
              int acceptedCount =
                  simulation.accepted(classes[i]) + simulation.accepted(classes[i + 1]);
              int total =
                  simulation.submitted.get(classes[i]) + simulation.submitted.get(classes[i + 1]);
              worstTeam = Math.min(worstTeam, acceptedCount / (double) total);
            }
          }
          System.out.printf(
              Locale.ROOT,
              "%s,%d,%.1f,%.3f,%.2f,%.1f,%.3f,%.3f%n",
              policy,
              controllers,
              load,
              simulation.accepted() / (200.0 * 30 * Math.min(1, load)),
              simulation.refused / (double) simulation.accepted(),
              simulation.percentile(0.95) / 1000.0,
              worstTeam,
              worstClass);
        }
      }
    }
  }
}
