package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.admission.Admission;
import dunlincroft.admission.TrafficClass;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.StateStore.Urgency;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.Wire;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts, shows and cancels jobs for whatever front the users come through. Nothing is told before
 * it is written, and nothing that is not final without a read barrier.
 */
public final class JobDesk {
  private static final Logger LOG = LoggerFactory.getLogger(JobDesk.class);

  /** What became of a request. */
  public enum Verdict {
    CREATED,
    OK,
    NOT_FOUND,
    /** Can never run. */
    IMPOSSIBLE,
    /** Not now: the user comes back. */
    UNAVAILABLE
  }

  /** A verdict and, where there is one, the job's state; the cause of "not now", else null. */
  public record Outcome(
      Verdict verdict,
      String ref,
      String status,
      int done,
      int running,
      int retryAfterS,
      UnavailableCause cause) {
    Outcome(Verdict verdict, String ref, String status, int done, int running) {
      this(verdict, ref, status, done, running, Constants.RETRY_AFTER_S, null);
    }

    static Outcome of(Verdict verdict, String ref) {
      return new Outcome(verdict, ref, null, 0, 0);
    }

    /** Not now: the user comes again soon. */
    static Outcome unavailable(String ref, UnavailableCause cause) {
      return later(ref, cause, Constants.RETRY_AFTER_S);
    }

    /** Not now: the user's turn is in so many seconds. */
    static Outcome later(String ref, UnavailableCause cause, int retryAfterS) {
      return new Outcome(Verdict.UNAVAILABLE, ref, null, 0, 0, retryAfterS, cause);
    }
  }

  private final ClusterState world;
  private final Membership members;
  private final Admission admission;

  JobDesk(ClusterState world, Membership members) {
    this.world = world;
    this.members = members;
    admission = new Admission(world.settings.node(), world.settings::weight);
  }

  /** Who of the users is let in while more come than can be accepted. */
  Admission admission() {
    return admission;
  }

  /** Why nobody can be served; null: they can. */
  private UnavailableCause unready() {
    if (!world.feed.synced()) {
      return UnavailableCause.NOT_SYNCED;
    }
    return world.feed.stalenessMs() < Constants.STALE_MS ? null : UnavailableCause.OUT_OF_TOUCH;
  }

  /** The same consumer; whoever is answered "not now" is counted by the cause. */
  private Consumer<Outcome> counted(Figures.Asker asker, Consumer<Outcome> then) {
    return outcome -> {
      if (outcome.verdict == Verdict.UNAVAILABLE) {
        world.metrics.turnedAway(asker, outcome.cause);
      }
      then.accept(outcome);
    };
  }

  // ---- submit ----

  public void submit(JobSpec spec, Consumer<Outcome> answer) {
    Consumer<Outcome> then = counted(Figures.Asker.SUBMIT, answer);
    String ref = spec.ref();
    Outcome last = ended(ref);
    if (last != null) {
      then.accept(last);
      return;
    }
    UnavailableCause unready = unready();
    if (unready != null) {
      then.accept(Outcome.unavailable(ref, unready));
      return;
    }
    if (world.jobIndex.get(ref) != null) {
      state(ref, then);
      return;
    }
    Verdict verdict = judge(spec);
    if (verdict == Verdict.IMPOSSIBLE) {
      // A repeated submission of an accepted job is never refused, whatever the types say now.
      known(
          ref,
          there ->
              then.accept(
                  there.verdict == Verdict.NOT_FOUND
                      ? Outcome.of(Verdict.IMPOSSIBLE, ref)
                      : there));
      return;
    }
    String owner = members.shardForJob(ref);
    if (verdict == Verdict.UNAVAILABLE || owner == null) {
      then.accept(Outcome.unavailable(ref, UnavailableCause.NO_OWNER));
      return;
    }
    create(spec, owner, then);
  }

  private void create(JobSpec spec, String owner, Consumer<Outcome> then) {
    String ref = spec.ref();
    ObjectNode record =
        JobIndex.newRecord(spec, owner, world.settings.pageTasks(), world.env.wallMillis());
    boolean prod = spec.rank() == JobSpec.Rank.PROD;
    Urgency urgency = prod ? Urgency.ACCEPT_PROD : Urgency.ACCEPT;
    TrafficClass flow = new TrafficClass(spec.owner(), spec.jobclass(), prod);
    Admission.Verdict verdict =
        admission.offer(ref, flow, world.store.expectedWaitMs(urgency, 1), world.now());
    if (!verdict.admitted()) {
      then.accept(Outcome.later(ref, UnavailableCause.NO_TURN, verdict.retryAfterS()));
      return;
    }
    world.store.commit(
        urgency,
        new Txn()
            .guard(Wire.key(Replica.JOBS, ref), 0)
            .guard(Wire.key(Replica.ENDED, ref), 0)
            .put(Wire.key(Replica.JOBS, ref), record),
        Constants.BUDGET_WAIT_MS,
        result -> {
          if (result.ok() || result.outcome() == Txn.Outcome.CONFLICT) {
            admission.settled(ref, flow);
          }
          switch (result.outcome()) {
            case OK -> {
              LOG.info(
                  "job {} of {} accepted: {} tasks of class {}, owner {}",
                  ref,
                  spec.owner(),
                  spec.pieces(),
                  spec.jobclass(),
                  owner);
              then.accept(new Outcome(Verdict.CREATED, ref, Wire.PENDING, 0, 0));
            }
            case CONFLICT -> known(ref, then);
            case REFUSED ->
                then.accept(
                    Outcome.later(
                        ref,
                        UnavailableCause.NO_BUDGET,
                        admission.retryLater(ref, flow, world.now())));
            default -> then.accept(Outcome.unavailable(ref, UnavailableCause.NO_ANSWER));
          }
        });
  }

