package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.StateStore.Answer;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.Malformed;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the replica current: first reading, watch, read barriers, and rereading after a 410. */
public final class ChangeFeed {
  private static final Logger LOG = LoggerFactory.getLogger(ChangeFeed.class);

  private final Env env;
  private final StateStore store;
  private final Replica replica;
  private final Runnable onSynced;
  private boolean synced;
  private long currentAsOf;
  private List<Consumer<Boolean>> barrierWaiters = new ArrayList<>();
  private boolean barrierInFlight;
  private boolean barrierScheduled;
  private long lastBarrierAt;
  private long watchPauseMs = Constants.WATCH_CALM_MS;

  public ChangeFeed(Env env, StateStore store, Replica replica, Runnable onSynced) {
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.onSynced = onSynced;
    this.currentAsOf = env.nowMillis();
  }

  /** True once a complete reading has been made and not been overtaken by a 410. */
  public boolean synced() {
    return synced;
  }

  /** Sets the pause between watches: short for who must see new jobs at once. */
  public void setWatchPause(long ms) {
    watchPauseMs = ms;
  }

  /** A moment by our steady clock at which the replica was certainly current. */
  public long currentAsOf() {
    return currentAsOf;
  }

  /** Milliseconds since a moment at which the replica was certainly current. */
  public long stalenessMs() {
    return env.nowMillis() - currentAsOf;
  }

  public void start() {
    readPage(null, new HashSet<>(), -1, env.nowMillis());
  }

  private void restart(long delayMs) {
    env.after(delayMs + env.random().nextInt(200), this::start);
  }

  private void readPage(String afterKey, Set<String> keys, long baseRevision, long startedAt) {
    store.list(
        afterKey,
        answer -> {
          try {
            if (answer.status() != 200) {
              restart(300);
              return;
            }
            long revision = Fields.count(answer.body(), "epoch");
            long listRevision = baseRevision < 0 ? revision : baseRevision;
            String lastKey = afterKey;
            for (JsonNode item : Fields.list(answer.body(), "items")) {
              lastKey = Fields.text(item, "key");
              keys.add(lastKey);
              replica.put(lastKey, item.get("data"), Fields.count(item, "stamp"));
            }
            if (Fields.flag(answer.body(), "hasNext")) {
              readPage(lastKey, keys, listRevision, startedAt);
              return;
            }
            replica.retain(keys, listRevision);
            replica.revision(listRevision);
            currentAsOf = startedAt;
            synced = true;
            LOG.info(
                "read the state service up to revision {}, {} keys", listRevision, keys.size());
            onSynced.run();
            watch();
          } catch (Malformed e) {
            LOG.info("state service listing: {}", e.getMessage());
            restart(300);
          }
        });
  }

  private void watch() {
    long requestedAt = env.nowMillis();
    store.changes(
        replica.revision(),
        Constants.WATCH_BLOCK_MS,
        answer -> {
          if (answer.status() == 410) {
            // Changes were missed: nothing may be said until all keys are read again.
            synced = false;
            LOG.info("the change feed went past us; reading everything again");
            start();
            return;
          }
          boolean ok = apply(answer, requestedAt);
          env.after(ok ? watchPauseMs : Constants.WATCH_CALM_MS, this::watch);
        });
  }

  private boolean apply(Answer answer, long requestedAt) {
    if (answer.status() != 200) {
      return false;
    }
    try {
      for (JsonNode event : Fields.list(answer.body(), "events")) {
        long stamp = Fields.count(event, "stamp");
        if (stamp <= replica.revision()) {
          // Watch and barrier overtake each other: what the other one brought is here already, and
          // what it removed would come back.
          continue;
        }
        if (event.has("put")) {
          replica.put(Fields.text(event, "put"), event.get("data"), stamp);
        } else {
          replica.remove(Fields.text(event, "remove"), stamp);
        }
      }
      replica.revision(Fields.count(answer.body(), "epoch"));
      currentAsOf = Math.max(currentAsOf, requestedAt);
      return true;
    } catch (Malformed e) {
      LOG.info("state service changes: {}", e.getMessage());
      return false;
    }
  }

  /**
   * Runs {@code then} with true once the replica holds everything that was written before this
   * call. All that wait share one request, sent after they came.
   */
  public void barrier(Consumer<Boolean> then) {
    barrierWaiters.add(then);
    scheduleBarrier();
  }

  private void scheduleBarrier() {
    if (barrierInFlight || barrierScheduled) {
      return;
    }
    barrierScheduled = true;
    long delay = Math.max(0, lastBarrierAt + Constants.BARRIER_PAUSE_MS - env.nowMillis());
    env.after(
        delay,
        () -> {
          barrierScheduled = false;
          sendBarrier();
        });
  }

  private void sendBarrier() {
    List<Consumer<Boolean>> waiters = barrierWaiters;
    barrierWaiters = new ArrayList<>();
    barrierInFlight = true;
    lastBarrierAt = env.nowMillis();
    store.changes(
        replica.revision(),
        0,
        answer -> {
          barrierInFlight = false;
          boolean ok = synced && apply(answer, lastBarrierAt);
          waiters.forEach(then -> then.accept(ok));
          if (!barrierWaiters.isEmpty()) {
            scheduleBarrier();
          }
        });
  }
}
