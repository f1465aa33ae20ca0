package dunlincroft.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.MalformedException;
import dunlincroft.transport.Env.Call;
import dunlincroft.transport.Env.Reply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.ToLongBiFunction;

/** Simulates the network: delays, losses, refusals, and partitions that hold messages back. */
final class SimNet {
  /** Sends the one answer to a request. */
  interface Responder {
    void send(int status, ObjectNode body);
  }

  /** A server at an address. */
  interface Server {
    void handle(String method, String path, ObjectNode body, Responder responder);
  }

  /**
   * Notified of each transaction as it is executed, with the status that the state service
   * returned.
   */
  interface TransactionListener {
    void onTransaction(String from, ObjectNode body, int status);
  }

  final List<TransactionListener> transactionListeners = new ArrayList<>();

  private final VirtualClock clock;
  private final Random random;
  private final Map<String, Server> servers = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Map<String, List<Runnable>> undelivered = new HashMap<>();
  private final Map<String, Long> streamDeliveryTimes = new HashMap<>();
  private final Map<String, Double> delayFactors = new HashMap<>();

  /**
   * Pairs of sender and server for which the server answers 503, with the requests and answers that
   * wait until it no longer does.
   */
  private final Map<String, List<Runnable>> refusedRequests = new HashMap<>();

  /** Fraction of messages that are "lost": they arrive 3 to 63 s late. */
  double loss;

  /**
   * Decides for a call that is about to be executed whether its answer, given the status, is lost.
   */
  BiFunction<Call, ObjectNode, IntPredicate> losesAnswer = (call, body) -> status -> false;

  /** Fraction of transactions that get no answer and are executed 2 to 12 s later. */
  double lateWriteShare;

  /**
   * Delay before a transaction is executed, without an answer; 0: executed at once and answered.
   */
  ToLongBiFunction<Call, ObjectNode> writeDelayMs = (call, body) -> 0;

  /**
   * Number of transactions that each sender has sent, and the number of the newest executed one.
   * {@code executedAfterNewer} counts those executed after a newer one of the same sender.
   */
  private final Map<String, Long> transactionsSent = new HashMap<>();

  private final Map<String, Long> lastExecuted = new HashMap<>();
  int executedAfterNewer;

  /** Fraction of direct commands that are delayed in transit by 2 to 16 s and then carried out. */
  double delayedCommandShare;

  /** Direct commands that arrived after their sender's timeout. */
  int commandsAfterTimeout;

  /**
   * Called with the path and body of each request as it is sent, for tests that inject a fault at
   * that moment.
   */
  BiConsumer<String, ObjectNode> onSent = (path, body) -> {};

  /** Commands and releases that are delayed in transit. */
  final DelayedCommands delayedCommands;

  /** Messages that are carried out and delivered once more later. */
  final RepeatedMessages repeatedMessages;

  SimNet(VirtualClock clock, Random random) {
    this.clock = clock;
    this.random = random;
    delayedCommands = new DelayedCommands(this, clock);
    repeatedMessages = new RepeatedMessages(this, clock);
  }

  void serve(String address, Server server) {
    servers.put(address, server);
  }

  /** The server at an address, or null. */
  Server server(String address) {
    return servers.get(address);
  }

  void close(String address) {
    servers.remove(address);
  }