  private Verdict judge(JobSpec spec) {
    Settings.Team team = world.settings.teams().get(spec.owner());
    if (team == null) {
      return Verdict.IMPOSSIBLE;
    }
    if (!spec.room().times(spec.daemon() ? spec.pieces() : 1).fits(team.limit())) {
      return Verdict.IMPOSSIBLE;
    }
    if (world.machineTypes.isEmpty()) {
      return Verdict.UNAVAILABLE;
    }
    return world.allowedTypes(spec).isEmpty() ? Verdict.IMPOSSIBLE : Verdict.CREATED;
  }

  // ---- look up ----

  private Outcome ended(String ref) {
    Item item = world.replica.get(Replica.ENDED, ref);
    return item == null ? null : ended(ref, item.data(), item.stamp());
  }

  private Outcome ended(String ref, JsonNode end, long revision) {
    String status = end.path(Replica.STATUS).asText();
    if (status.equals(Wire.WITHDRAWN) && !members.acknowledgeCancellation(ref, revision)) {
      return Outcome.unavailable(ref, UnavailableCause.PROMISED);
    }
    return new Outcome(Verdict.OK, ref, status, end.path("done").asInt(), 0);
  }

  public void poll(String ref, Consumer<Outcome> then) {
    look(ref, counted(Figures.Asker.POLL, then));
  }

  private void look(String ref, Consumer<Outcome> then) {
    Outcome last = ended(ref);
    UnavailableCause unready = unready();
    if (last != null) {
      then.accept(last);
    } else if (unready != null) {
      then.accept(Outcome.unavailable(ref, unready));
    } else {
      known(ref, then);
    }
  }

  /** The state after a barrier; one whose end may have been forgotten is looked up before a 404. */
  private void known(String ref, Consumer<Outcome> then) {
    state(
        ref,
        outcome -> {
          if (outcome.verdict != Verdict.NOT_FOUND || !world.replica.hasEvictedFinalStates()) {
            then.accept(outcome);
            return;
          }
          lookUp(
              Replica.JOBS,
              ref,
              found -> {
                if (found.verdict == Verdict.NOT_FOUND) {
                  lookUp(Replica.ENDED, ref, then);
                } else {
                  then.accept(found);
                }
              });
        });
  }

  /** Reads the end of a job that our replica no longer holds. */
  private void lookUp(String kind, String ref, Consumer<Outcome> then) {
    world.store.get(
        Wire.key(kind, ref),
        answer -> {
          if (answer.status() == 404) {
            then.accept(Outcome.of(Verdict.NOT_FOUND, ref));
          } else if (answer.status() == 200 && answer.body().path("data").has(Replica.STATUS)) {
            long revision = answer.body().path("stamp").asLong();
            then.accept(ended(ref, answer.body().path("data"), revision));
          } else {
            then.accept(Outcome.unavailable(ref, UnavailableCause.NO_LOOKUP));
          }
        });
  }

  private void state(String ref, Consumer<Outcome> then) {
    world.feed.barrier(
        ok -> {
          if (!ok) {
            then.accept(Outcome.unavailable(ref, UnavailableCause.NO_BARRIER));
            return;
          }
          Outcome last = ended(ref);
          JobIndex.Job job = world.jobIndex.get(ref);
          Item cancel = world.replica.get(Replica.CANCELS, ref);
          if (last != null) {
            then.accept(last);
          } else if (job == null) {
            then.accept(Outcome.of(Verdict.NOT_FOUND, ref));
          } else if (cancel != null) {
            then.accept(withdrawn(ref, cancel.stamp(), job.doneCount()));
          } else {
            int placed = job.placedCount();
            String status = placed > 0 ? Wire.RUNNING : Wire.PENDING;
            then.accept(new Outcome(Verdict.OK, ref, status, job.doneCount(), placed));
          }
        });
  }

  // ---- cancel ----

  /** Who tells of a cancellation vouches for it to the other controllers, before the user knows. */
  private Outcome withdrawn(String ref, long revision, int done) {
    return members.acknowledgeCancellation(ref, revision)
        ? new Outcome(Verdict.OK, ref, Wire.WITHDRAWN, done, 0)
        : Outcome.unavailable(ref, UnavailableCause.PROMISED);
  }

  public void cancel(String ref, Consumer<Outcome> answer) {
    Consumer<Outcome> then = counted(Figures.Asker.CANCEL, answer);
    look(
        ref,
        outcome -> {
          boolean open =
              outcome.verdict == Verdict.OK
                  && !outcome.status.equals(Wire.DONE)
                  && !outcome.status.equals(Wire.WITHDRAWN);
          if (!open) {
            then.accept(outcome);
            return;
          }
          world.store.commit(
              Urgency.CANCEL,
              new Txn()
                  .guard(Wire.key(Replica.JOBS, ref), world.replica.stamp(Replica.JOBS, ref))
                  .guard(Wire.key(Replica.CANCELS, ref), 0)
                  .put(Wire.key(Replica.CANCELS, ref), Cbor.map()),
              result -> {
                switch (result.outcome()) {
                  case OK -> {
                    LOG.info("job {} cancelled by its user", ref);
                    // The barrier came after the request: nobody was told of more before it.
                    then.accept(withdrawn(ref, result.revision(), outcome.done));
                  }
                  case CONFLICT -> state(ref, then);
                  default -> then.accept(Outcome.unavailable(ref, UnavailableCause.NO_ANSWER));
                }
              });
        });
  }
}
