package dunlincroft.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.protocol.Cbor;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StateStoreTest {
  private static final double WRITE_RPS = 30;

  /** Runs timers without delay only; calls get the answer that the test sets, or none. */
  private static final class FakeEnv implements Env {
    private final List<Runnable> due = new ArrayList<>();
    private long now = 10_000;
    private int status;
    private byte[] body = new byte[0];
    private int calls;

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
      if (delayMs == 0) {
        due.add(then);
      }
    }

    @Override
    public void closeIdleConnections(String address) {
      throw new AssertionError("connections to the state service must be kept");
    }

    @Override
    public void call(Call call, Consumer<Reply> then) {
      calls++;
      if (status != 0) {
        then.accept(new Reply(status, body));
      }
    }

    void run() {
      while (!due.isEmpty()) {
        due.remove(0).run();
      }
    }
  }

  private final FakeEnv env = new FakeEnv();
  private final Replica replica = new Replica();
  private final StateStore store = new StateStore(env, "10.0.0.1:1", 1000, WRITE_RPS, replica);
  private int refused;

  private void accept(int number) {
    for (int i = 0; i < number; i++) {
      store.commit(
          Urgency.ACCEPT,
          new Txn().put("d/jobs/run-" + i, Cbor.map()),
          Constants.MAX_SUBMISSION_WAIT_MS,
          result -> refused += result.outcome() == Txn.Outcome.REFUSED ? 1 : 0);
    }
    env.run();
  }

  /** Submissions that cannot be sent in time are refused at once, with the expected wait. */
  @Test
  void submissionsThatWouldWaitTooLongAreRefusedAtOnce() {
    env.now += 1000;
    accept(100);
    double rate = WRITE_RPS * Constants.USABLE_RATE_FRACTION;
    int served = (int) (rate + rate * Constants.MAX_SUBMISSION_WAIT_MS / 1000);
    assertThat(env.calls).isBetween((int) rate - 1, (int) rate + 1);
    assertThat(refused).isBetween(100 - served - 2, 100 - served + 2);
    assertThat(store.expectedWaitMs(Urgency.ACCEPT, 1)).isBetween(300L, 500L);
    for (int i = 0; i < 4 * WRITE_RPS; i++) {
      store.commit(Urgency.HANDS, new Txn().put("d/k/" + i, Cbor.map()), result -> {});
    }
    assertThat(store.expectedWaitMs(Urgency.ACCEPT, 1)).isBetween(3500L, 6000L);
  }

  /**
   * The answer to an acceptance waited in its socket during a process pause, and the feed has since
   * shown that the job was cancelled and ended. If the answer were applied, the job would run
   * again.
   */
  @Test
  void commitAnswerOlderThanTheFeedIsIgnored() {
    env.status = 200;
    env.body = Cbor.bytes(Cbor.map().put("epoch", 12));
    env.now += 1000;
    replica.advanceTo(40);
    accept(1);
    assertThat(env.calls).isEqualTo(1);
    assertThat(refused).isZero();
    assertThat(replica.items(Replica.JOBS)).isEmpty();
  }

  /** A call answered with 429 was not executed: it is retried instead of being refused. */
  @Test
  void callAnsweredWith429IsRetried() {
    env.status = 429;
    env.now += 1000;
    accept(1);
    assertThat(env.calls).isEqualTo(1);
    assertThat(refused).isZero();
    assertThat(store.waitingCalls()).isEqualTo(1);
  }

  /** A session that ended can be replaced; a transaction that is too large never succeeds. */
  @ParameterizedTest
  @CsvSource({"no such lease, REFUSED", "value too large, INVALID", "'', INVALID"})
  void badRequestIsPassingOnlyForWantOfASession(String error, Txn.Outcome expected) {
    env.status = 400;
    env.body = Cbor.bytes(Cbor.map().put("error", error));
    env.now += 1000;
    List<Txn.Outcome> outcomes = new ArrayList<>();
    store.commit(
        Urgency.HANDS,
        new Txn().put("d/k/1", Cbor.map()),
        result -> outcomes.add(result.outcome()));
    env.run();
    assertThat(outcomes).containsExactly(expected);
  }
}
