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

/** A stand-in for the network: delays, losses, refusals, cuts that hold packets back. */
final class SimNet {
  /** Takes the one answer of a request. */
  interface Answer {
    void send(int status, ObjectNode body);
  }

  /** A server at an address. */
  interface Server {
    void handle(String method, String path, ObjectNode body, Answer out);
  }

  /** Told of each transaction as it is carried out, and what the answer would be. */
  interface TransactionListener {
    void carriedOut(String from, ObjectNode body, int status);
  }

  final List<TransactionListener> transactionListeners = new ArrayList<>();

  private final VirtualClock clock;
  private final Random random;
  private final Map<String, Server> servers = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  private final Map<String, List<Runnable>> heldBack = new HashMap<>();
  private final Map<String, Long> streams = new HashMap<>();
  private final Map<String, Double> slowness = new HashMap<>();

  /** Senders that a server refuses, and what of theirs waits there until it no longer does. */
  private final Map<String, List<Runnable>> refused = new HashMap<>();

  double loss;

  /** Tells whether the answer to a call that is about to be carried out will be lost. */
  BiFunction<Call, ObjectNode, IntPredicate> loses = (call, body) -> status -> false;

  /** Part of transactions that get no answer and are carried out 2 to 12 s later. */
  double lateWrites;

  /** How long the carrying out of a transaction is held back, unanswered; 0: not at all. */
  ToLongBiFunction<Call, ObjectNode> heldMs = (call, body) -> 0;

  /** Transactions sent by each, and carried out after a newer one of the same sender. */
  private final Map<String, Long> sent = new HashMap<>();

  private final Map<String, Long> carriedOut = new HashMap<>();
  int lateAfterNewer;

  /** Part of direct commands that are held up on their way, 2 to 16 s, and then carried out. */
  double heldCommands;

  /** Direct commands that arrived after their sender had given up. */
  int lateCommands;

  /** Sees the path and body of each request as it is sent: for tests that meet a moment. */
  BiConsumer<String, ObjectNode> onSent = (path, body) -> {};

  /** Commands and releases that are held up on their way. */
  final LateCommands late;

  SimNet(VirtualClock clock, Random random) {
    this.clock = clock;
    this.random = random;
    late = new LateCommands(this, clock);
  }

  void serve(String address, Server server) {
    servers.put(address, server);
  }

  /** Who answers at an address, or null. */
  Server server(String address) {
    return servers.get(address);
  }

  void close(String address) {
    servers.remove(address);
  }

