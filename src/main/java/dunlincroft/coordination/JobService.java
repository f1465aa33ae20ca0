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
 * Accepts, looks up and cancels jobs, independently of the protocol that users speak. Nothing is
 * reported before it is written, and a state that is not final is reported only after a read
 * barrier.
 */
public final class JobService {
  private static final Logger LOG = LoggerFactory.getLogger(JobService.class);

  /** Result of a request. */
  public enum ResultCode {
    CREATED,
    OK,
    NOT_FOUND,
    /** The job can never run. */
    IMPOSSIBLE,
    /** The request cannot be served at present and should be retried. */
    UNAVAILABLE
  }

  /**
   * Result of a request with the state of the job, if there is one. The cause is set for
   * UNAVAILABLE only, else null.
   */
  public record Response(
      ResultCode code,
      String ref,
      String status,
      int done,
      int running,
      int retryAfterS,
      UnavailableCause cause) {
    Response(ResultCode code, String ref, String status, int done, int running) {
      this(code, ref, status, done, running, Constants.MIN_RETRY_AFTER_S, null);
    }

    static Response of(ResultCode code, String ref) {
      return new Response(code, ref, null, 0, 0);
    }

    /** The request should be retried after the shortest delay. */
    static Response unavailable(String ref, UnavailableCause cause) {
      return retryAfter(ref, cause, Constants.MIN_RETRY_AFTER_S);
    }

    /** The request should be retried after the given number of seconds. */
    static Response retryAfter(String ref, UnavailableCause cause, int retryAfterS) {
      return new Response(ResultCode.UNAVAILABLE, ref, null, 0, 0, retryAfterS, cause);
    }
  }

  private final ClusterState cluster;
  private final Membership membership;
  private final Admission admission;

  JobService(ClusterState cluster, Membership membership) {
    this.cluster = cluster;
    this.membership = membership;
    admission = new Admission(cluster.settings.nodeName(), cluster.settings::weight);
  }

  /** Decides which submissions are admitted while more arrive than can be accepted. */
  Admission admission() {
    return admission;
  }

  /** Why no request can be served at present; null if requests can be served. */
  private UnavailableCause unavailableCause() {
    if (!cluster.feed.synced()) {
      return UnavailableCause.NOT_SYNCED;
    }
    return cluster.feed.stalenessMs() < Constants.MAX_STALENESS_MS
        ? null
        : UnavailableCause.OUT_OF_TOUCH;
  }

  /** Wraps a consumer so that UNAVAILABLE responses are counted by request type and cause. */
  private Consumer<Response> countingUnavailable(
      Metrics.RequestType type, Consumer<Response> then) {
    return response -> {
      if (response.code == ResultCode.UNAVAILABLE) {
        cluster.metrics.countUnavailable(type, response.cause);
      }
      then.accept(response);
    };
  }

  // ---- submit ----

  /** Accepts a job. A repeated submission reports the state of the job accepted before. */
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
    if (cluster.jobIndex.get(ref) != null) {
      readState(ref, then);
      return;
    }
    ResultCode validation = validate(spec);
    if (validation == ResultCode.IMPOSSIBLE) {
      // A repeated submission of an accepted job is never refused, even if it fits none of the
      // present machine types.
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
        JobIndex.newRecord(spec, owner, cluster.settings.tasksPerPage(), cluster.env.wallMillis());
    boolean isProd = spec.rank() == JobSpec.Rank.PROD;
    Urgency urgency = isProd ? Urgency.ACCEPT_PROD : Urgency.ACCEPT;
    TrafficClass trafficClass = new TrafficClass(spec.team(), spec.jobclass(), isProd);
    Admission.Verdict admissionDecision =
        admission.offer(ref, trafficClass, cluster.store.expectedWaitMs(urgency, 1), cluster.now());
    if (!admissionDecision.admitted()) {
      then.accept(
          Response.retryAfter(ref, UnavailableCause.NO_TURN, admissionDecision.retryAfterS()));
      return;
    }
    cluster.store.commit(
        urgency,
        new Txn()
            .guard(Wire.key(Replica.JOBS, ref), 0)
            .guard(Wire.key(Replica.ENDED, ref), 0)
            .put(Wire.key(Replica.JOBS, ref), record),
        Constants.MAX_BUDGET_WAIT_MS,
        result -> {
          if (result.ok() || result.outcome() == Txn.Outcome.CONFLICT) {
            admission.settled(ref, trafficClass);
          }
          switch (result.outcome()) {
            case OK -> {
              LOG.info(
                  "job {} of team {} accepted: {} tasks of class {}, owner {}",
                  ref,
                  spec.team(),
                  spec.taskCount(),
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
                        admission.retryLater(ref, trafficClass, cluster.now())));
            default -> then.accept(Response.unavailable(ref, UnavailableCause.NO_ANSWER));
          }
        });
  }

