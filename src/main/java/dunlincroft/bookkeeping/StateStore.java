package dunlincroft.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.Malformed;
import dunlincroft.protocol.Wire;
import dunlincroft.transport.Env;
import dunlincroft.transport.Env.Reply;
import dunlincroft.transport.Soon;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state service by its protocol, within our part of its budget. Calls wait in queues by
 * urgency; one that finds no room in time is refused without being sent.
 */
public final class StateStore {
  private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

  /** What a call is for, the most urgent first. */
  public enum Urgency {
    HOLD,
    HANDS,
    READ,
    FINISH,
    CANCEL,
    START,
    ACCEPT_PROD,
    ACCEPT,
    LAZY
  }

  /** An answer as a map; status 0: none, or one that could not be understood. */
  public record Answer(int status, ObjectNode body) {}

  private record PendingCall(
      Urgency urgency,
      String method,
      String path,
      ObjectNode body,
      int writes,
      long timeoutMs,
      long refuseAtMs,
      Consumer<Answer> then) {}

  private static final int NO_SESSION = 400;
  private static final int TOO_MANY_REQUESTS = 429;

  /** Answer of a call that was never sent, for want of budget; the service itself says 429. */
  private static final Answer NOT_SENT = new Answer(TOO_MANY_REQUESTS, null);

  private final Env env;
  private final String address;
  private final double rps;
  private final double writeRps;
  private final TokenBucket requests;

  /** Readings that may be sent while requests are scarce. */
  private final TokenBucket reservedReads;

  private final TokenBucket writes;
  private final List<ArrayDeque<PendingCall>> queues = new ArrayList<>();
  private final Replica replica;
  private final Soon dispatcher;
  private final RateMeter requestDemand = new RateMeter();
  private final RateMeter writeDemand = new RateMeter();
  private final Map<Urgency, Integer> writesByUrgency = new EnumMap<>(Urgency.class);
  private long sent;
  private long refused;
  private int backlog;

  /** Whether the last call that was sent was a reading. */
  private boolean lastSentWasRead;

  private final RateMeter urgentWrites = new RateMeter();
  private double urgentWritesPerSecond;

  public StateStore(Env env, String address, double rps, double writeRps, Replica replica) {
    this.env = env;
    this.dispatcher = new Soon(env, this::dispatch);
    this.address = address;
    this.rps = rps * Constants.BUDGET_PART;
    this.writeRps = writeRps * Constants.BUDGET_PART;
    this.replica = replica;
    this.requests = new TokenBucket(0, this.rps / Constants.BURST_PART, env.nowMillis());
    this.reservedReads = new TokenBucket(0, 1, env.nowMillis());
    this.writes = new TokenBucket(0, this.writeRps / Constants.BURST_PART, env.nowMillis());
    setShare(new RateDemand(0, 0), List.of());
    for (int i = 0; i < Urgency.values().length; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /** What a controller wants of the published rates, in requests and changes a second. */
  public record RateDemand(double requests, double writes) {}

  /** A rate smoothed over some seconds. */
  private static final class RateMeter {
    private double perSecond;
    private double sum;

    void add(double n) {
      sum += n;
    }

    double sample(double seconds) {
      double decay = Math.exp(-seconds / Constants.WISH_S);
      perSecond = perSecond * decay + sum / seconds * (1 - decay);
      sum = 0;
      return perSecond;
    }
  }

  /** Our wish since the last call, {@code seconds} ago. */
  public RateDemand demand(double seconds) {
    urgentWritesPerSecond = urgentWrites.sample(seconds);
    return new RateDemand(requestDemand.sample(seconds), writeDemand.sample(seconds) + backlog);
  }

  /** Changes that wait until there is budget for them; they are part of our wish. */
  public void setBacklog(int waitingWrites) {
    backlog = waitingWrites;
  }

  /**
   * Sets our part of the published rates by all controllers' wishes. Everyone has a floor, for what
   * comes suddenly. The parts are advice: where they add up to more, the service says 429.
   */
  public void setShare(RateDemand own, List<RateDemand> others) {
    int controllers = others.size() + 1;
    double floorRequests = rps / Constants.WISH_FLOORS / controllers;
    double floorWrites = writeRps / Constants.WISH_FLOORS / controllers;
    double sumRequests = own.requests + controllers * floorRequests;
    double sumWrites = own.writes + controllers * floorWrites;
    for (RateDemand other : others) {
      sumRequests += other.requests;
      sumWrites += other.writes;
    }
    long now = env.nowMillis();
    reservedReads.rate(rps * Constants.READINGS_PART / controllers, now);
    requests.rate(rps * (own.requests + floorRequests) / sumRequests, now);
    writes.rate(writeRps * (own.writes + floorWrites) / sumWrites, now);
  }

  /** Changes that may be sent at once and leave something for what is more urgent. */
  public int availableWrites() {
    if (waitingCalls() > 0) {
      return 0;
    }
    return (int) writes.availableAbove(Constants.WRITES_KEPT, env.nowMillis());
  }

  /** Calls that wait for budget. */
  public int waitingCalls() {
    int n = 0;
    for (ArrayDeque<PendingCall> queue : queues) {
      n += queue.size();
    }
    return n;
  }

  /** Calls so far, and the changes by what they were for since the last line. */
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
    submit(urgency, method, path, body, writeCount, timeoutMs, Constants.BUDGET_WAIT_MS, then);
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
      // A user who cannot be served in time is told so now, not when the time is over.
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
    // From a timer even when there is room: no caller is called back inside its own call.
    dispatcher.in(0);
  }

  private static boolean isAcceptance(Urgency urgency) {
    return urgency == Urgency.ACCEPT_PROD || urgency == Urgency.ACCEPT;
  }

  /**
   * Milliseconds that so many changes would wait behind what waits already and goes before them.
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

  /** Submissions a second that can be accepted beside what is more urgent, as of late. */
  public double acceptancesPerSecond() {
    return Math.max(writes.rate() - urgentWritesPerSecond, Constants.ACCEPT_LEAST * writes.rate());
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
      dispatcher.in(Constants.PUMP_MS);
    }
  }

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
   * What goes next, after what keeps our holds. Readings and changes do not hold each other up: a
   * reading does not wait for change budget that a more urgent change lacks; and where requests are
   * scarce they take turns, since both come without end.
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

