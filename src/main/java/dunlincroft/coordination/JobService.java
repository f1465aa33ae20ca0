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
public final class JobService {
  private static final Logger LOG = LoggerFactory.getLogger(JobService.class);

  /** What became of a request. */
  public enum ResultCode {
    CREATED,
    OK,
    NOT_FOUND,
    /** Can never run. */
    IMPOSSIBLE,
    /** Not now: the user comes back. */
    UNAVAILABLE
  }

  /** A verdict and, where there is one, the job's state; the cause of "not now", else null. */
  public record Response(
      ResultCode code,
      String ref,
      String status,
      int done,
      int running,
      int retryAfterS,
      UnavailableCause cause) {
    Response(ResultCode code, String ref, String status, int done, int running) {
      this(code, ref, status, done, running, Constants.RETRY_AFTER_S, null);
    }

    static Response of(ResultCode code, String ref) {
      return new Response(code, ref, null, 0, 0);
    }

    /** Not now: the user comes again soon. */
    static Response unavailable(String ref, UnavailableCause cause) {
      return retryAfter(ref, cause, Constants.RETRY_AFTER_S);
    }

    /** Not now: the user's turn is in so many seconds. */
    static Response retryAfter(String ref, UnavailableCause cause, int retryAfterS) {
      return new Response(ResultCode.UNAVAILABLE, ref, null, 0, 0, retryAfterS, cause);
    }
  }

  private final ClusterState clusterState;
  private final Membership membership;
  private final Admission admission;

  JobService(ClusterState clusterState, Membership membership) {
    this.clusterState = clusterState;
    this.membership = membership;
    admission = new Admission(clusterState.settings.node(), clusterState.settings::weight);
  }

  /** Who of the users is let in while more come than can be accepted. */
  Admission admission() {
    return admission;
  }

  /** Why nobody can be served; null: they can. */
  private UnavailableCause unavailableCause() {
    if (!clusterState.feed.synced()) {
      return UnavailableCause.NOT_SYNCED;
    }
    return clusterState.feed.stalenessMs() < Constants.STALE_MS
        ? null
        : UnavailableCause.OUT_OF_TOUCH;
  }

  /** The same consumer; whoever is answered "not now" is counted by the cause. */
  private Consumer<Response> countingUnavailable(
      Metrics.RequestType type, Consumer<Response> then) {
    return response -> {
      if (response.code == ResultCode.UNAVAILABLE) {
        clusterState.metrics.countUnavailable(type, response.cause);
      }
      then.accept(response);
    };
  }

  // ---- submit ----

  public void submit(JobSpec spec, Consumer<Response> answer) {
    Consumer<Response> then = countingUnavailable(Metrics.RequestType.SUBMIT, answer);
    String ref = spec.ref();
    Response endedJob = endedResponse(ref);
    if (endedJob != null) {
      then.accept(endedJob);
      return;
    }
    UnavailableCause unavailableCause = unavailableCause();
    if (unavailableCause != null) {
      then.accept(Response.unavailable(ref, unavailableCause));
      return;
    }
    if (clusterState.jobIndex.get(ref) != null) {
      readState(ref, then);
      return;
    }
    ResultCode validation = validate(spec);
    if (validation == ResultCode.IMPOSSIBLE) {
      // A repeated submission of an accepted job is never refused, whatever the types say now.
      readOrLookUp(
          ref,
          known ->
              then.accept(
                  known.code == ResultCode.NOT_FOUND
                      ? Response.of(ResultCode.IMPOSSIBLE, ref)
                      : known));
      return;
    }
    String owner = membership.shardForJob(ref);
    if (validation == ResultCode.UNAVAILABLE || owner == null) {
      then.accept(Response.unavailable(ref, UnavailableCause.NO_OWNER));
      return;
    }
    create(spec, owner, then);
  }

