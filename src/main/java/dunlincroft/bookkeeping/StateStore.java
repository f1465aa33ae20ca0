package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.DeferredTask;
import dunlincroft.transport.Env;
import dunlincroft.transport.Env.Reply;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service that stays within this controller's share of the service's published
 * rates. Calls wait in one queue per urgency; a call that gets no budget within its time limit is
 * refused without being sent.
 */
public final class StateStore {
  private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

  /** Purpose of a call, the most urgent first. */
  public enum Urgency {
    /** Opening and renewing this node's session, and the record tied to it. */
    HOLD,
    /** Changes of ownership and other coordination records, and listing all keys. */
    HANDS,
    /** Watches, read barriers and reads of single keys. */
    READ,
    /** Final states of jobs. */
    FINISH,
    /** Cancellations, and raising fence tokens. */
    CANCEL,
    /** Log entries that record the start of tasks. */
    START,
    /** Acceptance of production jobs. */
    ACCEPT_PROD,
    /** Acceptance of all other jobs. */
    ACCEPT,
    /** Task progress, pages and clean-up, which can wait. */
    LAZY
  }

  /** An answer with its parsed body; status 0 if there was no usable answer. */
  public record Answer(int status, ObjectNode body) {}

  /** Requests and changes a second that the service allows. */
  public record Rates(double rps, double writeRps) {}

  private record PendingCall(
      Urgency urgency,
      String method,
      String path,
      ObjectNode body,
      int writes,
      long timeoutMs,
      long refuseAtMs,
      Consumer<Answer> then) {}

  /** A transaction is malformed or too large, or the session that it names does not exist. */
  private static final int BAD_REQUEST = 400;

  /** The error of an answer 400 that says that a session does not exist. */
  private static final String NO_SESSION = "no such lease";

  private static final int MAX_LOGGED_KEYS = 100;

  /** How long after a 429 the lower rates count that the service has announced. */
  private static final long THROTTLED_MS = 20_000;

  private static final int TOO_MANY_REQUESTS = 429;

  /** Answer to a call that was not sent for lack of budget; the service itself also uses 429. */
  private static final Answer NOT_SENT = new Answer(TOO_MANY_REQUESTS, null);

  private final Env env;
  private final String address;

  /** The usable part of the published rates, in requests and in writes per second. */
  private final double rps;

  private final double writeRps;

  /** The same while the service rejects calls for their rate. */
  private final double throttledRps;

  private final double throttledWriteRps;
  private long throttledUntilMs;

  /** First keys of transactions that were rejected for good: each is logged once. */
  private final Set<String> loggedKeys = new HashSet<>();

  private final TokenBucket requests;

  /** Reads that may be sent even while requests are scarce. */
  private final TokenBucket reservedReads;

  private final TokenBucket writes;
  private final List<ArrayDeque<PendingCall>> queues = new ArrayList<>();
  private final Replica replica;
  private final DeferredTask dispatcher;

  /** Requests and writes submitted, whether or not they could be sent yet. */
  private final RateMeter requestDemand = new RateMeter();

  private final RateMeter writeDemand = new RateMeter();
  private final Map<Urgency, Integer> writesByUrgency = new EnumMap<>(Urgency.class);

  /** Calls sent, and calls refused for lack of budget, since the process started. */
  private long sent;

  private long refused;

  /** Changes that the caller holds back until there is budget for them. */
  private int backlog;

  /** Whether the last call that was sent was a read. */
  private boolean lastSentWasRead;

  /** Writes that are more urgent than the acceptance of jobs. */
  private final RateMeter urgentWrites = new RateMeter();

  private double urgentWritesPerSecond;

  public StateStore(Env env, String address, double rps, double writeRps, Replica replica) {
    this(env, address, new Rates(rps, writeRps), new Rates(rps, writeRps), replica);
  }