  /** Cuts two addresses; what is sent meanwhile is delivered, late, when the cut ends. */
  void cut(String a, String b, long ms) {
    String pair = pair(a, b);
    if (cut.add(pair)) {
      clock.after(
          ms,
          () -> {
            cut.remove(pair);
            List<Runnable> late = heldBack.remove(pair);
            if (late != null) {
              late.forEach(Runnable::run);
            }
          });
    }
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  /** A server answers all calls of one sender with 503, and its watches wait. */
  void refuse(String from, String to, long ms) {
    String pair = from + ">" + to;
    if (refused.putIfAbsent(pair, new ArrayList<>()) == null) {
      clock.after(ms, () -> refused.remove(pair).forEach(Runnable::run));
    }
  }

  /** Runs something now, or once a server no longer refuses a sender. */
  private void unrefused(String from, String to, Runnable what) {
    List<Runnable> waiting = refused.get(from + ">" + to);
    if (waiting == null) {
      what.run();
    } else {
      waiting.add(what);
    }
  }

  private static boolean watches(Call call) {
    return call.path().startsWith("/changes") && !call.path().endsWith("blockMs=0");
  }

  /** Carries a transaction out; whether that is late is noted. */
  private void transact(String from, long number, Runnable what) {
    if (number < carriedOut.getOrDefault(from, 0L)) {
      lateAfterNewer++;
    }
    carriedOut.merge(from, number, Math::max);
    what.run();
  }

  void call(String from, Call call, Consumer<Reply> then) {
    String to = call.address();
    long calledAt = clock.now();
    byte[] body = call.body();
    boolean[] over = new boolean[1];
    Consumer<Reply> once =
        reply -> {
          if (!over[0]) {
            over[0] = true;
            then.accept(reply);
          }
        };
    clock.after(call.timeoutMs(), () -> once.accept(Reply.NONE));
    ObjectNode parsed;
    try {
      parsed = body == null ? null : Cbor.parse(body);
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
    onSent.accept(call.path(), parsed);
    if (call.path().equals("/commands")) {
      // For the log of orders.
      parsed.put(SimWorker.FROM, from).put(SimWorker.LEFT_AT, calledAt);
    }
    boolean heldUp =
        heldCommands > 0 && call.path().equals("/commands") && random.nextDouble() < heldCommands;
    // What travels is either lost on the way there, or on the way back, or arrives.
    Runnable arrive =
        () -> {
          Server server = servers.get(to);
          boolean late = clock.now() - calledAt > call.timeoutMs();
          lateCommands += late && call.path().equals("/commands") ? 1 : 0;
          if (server == null) {
            carry(to, from, () -> once.accept(Reply.NOT_SENT));
            return;
          }
          if (refused.containsKey(from + ">" + to) && !watches(call)) {
            carry(to, from, () -> once.accept(new Reply(503, Cbor.bytes(Cbor.map()))));
            return;
          }
          if (this.late.hold(from, to, call.path(), parsed)) {
            return;
          }
          IntPredicate losing = loses.apply(call, parsed);
          Answer back =
              (status, answer) -> {
                if (!losing.test(status)) {
                  unrefused(
                      from,
                      to,
                      () ->
                          carry(
                              to, from, () -> once.accept(new Reply(status, Cbor.bytes(answer)))));
                }
              };
          if (call.path().equals("/multi")) {
            long number = sent.merge(from, 1L, Long::sum);
            long held = heldMs.applyAsLong(call, parsed);
            boolean lost = held > 0 || (lateWrites > 0 && random.nextDouble() < lateWrites);
            Answer told = lost ? (status, nobody) -> {} : back;
            Answer answer =
                (status, map) -> {
                  transactionListeners.forEach(each -> each.carriedOut(from, parsed, status));
                  told.send(status, map);
                };
            Runnable what =
                () ->
                    transact(
                        from,
                        number,
                        () -> server.handle(call.method(), call.path(), parsed, answer));
            if (lost) {
              clock.after(held > 0 ? held : 2000 + random.nextInt(10_000), what);
            } else {
              what.run();
            }
          } else {
            unrefused(from, to, () -> server.handle(call.method(), call.path(), parsed, back));
          }
        };
    if (heldUp) {
      clock.after(2000 + random.nextInt(14_000), arrive);
    } else {
      carry(from, to, arrive);
    }
  }

  /** One direction of a connection: what is lost is sent again, and nothing overtakes. */
  void stream(String from, String to, double lost, Runnable arrive) {
    long delay = 1 + random.nextInt(random.nextInt(50) == 0 ? 200 : 6);
    while (random.nextDouble() < lost) {
      delay += 200 + random.nextInt(300);
    }
    long at = Math.max(clock.now() + delay, streams.getOrDefault(from + ">" + to, 0L));
    streams.put(from + ">" + to, at);
    String pair = pair(from, to);
    if (cut.contains(pair)) {
      heldBack.computeIfAbsent(pair, p -> new ArrayList<>()).add(arrive);
    } else {
      clock.after(at - clock.now(), arrive);
    }
  }

  /** What goes to or comes from an address takes so many times as long. */
  void slow(String address, double factor) {
    slowness.put(address, factor);
  }

  private void carry(String from, String to, Runnable arrive) {
    double slow = Math.max(slowness.getOrDefault(from, 1.0), slowness.getOrDefault(to, 1.0));
    String pair = pair(from, to);
    if (cut.contains(pair)) {
      heldBack.computeIfAbsent(pair, p -> new ArrayList<>()).add(arrive);
    } else if (random.nextDouble() >= loss) {
      long delay = 1 + random.nextInt(random.nextInt(50) == 0 ? 400 : 6);
      clock.after((long) (slow * delay), arrive);
    } else {
      // "Lost" means late: it may arrive long after its sender gave up.
      clock.after(3000 + random.nextInt(60_000), arrive);
    }
  }
}
