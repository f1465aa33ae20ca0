package dunlincroft.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.protocol.Cbor;
import dunlincroft.transport.Env;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Readings and changes beside each other, where requests or changes are scarce. */
class StateStoreFairnessTest {
  /** A clock with timers; what is sent is noted, and not answered. */
  private static final class FakeEnv implements Env {
    private record Timer(long at, long number, Runnable what) {}

    private final PriorityQueue<Timer> timers =
        new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparingLong(Timer::number));
    private final List<Call> sent = new ArrayList<>();
    private long now = 10_000;
    private long number;

    @Override
    public long nowMillis() {
      return now;
    }

    @Override
    public long wallMillis() {
      return now;
    }

    @Override
    public UniformRandomProvider random() {
      return RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    }

    @Override
    public void after(long delayMs, Runnable then) {
      timers.add(new Timer(now + delayMs, number++, then));
    }

    @Override
    public void leave(String address) {
      throw new AssertionError("the state service is never left");
    }

    @Override
    public void call(Call call, Consumer<Reply> then) {
      sent.add(call);
    }

    void advance(long ms) {
      long until = now + ms;
      while (!timers.isEmpty() && timers.peek().at <= until) {
        Timer next = timers.poll();
        now = next.at;
        next.what.run();
      }
      now = until;
    }

    long sent(String method) {
      return sent.stream().filter(call -> call.method().equals(method)).count();
    }
  }

  private final FakeEnv env = new FakeEnv();
  private int notSent;

  private StateStore store(double rps, double writeRps) {
    StateStore store = new StateStore(env, "10.0.0.1:1", rps, writeRps, new Replica());
    env.advance(2000);
    return store;
  }

  private void write(StateStore store, Urgency urgency, String key) {
    store.commit(
        urgency,
        new Txn().put("d/jobs/" + key, Cbor.map()),
        result -> notSent += result.outcome() == Txn.Outcome.REFUSED ? 1 : 0);
  }

  /**
   * Users' polls and the watch ask without end. Readings were sent before all but the takeovers'
   * changes: with few requests a second nothing was accepted, started or ended any more, though the
   * service had room for nearly all its changes.
   */
  @Test
  void writesAreSentWhileReadsExhaustTheRequestBudget() {
    StateStore store = store(12, 12);
    for (int i = 0; i < 200; i++) {
      store.get("d/jobs/run-" + i, answer -> {});
      if (i % 5 == 0) {
        write(store, Urgency.ACCEPT_PROD, "run-" + i);
      }
      env.advance(50);
    }
    assertThat(env.sent.size()).as("requests are scarce").isLessThan(150);
    assertThat(env.sent("POST")).as("changes that were sent").isGreaterThanOrEqualTo(38);
    assertThat(notSent).as("changes that found no budget").isLessThanOrEqualTo(2);
    assertThat(env.sent("GET")).as("readings that were sent").isGreaterThan(50);
  }

  /** A reading needs no change budget: it does not wait behind a change that has none. */
  @Test
  void readsDoNotWaitForWriteBudget() {
    StateStore store = store(1000, 5);
    for (int i = 0; i < 40; i++) {
      write(store, Urgency.HANDS, "run-" + i);
    }
    env.advance(100);
    assertThat(store.waitingCalls()).as("changes that wait").isGreaterThan(20);
    store.get("d/jobs/run-1", answer -> {});
    env.advance(100);
    assertThat(env.sent("GET")).isEqualTo(1);
  }

  /** Where changes are what is scarce, the more urgent still go first. */
  @Test
  void urgentWritesAreSentFirst() {
    StateStore store = store(1000, 5);
    for (int i = 0; i < 8; i++) {
      write(store, Urgency.ACCEPT_PROD, "run-" + i);
    }
    env.advance(50);
    int before = env.sent.size();
    write(store, Urgency.HANDS, "hands");
    env.advance(500);
    assertThat(env.sent.size()).isGreaterThan(before);
    assertThat(new String(env.sent.get(before).body(), StandardCharsets.ISO_8859_1))
        .contains("hands");
  }

  private static final List<StateStore.RateDemand> FOUR_OTHERS =
      Collections.nCopies(4, new StateStore.RateDemand(20, 1));

  private long readsSentIn(StateStore store, long seconds) {
    long before = env.sent("GET");
    for (int i = 0; i < 20 * seconds; i++) {
      store.get("d/jobs/run-" + i, answer -> {});
      env.advance(50);
    }
    return env.sent("GET") - before;
  }

  /** Readings that come without end leave requests for the changes that come now and then. */
  @Test
  void writesAreSentAtOnceUnderConstantReads() {
    StateStore store = store(30, 30);
    store.setShare(new StateStore.RateDemand(20, 1), FOUR_OTHERS);
    long read = readsSentIn(store, 20);
    assertThat(read).as("readings are held back").isBetween(60L, 200L);
    for (int i = 0; i < 3; i++) {
      write(store, Urgency.ACCEPT, "run-" + i);
    }
    env.advance(20);
    assertThat(env.sent("POST")).isEqualTo(3);
  }

  /** Changes that come without end leave their part of the requests to readings. */
  @Test
  void readsKeepTheirShareUnderConstantWrites() {
    double rps = 30;
    StateStore store = store(rps, 300);
    store.setShare(new StateStore.RateDemand(20, 1), FOUR_OTHERS);
    long before = env.sent("GET");
    for (int i = 0; i < 400; i++) {
      write(store, Urgency.START, "run-" + i);
      store.get("d/jobs/run-" + i, answer -> {});
      env.advance(50);
    }
    double share = Constants.READINGS_PART * rps * Constants.BUDGET_PART / 5;
    assertThat((env.sent("GET") - before) / 20.0).isGreaterThan(0.9 * share);
    assertThat(env.sent("POST") / 20.0).isGreaterThan(share);
  }

  /** Where there are requests enough, nobody waits for a reading. */
  @Test
  void readsAreNotThrottledWhileRequestsAreAmple() {
    StateStore store = store(300, 30);
    store.setShare(new StateStore.RateDemand(20, 1), FOUR_OTHERS);
    assertThat(readsSentIn(store, 10)).isGreaterThan(195);
  }
}