  /**
   * Checks a job against its team's limit and the machine types; CREATED if it can run, UNAVAILABLE
   * while no machine types are known.
   */
  private ResultCode validate(JobSpec spec) {
    Settings.Team team = cluster.settings.teams().get(spec.team());
    if (team == null) {
      return ResultCode.IMPOSSIBLE;
    }
    if (!spec.resources().times(spec.isService() ? spec.taskCount() : 1).fitsInto(team.limit())) {
      return ResultCode.IMPOSSIBLE;
    }
    if (cluster.machineTypes.isEmpty()) {
      return ResultCode.UNAVAILABLE;
    }
    return cluster.allowedTypes(spec).isEmpty() ? ResultCode.IMPOSSIBLE : ResultCode.CREATED;
  }

  // ---- look up ----

  /** The response for a job whose final state the replica holds, else null. */
  private Response endedResponse(String ref) {
    Item item = cluster.replica.get(Replica.ENDED, ref);
    return item == null ? null : endedResponse(ref, item.data(), item.stamp());
  }

  private Response endedResponse(String ref, JsonNode endRecord, long revision) {
    String status = endRecord.path(Replica.STATUS).asText();
    if (status.equals(Wire.CANCELLED) && !membership.acknowledgeCancellation(ref, revision)) {
      return Response.unavailable(ref, UnavailableCause.PROMISED);
    }
    return new Response(ResultCode.OK, ref, status, endRecord.path("done").asInt(), 0);
  }

  /** Reports the state of a job. */
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

  /**
   * Reports the state after a read barrier. If the replica has evicted final states, a job that it
   * does not know is looked up in the state service before NOT_FOUND (404) is reported.
   */
  private void readOrLookUp(String ref, Consumer<Response> then) {
    readState(
        ref,
        response -> {
          if (response.code != ResultCode.NOT_FOUND || !cluster.replica.hasEvictedFinalStates()) {
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

  /** Reads the final state of a job that the replica has evicted. */
  private void lookUpInStore(String kind, String ref, Consumer<Response> then) {
    cluster.store.get(
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

  /** Reports the state according to the replica after a read barrier. */
  private void readState(String ref, Consumer<Response> then) {
    cluster.feed.barrier(
        ok -> {
          if (!ok) {
            then.accept(Response.unavailable(ref, UnavailableCause.NO_BARRIER));
            return;
          }
          Response endedJob = endedResponse(ref);
          JobIndex.Job job = cluster.jobIndex.get(ref);
          Item cancel = cluster.replica.get(Replica.CANCELS, ref);
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

  /**
   * Reports a cancellation to a user. It is registered with the membership first, because the other
   * controllers rely on being told of every cancellation that any user was told.
   */
  private Response cancelledResponse(String ref, long revision, int done) {
    return membership.acknowledgeCancellation(ref, revision)
        ? new Response(ResultCode.OK, ref, Wire.CANCELLED, done, 0)
        : Response.unavailable(ref, UnavailableCause.PROMISED);
  }

  /** Cancels a job that has not ended, and reports its state. */
  public void cancel(String ref, Consumer<Response> answer) {
    Consumer<Response> then = countingUnavailable(Metrics.RequestType.CANCEL, answer);
    find(
        ref,
        response -> {
          boolean isUnfinished =
              response.code == ResultCode.OK
                  && !response.status.equals(Wire.DONE)
                  && !response.status.equals(Wire.CANCELLED);
          if (!isUnfinished) {
            then.accept(response);
            return;
          }
          cluster.store.commit(
              Urgency.CANCEL,
              new Txn()
                  .guard(Wire.key(Replica.JOBS, ref), cluster.replica.stamp(Replica.JOBS, ref))
                  .guard(Wire.key(Replica.CANCELS, ref), 0)
                  .put(Wire.key(Replica.CANCELS, ref), Cbor.map()),
              result -> {
                switch (result.outcome()) {
                  case OK -> {
                    LOG.info("job {} cancelled by its user", ref);
                    // The number of done tasks was read behind a barrier that followed this
                    // request, so no earlier response reported a higher one.
                    then.accept(cancelledResponse(ref, result.revision(), response.done));
                  }
                  case CONFLICT -> readState(ref, then);
                  default -> then.accept(Response.unavailable(ref, UnavailableCause.NO_ANSWER));
                }
              });
        });
  }
}
