package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import dunlincroft.Constants;
import dunlincroft.bookkeeping.StateStore.Answer;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import dunlincroft.transport.Env;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the replica current with the state service: lists all keys at start, then watches the
 * change feed, serves read barriers, and lists all keys again when the service answers 410 because
 * the changes asked for are no longer available.
 */
public final class ChangeFeed {
  private static final Logger LOG = LoggerFactory.getLogger(ChangeFeed.class);

  /** Pause before a listing that has failed is begun anew, in milliseconds. */
  private static final long LISTING_RETRY_MS = 300;

  private final Env env;
  private final StateStore store;
  private final Replica replica;
  private final Runnable onSynced;
  private boolean synced;

  /** Keys read by the listing that is under way, or by the last one. */
  private long listedKeys;

  private long currentAsOf;
  private List<Consumer<Boolean>> barrierWaiters = new ArrayList<>();
  private boolean barrierInFlight;
  private boolean barrierScheduled;
  private long lastBarrierAt;
  private long watchPauseMs = Constants.STANDBY_WATCH_PAUSE_MS;

  public ChangeFeed(Env env, StateStore store, Replica replica, Runnable onSynced) {
    this.env = env;
    this.store = store;
    this.replica = replica;
    this.onSynced = onSynced;
    this.currentAsOf = env.nowMillis();
  }

  /** True after a complete listing of all keys, until the service answers a watch with 410. */
  public boolean synced() {
    return synced;
  }

  /** Sets the pause between watches; it is short on nodes that must see new jobs quickly. */
  public void setWatchPause(long ms) {
    watchPauseMs = ms;
  }

  /**
   * The latest time, by the local monotonic clock, as of which the replica is known to be current.
   */
  public long currentAsOf() {
    return currentAsOf;
  }

  /** Milliseconds since the latest time as of which the replica is known to be current. */
  public long stalenessMs() {
    return env.nowMillis() - currentAsOf;
  }

  public void start() {
    listedKeys = 0;
    readPage(null, new VanishedKeys(replica.keysInOrder()), -1, env.nowMillis());
  }

  private void restart(long delayMs) {
    env.after(delayMs + env.random().nextInt(200), this::start);
  }

  /**
   * Lists one page of keys after {@code afterKey} and continues until all keys were read.
   *
   * @param baseRevision revision at which the first page was read, or -1 for the first page; the
   *     watch then starts there, since later pages show later revisions
   */
  private void readPage(String afterKey, VanishedKeys vanished, long baseRevision, long startedAt) {
    store.list(
        afterKey,
        answer -> {
          try {
            if (answer.status() != 200) {
              restart(LISTING_RETRY_MS);
              return;
            }
            long revision = Fields.count(answer.body(), "epoch");
            long listRevision = baseRevision < 0 ? revision : baseRevision;
            String lastKey = afterKey;
            for (JsonNode item : Fields.list(answer.body(), "items")) {
              lastKey = Fields.text(item, "key");
              vanished.onListed(lastKey);
              listedKeys++;
              replica.put(lastKey, item.get("data"), Fields.count(item, "stamp"));
            }
            if (Fields.flag(answer.body(), "hasNext")) {
              readPage(lastKey, vanished, listRevision, startedAt);
              return;
            }
            replica.removeVanished(vanished.onEnd(), listRevision);
            replica.advanceTo(listRevision);
            currentAsOf = startedAt;
            synced = true;
            LOG.info("state service listed at revision {}: {} keys", listRevision, listedKeys);
            onSynced.run();
            watch();
          } catch (MalformedException e) {
            LOG.info("malformed listing from the state service: {}", e.getMessage());
            restart(LISTING_RETRY_MS);
          } catch (RuntimeException e) {
            LOG.error("exception while taking in a listing; listing all keys again", e);
            restart(LISTING_RETRY_MS);
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
            // Changes were missed: the replica must not be used until all keys are listed again.
            synced = false;
            LOG.info(
                "changes since the replica's revision are not available; listing all keys again");
            start();
            return;
          }
          boolean ok = apply(answer, requestedAt);
          env.after(ok ? watchPauseMs : Constants.STANDBY_WATCH_PAUSE_MS, this::watch);
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
          // Answers to a watch and to a barrier can arrive in either order. This event was already
          // applied by the other one; applying it again could restore a key removed since.
          continue;
        }
        if (event.has("put")) {
          replica.put(Fields.text(event, "put"), event.get("data"), stamp);
        } else {
          replica.remove(Fields.text(event, "remove"), stamp);
        }
      }
      replica.advanceTo(Fields.count(answer.body(), "epoch"));
      currentAsOf = Math.max(currentAsOf, requestedAt);
      return true;
    } catch (MalformedException e) {
      LOG.info("malformed changes from the state service: {}", e.getMessage());
      return false;
    } catch (RuntimeException e) {
      // The changes are read again. Those that are in the replica already are passed over.
      LOG.error("exception while taking in changes", e);
      return false;
    }
  }

  /**
   * Read barrier: runs {@code then} with true once the replica contains everything that was written
   * before this call, with false if that could not be established. Calls that arrive before the
   * next barrier request is sent share that request.
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
    long delay = Math.max(0, lastBarrierAt + Constants.READ_BARRIER_PAUSE_MS - env.nowMillis());
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