  /**
   * @param published the rates of the service for all controllers together
   * @param announced the rates to which the service may change without notice
   */
  public StateStore(Env env, String address, Rates published, Rates announced, Replica replica) {
    this.env = env;
    this.dispatcher = new DeferredTask(env, this::dispatch);
    this.address = address;
    this.rps = published.rps * Constants.USABLE_RATE_FRACTION;
    this.writeRps = published.writeRps * Constants.USABLE_RATE_FRACTION;
    this.throttledRps = Math.min(rps, announced.rps * Constants.USABLE_RATE_FRACTION);
    this.throttledWriteRps =
        Math.min(writeRps, announced.writeRps * Constants.USABLE_RATE_FRACTION);
    this.replica = replica;
    this.requests = new TokenBucket(0, this.rps / Constants.BURST_DIVISOR, env.nowMillis());
    this.reservedReads = new TokenBucket(0, 1, env.nowMillis());
    this.writes = new TokenBucket(0, this.writeRps / Constants.BURST_DIVISOR, env.nowMillis());
    setShare(new RateDemand(0, 0), List.of());
    for (int i = 0; i < Urgency.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** A controller's demand on the published rates, in requests and in writes per second. */
  public record RateDemand(double requests, double writes) {}

  /** A rate per second, as an exponentially weighted moving average. */
  private static final class RateMeter {
    private double perSecond;
    private double sum;

    void add(double n) {
      sum += n;
    }

    /** Ends an interval of {@code seconds} and returns the updated average. */
    double sample(double seconds) {
      double decay = Math.exp(-seconds / Constants.RATE_DEMAND_SMOOTHING_S);
      perSecond = perSecond * decay + sum / seconds * (1 - decay);
      sum = 0;
      return perSecond;
    }
  }

  /** This controller's demand; {@code seconds} is the time since the previous call. */
  public RateDemand demand(double seconds) {
    urgentWritesPerSecond = urgentWrites.sample(seconds);
    return new RateDemand(requestDemand.sample(seconds), writeDemand.sample(seconds) + backlog);
  }

  /** Sets the number of changes that wait for budget at the caller; they count as demand. */
  public void setBacklog(int waitingWrites) {
    backlog = waitingWrites;
  }

  /**
   * Sets this controller's share of the published rates in proportion to the demand of all
   * controllers. Each controller gets a minimum share for sudden load. Controllers compute their
   * shares independently; if these add up to more than the published rate, the service answers 429.
   */
  public void setShare(RateDemand own, List<RateDemand> others) {
    int controllers = others.size() + 1;
    long now = env.nowMillis();
    double usableRps = now < throttledUntilMs ? throttledRps : rps;
    double usableWriteRps = now < throttledUntilMs ? throttledWriteRps : writeRps;
    double floorRequests = usableRps / Constants.MIN_SHARE_DIVISOR / controllers;
    double floorWrites = usableWriteRps / Constants.MIN_SHARE_DIVISOR / controllers;
    double sumRequests = own.requests + controllers * floorRequests;
    double sumWrites = own.writes + controllers * floorWrites;
    for (RateDemand other : others) {
      sumRequests += other.requests;
      sumWrites += other.writes;
    }
    reservedReads.rate(usableRps * Constants.RESERVED_READS_FRACTION / controllers, now);
    requests.rate(usableRps * (own.requests + floorRequests) / sumRequests, now);
    writes.rate(usableWriteRps * (own.writes + floorWrites) / sumWrites, now);
  }

  /** Number of writes that can be sent now while leaving a reserve for more urgent ones. */
  public int availableWrites() {
    if (waitingCalls() > 0) {
      return 0;
    }
    return (int) writes.availableAbove(Constants.RESERVED_WRITES_FRACTION, env.nowMillis());
  }

  /** Number of calls that wait for budget. */
  public int waitingCalls() {
    int n = 0;
    for (ArrayDeque<PendingCall> queue : queues) {
      n += queue.size();
    }
    return n;
  }

  /**
   * Metrics line: counts of calls since the process started, the current queue, and writes by
   * urgency since the previous line.
   */
  public String metrics() {
    String line =
        "sent="
            + sent
            + " refused="
            + refused
            + " waiting="
            + waitingCalls()
            + " backlog="
            + backlog
            + " changes="
            + writesByUrgency;
    writesByUrgency.clear();
    return line;
  }

  private void submit(
      Urgency urgency,
      String method,
      String path,
      ObjectNode body,
      int writeCount,
      long timeoutMs,
      Consumer<Answer> then) {
    submit(urgency, method, path, body, writeCount, timeoutMs, Constants.MAX_BUDGET_WAIT_MS, then);
  }

  private void submit(
      Urgency urgency,
      String method,
      String path,
      ObjectNode body,
      int writeCount,
      long timeoutMs,
      long maxWaitMs,
      Consumer<Answer> then) {
    long now = env.nowMillis();
    if (isAcceptance(urgency) && expectedWaitMs(urgency, writeCount) > maxWaitMs) {
      // A submission that cannot be sent in time is refused now instead of at its time limit.
      refused++;
      env.after(0, () -> then.accept(NOT_SENT));
      return;
    }
    long refuseAt = now + maxWaitMs;
    queues
        .get(urgency.ordinal())
        .add(new PendingCall(urgency, method, path, body, writeCount, timeoutMs, refuseAt, then));
    requestDemand.add(1);
    writeDemand.add(writeCount);
    // Dispatched from a timer even if budget is available: a callback never runs inside submit.
    dispatcher.schedule(0);
  }

  private static boolean isAcceptance(Urgency urgency) {
    return urgency == Urgency.ACCEPT_PROD || urgency == Urgency.ACCEPT;
  }

  /**
   * Milliseconds that a call with this many writes would wait for write budget behind the waiting
   * calls of the same or higher urgency.
   */
  public long expectedWaitMs(Urgency urgency, int newWrites) {
    double ahead = newWrites;
    for (ArrayDeque<PendingCall> queue : queues.subList(0, urgency.ordinal() + 1)) {
      for (PendingCall pending : queue) {
        ahead += pending.writes;
      }
    }
    return (long) (1000 * writes.secondsUntil(ahead, env.nowMillis()));
  }

  /** Submissions per second that can be accepted beside the recent rate of more urgent writes. */
  public double acceptancesPerSecond() {
    return Math.max(
        writes.rate() - urgentWritesPerSecond, Constants.MIN_ACCEPTANCE_FRACTION * writes.rate());
  }

  private void dispatch() {
    long now = env.nowMillis();
    refuseOverdue();
    PendingCall next = nextCall(now);
    while (next != null && requests.has(1, now)) {
      queues.get(next.urgency.ordinal()).remove(next);
      requests.consume(1, now);
      writes.consume(next.writes, now);
      lastSentWasRead = next.writes == 0;
      if (next.urgency == Urgency.READ && reservedReads.has(1, now)) {
        reservedReads.consume(1, now);
      }
      send(next);
      next = nextCall(now);
    }
    if (waitingCalls() > 0) {
      dispatcher.schedule(Constants.DISPATCH_INTERVAL_MS);
    }
  }

  /** Refuses the calls whose time limit for getting budget has passed. */
  private void refuseOverdue() {
    List<PendingCall> overdue = new ArrayList<>();
    for (ArrayDeque<PendingCall> queue : queues) {
      while (!queue.isEmpty() && env.nowMillis() >= queue.peek().refuseAtMs) {
        overdue.add(queue.poll());
      }
    }
    refused += overdue.size();
    overdue.forEach(call -> call.then.accept(NOT_SENT));
  }

  /**
   * The call to send next, or null if no waiting call has budget. Reads and writes do not block
   * each other: a read does not wait behind a more urgent write that lacks write budget. If both
   * can be sent, they alternate, since a continuous stream of either would starve the other.
   * Session renewals take precedence.
   */
  private PendingCall nextCall(long now) {
    PendingCall read = firstWaiting(false);
    PendingCall write = firstWaiting(true);
    if (read != null && read.urgency == Urgency.READ && !canRead(now)) {
      read = null;
    }
    if (write != null && !writes.has(write.writes, now)) {
      write = null;
    }
    if (read == null || write == null) {
      return read == null ? write : read;
    }
    return lastSentWasRead && read.urgency != Urgency.HOLD ? write : read;
  }

  /** While requests are scarce, reads are limited to their reserved rate; writes get the rest. */
  private boolean canRead(long now) {
    return requests.availableAbove(Constants.AMPLE_REQUESTS_FRACTION, now) > 0
        || reservedReads.has(1, now);
  }

  /** The most urgent waiting write, or the most urgent waiting read; null if there is none. */
  private PendingCall firstWaiting(boolean isWrite) {
    for (ArrayDeque<PendingCall> queue : queues) {
      for (PendingCall pending : queue) {
        if (isWrite == pending.writes > 0) {
          return pending;
        }
      }
    }
    return null;
  }

  private void send(PendingCall call) {
    sent++;
    if (call.writes > 0) {
      writesByUrgency.merge(call.urgency, call.writes, Integer::sum);
      urgentWrites.add(call.urgency.ordinal() < Urgency.ACCEPT_PROD.ordinal() ? call.writes : 0);
    }
    env.call(
        new Env.Call(
            address,
            call.method,
            call.path,
            call.body == null ? null : Cbor.bytes(call.body),
            call.timeoutMs),
        reply -> {
          if (reply.status() == TOO_MANY_REQUESTS && env.nowMillis() < call.refuseAtMs) {
            // Not executed: all controllers together exceeded the rate. After a pause, the call is
            // retried before others of its urgency.
            throttledUntilMs = env.nowMillis() + THROTTLED_MS;
            queues.get(call.urgency.ordinal()).addFirst(call);
            (call.writes > 0 ? writes : requests).discardTokens(env.nowMillis());
            dispatcher.schedule(Constants.THROTTLED_PAUSE_MS);
          } else {
            call.then.accept(parseReply(reply));
          }
        });
  }

  private static Answer parseReply(Reply reply) {
    if (reply.status() == 0 || reply.body().length == 0) {
      return new Answer(reply.status() == 200 ? 0 : reply.status(), null);
    }
    try {
      return new Answer(reply.status(), Cbor.parse(reply.body()));
    } catch (MalformedException e) {
      LOG.info("state service answered {} with a malformed body", reply.status());
      return new Answer(reply.status() == 200 ? 0 : reply.status(), null);
    }
  }

  // ---- calls ----

  /** Commits a transaction; on success the replica is updated before {@code then} runs. */
  public void commit(Urgency urgency, Txn txn, Consumer<Txn.Result> then) {
    commit(urgency, txn, Constants.MAX_BUDGET_WAIT_MS, then);
  }

  /** Commits a transaction, which is refused if it would wait longer than this for budget. */
  public void commit(Urgency urgency, Txn txn, long maxWaitMs, Consumer<Txn.Result> then) {
    submit(
        urgency,
        "POST",
        Wire.TRANSACTION,
        txn.toNode(),
        txn.size(),
        Constants.STATE_CALL_TIMEOUT_MS,
        maxWaitMs,
        answer -> then.accept(result(txn, answer)));
  }

  private Txn.Result result(Txn txn, Answer answer) {
    try {
      switch (answer.status) {
        case 200 -> {
          long revision = Fields.count(answer.body, "epoch");
          // The answer may have waited in the socket buffer during a process pause. If the feed has
          // passed this revision, the replica already contains these changes and all later ones.
          // Applying them again would restore a job that has ended since, and the owner of its
          // shard would run it again.
          for (Txn.Op op : revision <= replica.revision() ? List.<Txn.Op>of() : txn.ops()) {
            if (op.data() == null) {
              replica.remove(op.key(), revision);
            } else {
              replica.put(op.key(), op.data(), revision);
            }
          }
          return new Txn.Result(Txn.Outcome.OK, revision, List.of());
        }
        case 409 -> {
          List<String> failed =
              answer.body == null ? null : Fields.textsOrNull(answer.body, "failed");
          return new Txn.Result(Txn.Outcome.CONFLICT, 0, failed == null ? List.of() : failed);
        }
        case BAD_REQUEST -> {
          return new Txn.Result(badRequestOutcome(txn, answer), 0, List.of());
        }
        case 429, 503 -> {
          return new Txn.Result(Txn.Outcome.REFUSED, 0, List.of());
        }
        default -> {
          return new Txn.Result(Txn.Outcome.UNKNOWN, 0, List.of());
        }
      }
    } catch (MalformedException e) {
      LOG.info("malformed commit answer from the state service: {}", e.getMessage());
      return new Txn.Result(Txn.Outcome.UNKNOWN, 0, List.of());
    }
  }

  /** A session that has ended can be replaced; anything else is wrong with the transaction. */
  private Txn.Outcome badRequestOutcome(Txn txn, Answer answer) {
    String error = answer.body == null ? "" : answer.body.path("error").asText();
    if (error.equals(NO_SESSION)) {
      return Txn.Outcome.REFUSED;
    }
    String firstKey = txn.ops().isEmpty() ? "none" : txn.ops().get(0).key();
    if (loggedKeys.size() >= MAX_LOGGED_KEYS || !loggedKeys.add(firstKey)) {
      return Txn.Outcome.INVALID;
    }
    LOG.error(
        "transaction of {} changes and {} characters rejected for good: {}; first key {}",
        txn.size(),
        txn.toNode().toString().length(),
        error,
        firstKey);
    return Txn.Outcome.INVALID;
  }

  /** Reads one key directly from the state service. */
  public void get(String key, Consumer<Answer> then) {
    submit(
        Urgency.READ, "GET", Wire.KEYS + "/" + key, null, 0, Constants.STATE_CALL_TIMEOUT_MS, then);
  }

  /** Lists one page of all keys, after the given key; null starts with the first key. */
  void list(String after, Consumer<Answer> then) {
    String path = Wire.KEYS + "?under=" + Wire.KEY_ROOT + "&most=" + Constants.KEY_PAGE_ENTRIES;
    submit(
        Urgency.HANDS,
        "GET",
        after == null ? path : path + "&since=" + after,
        null,
        0,
        2 * Constants.STATE_CALL_TIMEOUT_MS,
        then);
  }

  /** Reads the changes after a revision; waits for one up to {@code blockMs}. */
  void changes(long since, long blockMs, Consumer<Answer> then) {
    submit(
        Urgency.READ,
        "GET",
        Wire.CHANGES + "?under=" + Wire.KEY_ROOT + "&since=" + since + "&blockMs=" + blockMs,
        null,
        0,
        blockMs + Constants.STATE_CALL_TIMEOUT_MS,
        then);
  }

  /** Opens a session. */
  public void openSession(Consumer<Answer> then) {
    submit(
        Urgency.HOLD,
        "POST",
        Wire.SESSION_LEASES,
        Cbor.map().put("lifeMs", Constants.SESSION_TTL_MS),
        0,
        Constants.STATE_CALL_TIMEOUT_MS,
        then);
  }

  /** Renews a session. */
  public void renewSession(long sessionId, Consumer<Answer> then) {
    submit(
        Urgency.HOLD,
        "POST",
        Wire.SESSION_LEASES + "/" + sessionId + "/touch",
        Cbor.map(),
        0,
        Constants.STATE_CALL_TIMEOUT_MS,
        then);
  }

  /** The stamp in the answer to a GET; 0 if the key does not exist. */
  public static long stamp(Answer answer) throws MalformedException {
    return answer.status == 200 ? Fields.count(answer.body, "stamp") : 0;
  }

  /** The data in the answer to a GET; null if the key does not exist. */
  public static JsonNode data(Answer answer) {
    return answer.status == 200 ? answer.body.get("data") : null;
  }
}