  private void create(JobSpec spec, String owner, Consumer<Response> then) {
    String ref = spec.ref();
    ObjectNode record =
        JobIndex.newRecord(
            spec, owner, clusterState.settings.pageTasks(), clusterState.env.wallMillis());
    boolean isProd = spec.rank() == JobSpec.Rank.PROD;
    Urgency urgency = isProd ? Urgency.ACCEPT_PROD : Urgency.ACCEPT;
    TrafficClass trafficClass = new TrafficClass(spec.owner(), spec.jobclass(), isProd);
    Admission.Verdict admissionDecision =
        admission.offer(
            ref, trafficClass, clusterState.store.expectedWaitMs(urgency, 1), clusterState.now());
    if (!admissionDecision.admitted()) {
      then.accept(
          Response.retryAfter(ref, UnavailableCause.NO_TURN, admissionDecision.retryAfterS()));
      return;
    }
    clusterState.store.commit(
        urgency,
        new Txn()
            .guard(Wire.key(Replica.JOBS, ref), 0)
            .guard(Wire.key(Replica.ENDED, ref), 0)
            .put(Wire.key(Replica.JOBS, ref), record),
        Constants.BUDGET_WAIT_MS,
        result -> {
          if (result.ok() || result.outcome() == Txn.Outcome.CONFLICT) {
            admission.settled(ref, trafficClass);
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
              then.accept(new Response(ResultCode.CREATED, ref, Wire.PENDING, 0, 0));
            }
            case CONFLICT -> readOrLookUp(ref, then);
            case REFUSED ->
                then.accept(
                    Response.retryAfter(
                        ref,
                        UnavailableCause.NO_BUDGET,
                        admission.retryLater(ref, trafficClass, clusterState.now())));
            default -> then.accept(Response.unavailable(ref, UnavailableCause.NO_ANSWER));
          }
        });
  }

  private ResultCode validate(JobSpec spec) {
    Settings.Team team = clusterState.settings.teams().get(spec.owner());
    if (team == null) {
      return ResultCode.IMPOSSIBLE;
    }
    if (!spec.room().times(spec.daemon() ? spec.pieces() : 1).fits(team.limit())) {
      return ResultCode.IMPOSSIBLE;
    }
    if (clusterState.machineTypes.isEmpty()) {
      return ResultCode.UNAVAILABLE;
    }
    return clusterState.allowedTypes(spec).isEmpty() ? ResultCode.IMPOSSIBLE : ResultCode.CREATED;
  }

  // ---- look up ----

  private Response endedResponse(String ref) {
    Item item = clusterState.replica.get(Replica.ENDED, ref);
    return item == null ? null : endedResponse(ref, item.data(), item.stamp());
  }

  private Response endedResponse(String ref, JsonNode endRecord, long revision) {
    String status = endRecord.path(Replica.STATUS).asText();
    if (status.equals(Wire.WITHDRAWN) && !membership.acknowledgeCancellation(ref, revision)) {
      return Response.unavailable(ref, UnavailableCause.PROMISED);
    }
    return new Response(ResultCode.OK, ref, status, endRecord.path("done").asInt(), 0);
  }

  public void poll(String ref, Consumer<Response> then) {
    find(ref, countingUnavailable(Metrics.RequestType.POLL, then));
  }

  private void find(String ref, Consumer<Response> then) {
    Response endedJob = endedResponse(ref);
    UnavailableCause unavailableCause = unavailableCause();
    if (endedJob != null) {
      then.accept(endedJob);
    } else if (unavailableCause != null) {
      then.accept(Response.unavailable(ref, unavailableCause));
    } else {
      readOrLookUp(ref, then);
    }
  }

  /** The state after a barrier; one whose end may have been forgotten is looked up before a 404. */
  private void readOrLookUp(String ref, Consumer<Response> then) {
    readState(
        ref,
        response -> {
          if (response.code != ResultCode.NOT_FOUND
              || !clusterState.replica.hasEvictedFinalStates()) {
            then.accept(response);
            return;
          }
          lookUpInStore(
              Replica.JOBS,
              ref,
              found -> {
                if (found.code == ResultCode.NOT_FOUND) {
                  lookUpInStore(Replica.ENDED, ref, then);
                } else {
                  then.accept(found);
                }
              });
        });
  }

  /** Reads the end of a job that our replica no longer holds. */
  private void lookUpInStore(String kind, String ref, Consumer<Response> then) {
    clusterState.store.get(
        Wire.key(kind, ref),
        answer -> {
          if (answer.status() == 404) {
            then.accept(Response.of(ResultCode.NOT_FOUND, ref));
          } else if (answer.status() == 200 && answer.body().path("data").has(Replica.STATUS)) {
            long revision = answer.body().path("stamp").asLong();
            then.accept(endedResponse(ref, answer.body().path("data"), revision));
          } else {
            then.accept(Response.unavailable(ref, UnavailableCause.NO_LOOKUP));
          }
        });
  }

  private void readState(String ref, Consumer<Response> then) {
    clusterState.feed.barrier(
        ok -> {
          if (!ok) {
            then.accept(Response.unavailable(ref, UnavailableCause.NO_BARRIER));
            return;
          }
          Response endedJob = endedResponse(ref);
          JobIndex.Job job = clusterState.jobIndex.get(ref);
          Item cancel = clusterState.replica.get(Replica.CANCELS, ref);
          if (endedJob != null) {
            then.accept(endedJob);
          } else if (job == null) {
            then.accept(Response.of(ResultCode.NOT_FOUND, ref));
          } else if (cancel != null) {
            then.accept(cancelledResponse(ref, cancel.stamp(), job.doneCount()));
          } else {
            int placed = job.placedCount();
            String status = placed > 0 ? Wire.RUNNING : Wire.PENDING;
            then.accept(new Response(ResultCode.OK, ref, status, job.doneCount(), placed));
          }
        });
  }

  // ---- cancel ----

  /** Who tells of a cancellation vouches for it to the other controllers, before the user knows. */
  private Response cancelledResponse(String ref, long revision, int done) {
    return membership.acknowledgeCancellation(ref, revision)
        ? new Response(ResultCode.OK, ref, Wire.WITHDRAWN, done, 0)
        : Response.unavailable(ref, UnavailableCause.PROMISED);
  }

  public void cancel(String ref, Consumer<Response> answer) {
    Consumer<Response> then = countingUnavailable(Metrics.RequestType.CANCEL, answer);
    find(
        ref,
        response -> {
          boolean isUnfinished =
              response.code == ResultCode.OK
                  && !response.status.equals(Wire.DONE)
                  && !response.status.equals(Wire.WITHDRAWN);
          if (!isUnfinished) {
            then.accept(response);
            return;
          }
          clusterState.store.commit(
              Urgency.CANCEL,
              new Txn()
                  .guard(Wire.key(Replica.JOBS, ref), clusterState.replica.stamp(Replica.JOBS, ref))
                  .guard(Wire.key(Replica.CANCELS, ref), 0)
                  .put(Wire.key(Replica.CANCELS, ref), Cbor.map()),
              result -> {
                switch (result.outcome()) {
                  case OK -> {
                    LOG.info("job {} cancelled by its user", ref);
                    // The barrier came after the request: nobody was told of more before it.
                    then.accept(cancelledResponse(ref, result.revision(), response.done));
                  }
                  case CONFLICT -> readState(ref, then);
                  default -> then.accept(Response.unavailable(ref, UnavailableCause.NO_ANSWER));
                }
              });
        });
  }
}
