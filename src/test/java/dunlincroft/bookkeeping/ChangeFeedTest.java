package dunlincroft.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.sim.VirtualClock;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** The feed goes on after an exception in what listens to it. */
class ChangeFeedTest {
  private static final long LISTED_REVISION = 10;

  /** A state service with one key, whose feed has one change after each watch. */
  private static final class FakeEnv implements Env {
    private final VirtualClock clock = new VirtualClock();
    private long revision = LISTED_REVISION;

    @Override
    public long nowMillis() {
      return 10_000 + clock.now();
    }

    @Override
    public long wallMillis() {
      return nowMillis();
    }

    @Override
    public UniformRandomProvider random() {
      return RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    }

    @Override
    public void after(long delayMs, Runnable then) {
      clock.after(delayMs, () -> runEvent(then));
    }

    @Override
    public void closeIdleConnections(String address) {}

    @Override
    public void call(Call call, Consumer<Reply> then) {
      byte[] body = Cbor.bytes(call.path().startsWith("/keys") ? listing() : changes());
      clock.after(5, () -> runEvent(() -> then.accept(new Reply(200, body))));
    }

    /** As the process does: an exception ends its event alone. */
    private static void runEvent(Runnable event) {
      try {
        event.run();
      } catch (IllegalStateException expected) {
        assertThat(expected).hasMessage("planted");
      }
    }

    private ObjectNode listing() {
      ObjectNode answer = Cbor.map().put("hasNext", false).put("epoch", LISTED_REVISION);
      ObjectNode item = answer.putArray("items").addObject().put("key", "d/types/a");
      item.put("stamp", 3).set("data", Cbor.map());
      return answer;
    }

    private ObjectNode changes() {
      revision++;
      ObjectNode answer = Cbor.map().put("epoch", revision);
      ObjectNode event = answer.putArray("events").addObject().put("put", "d/types/b");
      event.put("stamp", revision).set("data", Cbor.map());
      return answer;
    }
  }

  private final FakeEnv env = new FakeEnv();
  private final Replica replica = new Replica();
  private final StateStore store = new StateStore(env, "10.0.0.1:1", 1000, 100, replica);
  private final ChangeFeed feed = new ChangeFeed(env, store, replica, () -> {});
  private int toFail;

  private void failOnChanges(int number) {
    toFail = number;
    replica.setListener(
        (kind, name) -> {
          if (toFail-- > 0) {
            throw new IllegalStateException("planted");
          }
        });
  }

  @Test
  void watchGoesOnAfterAnExceptionInAListener() {
    feed.start();
    env.clock.runUntil(1000);
    assertThat(feed.synced()).isTrue();
    failOnChanges(1);
    env.clock.runUntil(10_000);
    assertThat(toFail).isNegative();
    assertThat(feed.stalenessMs()).isLessThan(2000);
    assertThat(replica.revision()).isGreaterThan(LISTED_REVISION + 3);
  }

  @Test
  void barrierIsAnsweredAfterAnExceptionInAListener() {
    feed.start();
    env.clock.runUntil(1000);
    failOnChanges(1);
    List<Boolean> answers = new ArrayList<>();
    feed.barrier(answers::add);
    env.clock.runUntil(3000);
    feed.barrier(answers::add);
    env.clock.runUntil(6000);
    assertThat(answers).hasSize(2).last().isEqualTo(true);
  }

  @Test
  void listingBeginsAnewAfterAnExceptionInAListener() {
    failOnChanges(1);
    feed.start();
    env.clock.runUntil(5000);
    assertThat(feed.synced()).isTrue();
    assertThat(replica.get("types", "a")).isNotNull();
  }
}
