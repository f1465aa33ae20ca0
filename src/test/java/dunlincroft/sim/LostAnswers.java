package dunlincroft.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.transport.Env.Call;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Drops answers of the state service to chosen kinds of calls that it has executed. What was
 * written is visible to all readers at once.
 */
final class LostAnswers {
  /** Every kind of call by which controllers change something in the state service. */
  enum Kind {
    /** A job is accepted. */
    ACCEPTANCE,
    CANCEL,
    /** A job's end replaces its description. */
    END,
    /** Placements and completions are written to a shard's log. */
    LOG,
    PAGE,
    /** Pages of ended jobs are removed. */
    PAGE_REMOVAL,
    /** The leader leases new machines to shards as blocks. */
    NEW_BLOCK,
    /** An owner transfers machines to another shard. */
    BLOCK_MOVED,
    /** A block is rewritten unchanged to obtain a higher fence token. */
    FENCE,
    /** Released machines are removed from their block. */
    RELEASE,
    /** The leader records the teams' limits as shares of the shards. */
    SHARES_CREATED,
    SHARE_MOVED,
    SESSION_LEASE,
    SESSION_LEASE_RENEWED,
    /** A controller's own record. */
    CONTROLLER,
    LEADER,
    /** A shard is acquired or returned. */
    SHARD,
    LEASES,
    TYPES,
    NIGHT,
    MIGRATION,
    OTHER;

    private static boolean hasGuard(JsonNode body, String prefix) {
      for (JsonNode guard : body.path("guards")) {
        if (guard.path("key").asText().startsWith(prefix)) {
          return true;
        }
      }
      return false;
    }

    static Kind of(Call call, ObjectNode body, SimState state) {
      if (call.path().endsWith("/touch")) {
        return SESSION_LEASE_RENEWED;
      }
      if (call.path().equals("/holds")) {
        return SESSION_LEASE;
      }
      JsonNode first = body.path("apply").path(0);
      boolean put = first.has("put");
      String key = first.path(put ? "put" : "remove").asText();
      String[] parts = key.split("/", 3);
      return switch (parts.length < 3 ? "" : parts[1]) {
        case "jobs" -> first.path("data").has("status") ? END : ACCEPTANCE;
        case "cancels" -> CANCEL;
        case "logs" -> LOG;
        case "pages" -> put ? PAGE : PAGE_REMOVAL;
        case "blocks" -> blockKind(body, state.dataUnder("d/blocks/").get(parts[2]));
        case "adoptions" -> NEW_BLOCK;
        case "shares" -> hasGuard(body, "d/leader/") ? SHARES_CREATED : SHARE_MOVED;
        case "controllers" -> CONTROLLER;
        case "leader" -> LEADER;
        case "shards" -> SHARD;
        case "leases" -> LEASES;
        case "types" -> TYPES;
        case "nights" -> NIGHT;
        case "migrations", "migrationasks" -> MIGRATION;
        default -> OTHER;
      };
    }

    private static Kind blockKind(JsonNode body, JsonNode current) {
      if (hasGuard(body, "d/leader/")) {
        return NEW_BLOCK;
      }
      JsonNode data = body.path("apply").path(0).path("data");
      if (current != null && current.equals(data)) {
        return FENCE;
      }
      boolean sameShard = current != null && current.path("shard").equals(data.path("shard"));
      boolean released = data.isMissingNode() || (sameShard && body.path("apply").size() == 1);
      return released ? RELEASE : BLOCK_MOVED;
    }
  }

  private final SimState state;
  private final Random random;
  private Set<Kind> kinds = EnumSet.noneOf(Kind.class);
  private double share;

  /** Number of answers lost so far, by kind. */
  final Map<Kind, Integer> lost = new EnumMap<>(Kind.class);

  LostAnswers(SimState state, Random random) {
    this.state = state;
    this.random = random;
  }

  /** From now on, loses this share of the answers to calls of these kinds. */
  void lose(Set<Kind> selectedKinds, double lossShare) {
    kinds = selectedKinds;
    share = lossShare;
  }

  int lost(Kind kind) {
    return lost.getOrDefault(kind, 0);
  }

  /**
   * Decides for a call that is about to be executed whether its answer, given the status, is lost.
   */
  IntPredicate selectLoss(Call call, ObjectNode body) {
    boolean changes = call.path().equals("/multi") || call.path().startsWith("/holds");
    if (share == 0 || !changes) {
      return status -> false;
    }
    Kind kind = Kind.of(call, body, state);
    if (!kinds.contains(kind) || random.nextDouble() >= share) {
      return status -> false;
    }
    return status -> {
      boolean carriedOut = status == 200;
      lost.merge(kind, carriedOut ? 1 : 0, Integer::sum);
      return carriedOut;
    };
  }
}
