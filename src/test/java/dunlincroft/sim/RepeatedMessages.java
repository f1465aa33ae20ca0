package dunlincroft.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.transport.Env.Call;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Delivers late copies of messages that were carried out before. The copy goes to whichever process
 * then serves the address of the original; its answer reaches nobody.
 */
final class RepeatedMessages {
  /** Kinds of messages that change something at their receiver. */
  enum Kind {
    COMMAND,
    REPORT,
    TRANSACTION,
    SESSION_LEASE,
    RENTAL,
    RELEASE,
    SUBMISSION,
    CANCELLATION,
    PEER_HEARTBEAT;

    /** The kind of a call; null if it only reads. */
    static Kind of(Call call) {
      if (call.method().equals("GET")) {
        return null;
      }
      return switch (call.path()) {
        case "/commands" -> COMMAND;
        case "/hello" -> REPORT;
        case "/multi" -> TRANSACTION;
        case "/machines" -> RENTAL;
        case "/machines/release" -> RELEASE;
        case "/submissions" -> SUBMISSION;
        default -> call.path().endsWith("/cancel") ? CANCELLATION : SESSION_LEASE;
      };
    }
  }

  /** A direct command that was carried out. */
  record ExecutedCommand(String from, Call call, ObjectNode body) {}

  /** Least delay of a copy after its original. */
  static final int MIN_DELAY_MS = 200;

  private final SimNet net;
  private final VirtualClock clock;
  private Set<Kind> kinds = EnumSet.noneOf(Kind.class);
  private double share;
  private int maxDelayMs;

  /** Separate from the generator of the network: runs without copies stay the same. */
  private Random random = new Random(0);

  /** Number of copies delivered so far, by kind. */
  final Map<Kind, Integer> delivered = new EnumMap<>(Kind.class);

  /** Number of copied commands that workers accepted, by fence token and session. */
  int acceptedCommands;

  /** All direct commands carried out since {@link #keepCommands} was called. */
  final List<ExecutedCommand> executedCommands = new ArrayList<>();

  private boolean keepsCommands;

  /** Called with the address of the worker and the body of each copied command that arrives. */
  BiConsumer<String, ObjectNode> onCommandCopy = (host, body) -> {};

  RepeatedMessages(SimNet net, VirtualClock clock) {
    this.net = net;
    this.clock = clock;
  }

  /** From now on, this share of the messages of these kinds is repeated. */
  void repeat(Set<Kind> selected, double repeatedShare, int latestMs) {
    kinds = selected;
    share = repeatedShare;
    maxDelayMs = latestMs;
    random = new Random(clock.now());
  }

  void stop() {
    kinds = EnumSet.noneOf(Kind.class);
  }

  int delivered(Kind kind) {
    return delivered.getOrDefault(kind, 0);
  }

  /**
   * From now on, keeps the direct commands that are carried out, so that a test can repeat them.
   */
  void keepCommands() {
    keepsCommands = true;
  }

  /** Has the worker carry out a command again, at once. */
  void repeatNow(ExecutedCommand command) {
    delivered.merge(Kind.COMMAND, 1, Integer::sum);
    net.execute(
        command.from,
        command.call,
        command.body.deepCopy(),
        (status, answer) -> onAnswer(Kind.COMMAND, status));
  }

  /** Notes a call that is being carried out, and delivers it once more later if it is selected. */
  void onExecuted(String from, Call call, ObjectNode body) {
    if (keepsCommands && Kind.of(call) == Kind.COMMAND) {
      executedCommands.add(new ExecutedCommand(from, call, body.deepCopy()));
    }
    Kind kind = kinds.isEmpty() ? null : Kind.of(call);
    if (kind == null || !isSelected(kind)) {
      return;
    }
    ObjectNode copy = body == null ? null : body.deepCopy();
    clock.after(
        delayMs(),
        () ->
            net.deliver(
                from,
                call.address(),
                () -> {
                  delivered.merge(kind, 1, Integer::sum);
                  if (kind == Kind.COMMAND) {
                    onCommandCopy.accept(call.address(), copy);
                  }
                  net.execute(from, call, copy, (status, answer) -> onAnswer(kind, status));
                }));
  }

  private void onAnswer(Kind kind, int status) {
    acceptedCommands += kind == Kind.COMMAND && status == 200 ? 1 : 0;
  }

  /** Delivers a heartbeat between controllers once more if it is selected. */
  void onPeerHeartbeat(Runnable delivery) {
    if (isSelected(Kind.PEER_HEARTBEAT)) {
      clock.after(
          delayMs(),
          () -> {
            delivered.merge(Kind.PEER_HEARTBEAT, 1, Integer::sum);
            delivery.run();
          });
    }
  }

  private boolean isSelected(Kind kind) {
    return kinds.contains(kind) && random.nextDouble() < share;
  }

  private long delayMs() {
    return MIN_DELAY_MS + random.nextInt(maxDelayMs - MIN_DELAY_MS);
  }
}