  /** Watches and barriers of all controllers leave a part of the requests while they are scarce. */
  private boolean canRead(long now) {
    return requests.availableAbove(Constants.REQUESTS_AMPLE, now) > 0 || reservedReads.has(1, now);
  }

  /** The most urgent reading, or change, that waits; null: none. */
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
            // Not carried out: together we asked for too much. It goes first, a little later.
            queues.get(call.urgency.ordinal()).addFirst(call);
            (call.writes > 0 ? writes : requests).discardTokens(env.nowMillis());
            dispatcher.in(Constants.OVER_RATE_MS);
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
    } catch (Malformed e) {
      LOG.info("state service answered {} with a malformed body", reply.status());
      return new Answer(reply.status() == 200 ? 0 : reply.status(), null);
    }
  }

  // ---- calls ----

  /** Commits; on success the replica shows the changes before {@code then} runs. */
  public void commit(Urgency urgency, Txn txn, Consumer<Txn.Result> then) {
    commit(urgency, txn, Constants.BUDGET_WAIT_MS, then);
  }

  /** The same, given up when it would wait longer for budget. */
  public void commit(Urgency urgency, Txn txn, long maxWaitMs, Consumer<Txn.Result> then) {
    submit(
        urgency,
        "POST",
        Wire.MULTI,
        txn.toNode(),
        txn.size(),
        Constants.STATE_CALL_MS,
        maxWaitMs,
        answer -> then.accept(result(txn, answer)));
  }

  private Txn.Result result(Txn txn, Answer answer) {
    try {
      switch (answer.status) {
        case 200 -> {
          long revision = Fields.count(answer.body, "epoch");
          // An answer can lie in a socket for as long as the process stands still. What the feed
          // has
          // passed meanwhile it has shown, with all that came after: shown again, a job that has
          // ended would be there once more, and be run by whoever holds its shard.
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
        case NO_SESSION, 429, 503 -> {
          return new Txn.Result(Txn.Outcome.REFUSED, 0, List.of());
        }
        default -> {
          return new Txn.Result(Txn.Outcome.UNKNOWN, 0, List.of());
        }
      }
    } catch (Malformed e) {
      LOG.info("state service: {}", e.getMessage());
      return new Txn.Result(Txn.Outcome.UNKNOWN, 0, List.of());
    }
  }

  public void get(String key, Consumer<Answer> then) {
    submit(Urgency.READ, "GET", Wire.KEYS + "/" + key, null, 0, Constants.STATE_CALL_MS, then);
  }

  void list(String after, Consumer<Answer> then) {
    String path = Wire.KEYS + "?under=" + Wire.ROOT + "&most=" + Constants.KEY_PAGE;
    submit(
        Urgency.HANDS,
        "GET",
        after == null ? path : path + "&since=" + after,
        null,
        0,
        2 * Constants.STATE_CALL_MS,
        then);
  }

  void changes(long since, long blockMs, Consumer<Answer> then) {
    submit(
        Urgency.READ,
        "GET",
        Wire.CHANGES + "?under=" + Wire.ROOT + "&since=" + since + "&blockMs=" + blockMs,
        null,
        0,
        blockMs + Constants.STATE_CALL_MS,
        then);
  }

  public void openSession(Consumer<Answer> then) {
    submit(
        Urgency.HOLD,
        "POST",
        Wire.HOLDS,
        Cbor.map().put("lifeMs", Constants.HOLD_MS),
        0,
        Constants.STATE_CALL_MS,
        then);
  }

  public void renewSession(long sessionId, Consumer<Answer> then) {
    submit(
        Urgency.HOLD,
        "POST",
        Wire.HOLDS + "/" + sessionId + "/touch",
        Cbor.map(),
        0,
        Constants.STATE_CALL_MS,
        then);
  }

  /** The stamp of an answered GET; 0 when the key does not exist. */
  public static long stamp(Answer answer) throws Malformed {
    return answer.status == 200 ? Fields.count(answer.body, "stamp") : 0;
  }

  /** The data of an answered GET, or null. */
  public static JsonNode data(Answer answer) {
    return answer.status == 200 ? answer.body.get("data") : null;
  }
}
