package dunlincroft.limits;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Checks all divisions of a small limit among three shards, with all combinations of used parts and
 * requests. Each shard's transfers are one write guarded by the record. So any of several giving
 * shards may write first, and the others then plan again, or do nothing if they have failed: all
 * orders are tried.
 */
class SharePlanTest {
  private static final List<String> SHARDS = List.of("n0", "n1", "n2");
  private static final int MAX_PART = 3;
  private static final int[] TASKS = {0, 1, 2, 4};

  /** At most one transfer of each shard for each request, and one for spare capacity. */
  private static final int MAX_STEPS = 6;

  private static Resources cpus(long cpus) {
    return new Resources(cpus, 0, 0);
  }

  private static long sum(Map<String, Resources> resources) {
    return resources.values().stream().mapToLong(Resources::cpu).sum();
  }

  /** What each shard has and uses, and the requests of the shards that wait. */
  private record State(
      Map<String, Resources> parts, Map<String, Resources> used, List<ShareRequest> requests) {
    List<Transfer> plan() {
      Map<String, Resources> work = new HashMap<>(used);
      requests.forEach(
          request -> work.merge(request.shard(), request.taskResources(), Resources::plus));
      return SharePlan.transfers(parts, used, work, requests);
    }

    State after(String source) {
      Map<String, Resources> next = new TreeMap<>(parts);
      for (Transfer transfer : plan()) {
        if (transfer.from().equals(source)) {
          next.merge(source, transfer.amount(), Resources::minus);
          next.merge(transfer.to(), transfer.amount(), Resources::plus);
        }
      }
      return new State(next, used, requests);
    }

    long unused(String shard) {
      return parts.get(shard).cpu() - used.getOrDefault(shard, Resources.NONE).cpu();
    }
  }

  private static List<State> allStates() {
    List<State> states = new ArrayList<>();
    int parts = MAX_PART + 1;
    for (int split = 0; split < parts * parts * parts; split++) {
      for (int use = 0; use < 8; use++) {
        for (int wait = 0; wait < TASKS.length * TASKS.length * TASKS.length; wait++) {
          State state = state(split, use, wait);
          if (state != null) {
            states.add(state);
          }
        }
      }
    }
    return states;
  }

  private static State state(int split, int use, int wait) {
    Map<String, Resources> parts = new TreeMap<>();
    Map<String, Resources> used = new TreeMap<>();
    List<ShareRequest> requests = new ArrayList<>();
    for (String shard : SHARDS) {
      int part = split % (MAX_PART + 1);
      int uses = use % 2;
      int task = TASKS[wait % TASKS.length];
      if (uses > part) {
        return null;
      }
      parts.put(shard, cpus(part));
      used.put(shard, cpus(uses));
      if (task > 0) {
        requests.add(new ShareRequest(shard, cpus(task), 1));
      }
      split /= MAX_PART + 1;
      use /= 2;
      wait /= TASKS.length;
    }
    return new State(parts, used, requests);
  }

  /**
   * Tries all orders of giving shards: no capacity is lost, no shard gives what it uses, and the
   * transfers end.
   */
  private static void checkAllOrders(State state, long limit, int steps) {
    assertThat(sum(state.parts)).isEqualTo(limit);
    SHARDS.forEach(shard -> assertThat(state.unused(shard)).isNotNegative());
    List<String> sources = state.plan().stream().map(Transfer::from).distinct().toList();
    if (sources.isEmpty()) {
      checkServed(state);
      return;
    }
    assertThat(steps).as("transfers before the plan is empty: %s", state).isPositive();
    sources.forEach(source -> checkAllOrders(state.after(source), limit, steps - 1));
  }

  /**
   * In the order of the requests, each that fits into what is left of all unused parts has it at
   * its own shard.
   */
  private static void checkServed(State state) {
    long remaining = SHARDS.stream().mapToLong(state::unused).sum();
    for (ShareRequest request : state.requests) {
      if (request.taskResources().cpu() <= remaining) {
        remaining -= request.taskResources().cpu();
        assertThat(state.unused(request.shard()))
            .isGreaterThanOrEqualTo(request.taskResources().cpu());
      }
    }
  }

  @Test
  void servableRequestsAreServedAndNothingIsLost() {
    List<State> states = allStates();
    assertThat(states).hasSizeGreaterThan(10_000);
    states.forEach(state -> checkAllOrders(state, sum(state.parts), MAX_STEPS));
  }

  /** Five shards with 3 processors each; one of them is to start a task of 4. */
  @Test
  void smallRemaindersOfManyShardsAreCombined() {
    Map<String, Resources> parts = new TreeMap<>();
    for (int i = 0; i < 5; i++) {
      parts.put("n" + i, cpus(3));
    }
    List<ShareRequest> requests = List.of(new ShareRequest("n3", cpus(4), 1));
    List<Transfer> plan = SharePlan.transfers(parts, Map.of(), Map.of("n3", cpus(4)), requests);
    assertThat(plan).containsExactly(new Transfer("n0", "n3", cpus(1)));
  }

  /** Checks the test itself: a plan made without the parts in use must give some of them away. */
  @Test
  void aTransferOfPartsInUseIsDetected() {
    State state =
        new State(
            Map.of("n0", cpus(2), "n1", cpus(0), "n2", cpus(0)),
            Map.of("n0", cpus(2)),
            List.of(new ShareRequest("n1", cpus(2), 1)));
    List<Transfer> planted =
        SharePlan.transfers(state.parts, Map.of(), Map.of("n1", cpus(2)), state.requests);
    assertThat(planted).isNotEmpty();
    assertThat(state.plan()).isEmpty();
  }
}
