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

/** Fairness between reads and writes when the request budget or the write budget is scarce. */
class StateStoreFairnessTest {
  /** A virtual clock with timers; calls are recorded and get no answer. */
  private static final class FakeEnv implements Env {
    private record Timer(long at, long number, Runnable action) {}

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
    public void closeIdleConnections(String address) {
      throw new AssertionError("connections to the state service must be kept");
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
        next.action.run();
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
   * Guards against starvation of writes: polls and the watch read continuously, and reads used to
   * be sent before all writes except those of takeovers. With a low request rate no job was
   * accepted, started or ended any more, although nearly the whole write budget was unused.
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
    assertThat(env.sent("POST")).as("writes that were sent").isGreaterThanOrEqualTo(38);
    assertThat(notSent).as("writes that got no budget").isLessThanOrEqualTo(2);
    assertThat(env.sent("GET")).as("reads that were sent").isGreaterThan(50);
  }

  /** A read needs no write budget: it does not wait behind a write that has none. */
  @Test
  void readsDoNotWaitForWriteBudget() {
    StateStore store = store(1000, 5);
    for (int i = 0; i < 40; i++) {
      write(store, Urgency.HANDS, "run-" + i);
    }
    env.advance(100);
    assertThat(store.waitingCalls()).as("waiting writes").isGreaterThan(20);
    store.get("d/jobs/run-1", answer -> {});
    env.advance(100);
    assertThat(env.sent("GET")).isEqualTo(1);
  }

  /** If write budget is scarce, the more urgent writes are sent first. */
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

  /** Continuous reads leave requests for occasional writes. */
  @Test
  void writesAreSentAtOnceUnderConstantReads() {
    StateStore store = store(30, 30);
    store.setShare(new StateStore.RateDemand(20, 1), FOUR_OTHERS);
    long read = readsSentIn(store, 20);
    assertThat(read).as("reads are throttled").isBetween(60L, 200L);
    for (int i = 0; i < 3; i++) {
      write(store, Urgency.ACCEPT, "run-" + i);
    }
    env.advance(20);
    assertThat(env.sent("POST")).isEqualTo(3);
  }

  /** Continuous writes leave reads their share of the requests. */
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
    double share = Constants.RESERVED_READS_FRACTION * rps * Constants.USABLE_RATE_FRACTION / 5;
    assertThat((env.sent("GET") - before) / 20.0).isGreaterThan(0.9 * share);
    assertThat(env.sent("POST") / 20.0).isGreaterThan(share);
  }

  /** Reads are not delayed while the request budget is ample. */
  @Test
  void readsAreNotThrottledWhileRequestsAreAmple() {
    StateStore store = store(300, 30);
    store.setShare(new StateStore.RateDemand(20, 1), FOUR_OTHERS);
    assertThat(readsSentIn(store, 10)).isGreaterThan(195);
  }
}