  /** Partitions two addresses. Messages sent meanwhile are delivered when the partition ends. */
  void cut(String a, String b, long ms) {
    String pair = pair(a, b);
    if (cutLinks.add(pair)) {
      clock.after(
          ms,
          () -> {
            cutLinks.remove(pair);
            List<Runnable> messages = undelivered.remove(pair);
            if (messages != null) {
              messages.forEach(Runnable::run);
            }
          });
    }
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  /**
   * A server answers all calls of one sender with 503; open watches get their answer when this
   * ends.
   */
  void refuse(String from, String to, long ms) {
    String pair = from + ">" + to;
    if (refusedRequests.putIfAbsent(pair, new ArrayList<>()) == null) {
      clock.after(ms, () -> refusedRequests.remove(pair).forEach(Runnable::run));
    }
  }

  /** Runs an action now, or once the server no longer refuses the sender. */
  private void runWhenAccepted(String from, String to, Runnable action) {
    List<Runnable> waiting = refusedRequests.get(from + ">" + to);
    if (waiting == null) {
      action.run();
    } else {
      waiting.add(action);
    }
  }

  private static boolean isWatch(Call call) {
    return call.path().startsWith("/changes") && !call.path().endsWith("blockMs=0");
  }

  /**
   * Executes a transaction, and counts it if a newer one of the same sender was executed before.
   */
  private void executeTransaction(String from, long number, Runnable action) {
    if (number < lastExecuted.getOrDefault(from, 0L)) {
      executedAfterNewer++;
    }
    lastExecuted.merge(from, number, Math::max);
    action.run();
  }

  void call(String from, Call call, Consumer<Reply> then) {
    String to = call.address();
    long calledAt = clock.now();
    byte[] body = call.body();
    boolean[] completed = new boolean[1];
    Consumer<Reply> answerOnce =
        reply -> {
          if (!completed[0]) {
            completed[0] = true;
            then.accept(reply);
          }
        };
    clock.after(call.timeoutMs(), () -> answerOnce.accept(Reply.NONE));
    ObjectNode parsed;
    try {
      parsed = body == null ? null : Cbor.parse(body);
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
    onSent.accept(call.path(), parsed);
    if (call.path().equals("/commands")) {
      // For the order log.
      parsed.put(SimWorker.SENDER, from).put(SimWorker.SENT_AT, calledAt);
    }
    boolean delayed =
        delayedCommandShare > 0
            && call.path().equals("/commands")
            && random.nextDouble() < delayedCommandShare;
    // Runs when the request arrives; request and answer are each subject to delay, loss and
    // partitions.
    Runnable arrive =
        () -> {
          Server server = servers.get(to);
          boolean timedOut = clock.now() - calledAt > call.timeoutMs();
          commandsAfterTimeout += timedOut && call.path().equals("/commands") ? 1 : 0;
          if (server == null) {
            deliver(to, from, () -> answerOnce.accept(Reply.NOT_SENT));
            return;
          }
          if (refusedRequests.containsKey(from + ">" + to) && !isWatch(call)) {
            deliver(to, from, () -> answerOnce.accept(new Reply(503, Cbor.bytes(Cbor.map()))));
            return;
          }
          if (this.delayedCommands.delayIfSelected(from, to, call.path(), parsed)) {
            return;
          }
          repeatedMessages.onExecuted(from, call, parsed);
          IntPredicate isLost = losesAnswer.apply(call, parsed);
          Responder respond =
              (status, answer) -> {
                if (!isLost.test(status)) {
                  runWhenAccepted(
                      from,
                      to,
                      () ->
                          deliver(
                              to,
                              from,
                              () -> answerOnce.accept(new Reply(status, Cbor.bytes(answer)))));
                }
              };
          if (call.path().equals("/multi")) {
            long number = transactionsSent.merge(from, 1L, Long::sum);
            long delayMs = writeDelayMs.applyAsLong(call, parsed);
            boolean lost =
                delayMs > 0 || (lateWriteShare > 0 && random.nextDouble() < lateWriteShare);
            Responder outcome = lost ? (status, nobody) -> {} : respond;
            Responder answer =
                (status, map) -> {
                  transactionListeners.forEach(each -> each.onTransaction(from, parsed, status));
                  outcome.send(status, map);
                };
            Runnable execution =
                () ->
                    executeTransaction(
                        from,
                        number,
                        () -> server.handle(call.method(), call.path(), parsed, answer));
            if (lost) {
              clock.after(delayMs > 0 ? delayMs : 2000 + random.nextInt(10_000), execution);
            } else {
              execution.run();
            }
          } else {
            runWhenAccepted(
                from, to, () -> server.handle(call.method(), call.path(), parsed, respond));
          }
        };
    if (delayed) {
      clock.after(2000 + random.nextInt(14_000), arrive);
    } else {
      deliver(from, to, arrive);
    }
  }

  /** Has a server carry out a call again, if it is there and does not refuse the sender. */
  void execute(String from, Call call, ObjectNode body, Responder answer) {
    Server server = servers.get(call.address());
    if (server == null || refusedRequests.containsKey(from + ">" + call.address())) {
      return;
    }
    server.handle(
        call.method(),
        call.path(),
        body,
        (status, map) -> {
          if (call.path().equals("/multi")) {
            transactionListeners.forEach(each -> each.onTransaction(from, body, status));
          }
          answer.send(status, map);
        });
  }

  /**
   * Delivers a message over one direction of a connection: lost packets are retransmitted, and the
   * order is kept.
   */
  void sendInOrder(String from, String to, double lossShare, Runnable arrive) {
    long delay = 1 + random.nextInt(random.nextInt(50) == 0 ? 200 : 6);
    while (random.nextDouble() < lossShare) {
      delay += 200 + random.nextInt(300);
    }
    long at = Math.max(clock.now() + delay, streamDeliveryTimes.getOrDefault(from + ">" + to, 0L));
    streamDeliveryTimes.put(from + ">" + to, at);
    String pair = pair(from, to);
    if (cutLinks.contains(pair)) {
      undelivered.computeIfAbsent(pair, p -> new ArrayList<>()).add(arrive);
    } else {
      clock.after(at - clock.now(), arrive);
    }
  }

  /** Multiplies the delay of all messages to and from an address. */
  void setDelayFactor(String address, double delayFactor) {
    delayFactors.put(address, delayFactor);
  }

  void deliver(String from, String to, Runnable arrive) {
    double slowest =
        Math.max(delayFactors.getOrDefault(from, 1.0), delayFactors.getOrDefault(to, 1.0));
    String pair = pair(from, to);
    if (cutLinks.contains(pair)) {
      undelivered.computeIfAbsent(pair, p -> new ArrayList<>()).add(arrive);
    } else if (random.nextDouble() >= loss) {
      long delay = 1 + random.nextInt(random.nextInt(50) == 0 ? 400 : 6);
      clock.after((long) (slowest * delay), arrive);
    } else {
      // A "lost" message arrives late, usually long after its sender's timeout.
      clock.after(3000 + random.nextInt(60_000), arrive);
    }
  }
}
