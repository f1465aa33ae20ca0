package dunlincroft.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.Replica.Item;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.limits.SharePlan;
import dunlincroft.limits.ShareRequest;
import dunlincroft.limits.Transfer;
import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.Wire;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Gives unused parts of team limits to the shards whose waiting tasks lack them, as {@link
 * SharePlan} decides from the records. Only a shard's owner gives its part away, with one write
 * guarded by its shard and by the record of the team's parts; until the outcome is known, nobody
 * uses what was offered.
 *
 * <p>Each owner writes at most one change in {@code SHARES_MS} for each owner there is: so many
 * owners together write one change in {@code SHARES_MS}, however many teams and jobs there are.
 */
final class ShareHandover {
  /** Services first, then by age: the same order at every owner. */
  static final Comparator<JobIndex.Job> ORDER =
      Comparator.comparing((JobIndex.Job job) -> job.spec.rank() != Rank.PROD)
          .thenComparingLong(job -> job.acceptedAt)
          .thenComparing(job -> job.spec.ref());

  /** What was last seen of a team's record: who gives second waits for the first. */
  private record Seen(long stamp, long sinceMs) {}

  private final World world;
  private final Demand demand;
  private final HandoverWriter writer;
  private final ClaimHistory history;
  private final Map<String, Seen> seen = new HashMap<>();
  private long nextWrite;

  /** The team that is looked at first. */
  private int firstTeam;

  ShareHandover(World world, Demand demand, HandoverWriter writer) {
    this.world = world;
    this.demand = demand;
    this.writer = writer;
    this.history = new ClaimHistory(world);
  }

  /**
   * One look at all teams, at most one change.
   *
   * @param owners how many nodes share the bound on changes
   */
  void tick(int owners, RecordedRoom room) {
    List<Settings.Team> teams = List.copyOf(world.settings.teams().values());
    Map<String, List<JobIndex.Job>> waiting = waiting();
    history.keep(waiting.values());
    for (int i = 0; i < teams.size(); i++) {
      int number = (firstTeam + i) % teams.size();
      Settings.Team team = teams.get(number);
      Item item = world.replica.get(Replica.SHARES, team.name());
      if (item == null) {
        continue;
      }
      List<Transfer> gifts =
          ours(team.name(), item, waiting.getOrDefault(team.name(), List.of()), room);
      if (!gifts.isEmpty() && world.now() >= nextWrite) {
        nextWrite = world.now() + (long) owners * Constants.SHARES_MS;
        firstTeam = number + 1;
        give(team.name(), item, gifts);
      }
    }
  }

  /** Jobs with tasks that wait, by team, in the order in which they are served. */
  private Map<String, List<JobIndex.Job>> waiting() {
    Map<String, List<JobIndex.Job>> waiting = new HashMap<>();
    for (JobIndex.Job job : world.index.all().values()) {
      if (job.wanted() > job.placed()
          && !demand.cancelled(job.spec)
          && world.wanted(job.spec)
          && world.replica.get(Replica.SHARDS, job.shard) != null) {
        waiting.computeIfAbsent(job.spec.owner(), team -> new ArrayList<>()).add(job);
      }
    }
    waiting.values().forEach(jobs -> jobs.sort(ORDER));
    return waiting;
  }

  // ---- the plan ----

  /** What the plan wants of one of our shards now. */
  private List<Transfer> ours(
      String team, Item item, List<JobIndex.Job> waiting, RecordedRoom room) {
    Map<String, Room> parts = parts(item.data());
    if (parts.size() < 2 && waiting.stream().allMatch(job -> parts.containsKey(job.shard))) {
      return List.of();
    }
    Map<String, Room> work = demand.byShardOf(team);
    Map<String, Room> used = used(team, parts.keySet());
    work.keySet().removeIf(shard -> world.replica.get(Replica.SHARDS, shard) == null);
    List<ShareRequest> claims = claims(waiting, parts, used, room);
    List<Transfer> plan = SharePlan.transfers(parts, used, work, claims);
    List<String> givers = plan.stream().map(Transfer::from).distinct().toList();
    Seen last = seen.get(team);
    if (last == null || last.stamp != item.stamp()) {
      last = new Seen(item.stamp(), world.now());
      seen.put(team, last);
    }
    for (int turn = 0; turn < givers.size(); turn++) {
      String from = givers.get(turn);
      boolean due = world.now() - last.sinceMs >= (long) turn * Constants.SHARES_TURN_MS;
      if (due && world.holds(from) && !world.giving.containsKey(givingKey(team, from))) {
        return plan.stream().filter(transfer -> transfer.from().equals(from)).toList();
      }
    }
    return List.of();
  }

  private static Map<String, Room> parts(JsonNode record) {
    Map<String, Room> parts = new TreeMap<>();
    record
        .fieldNames()
        .forEachRemaining(
            shard -> {
              Room part = World.shareOf(record, shard);
              if (part.cpu() > 0 || part.gpu() > 0) {
                parts.put(shard, part);
              }
            });
    return parts;
  }

  /** Of our own shards we know also what is not recorded yet; of others what is recorded. */
  private Map<String, Room> used(String team, Set<String> shards) {
    Map<String, Room> used = new HashMap<>();
    for (JobIndex.Job job : world.index.all().values()) {
      if (job.spec.owner().equals(team) && !world.holds(job.shard)) {
        used.merge(job.shard, job.spec.room().times(job.placed()), Room::plus);
      }
    }
    for (String shard : shards) {
      if (world.holds(shard)) {
        used.put(shard, world.used(team, shard));
      }
    }
    return used;
  }

  /** Waiting tasks that machines of their shard have room for, as far as is known. */
  private List<ShareRequest> claims(
      List<JobIndex.Job> waiting,
      Map<String, Room> parts,
      Map<String, Room> used,
      RecordedRoom room) {
    List<ShareRequest> claims = new ArrayList<>();
    for (JobIndex.Job job : waiting) {
      if (claims.size() == Constants.CLAIMS_LOOKED_AT) {
        break;
      }
      int waits = job.wanted() - job.placed();
      int most = Math.min(waits, Constants.CLAIM_TASKS);
      int tasks = room.countFor(job, job.shard, most);
      Room unused =
          parts.getOrDefault(job.shard, Room.NONE).minus(used.getOrDefault(job.shard, Room.NONE));
      boolean served = tasks > 0 && job.spec.room().countIn(limited(unused), 1) > 0;
      if (tasks > 0 && !history.isPassedOver(job, served)) {
        claims.add(new ShareRequest(job.shard, limited(job.spec.room()), tasks));
      }
    }
    return claims;
  }

  private static Room limited(Room room) {
    return new Room(room.cpu(), room.gpu(), 0);
  }

  // ---- the change ----

  private static String givingKey(String team, String shard) {
    return team + "/" + shard;
  }

  /** Writes what one shard gives of a team's limit. */
  private void give(String team, Item item, List<Transfer> gifts) {
    String from = gifts.get(0).from();
    String key = Wire.key(Replica.SHARES, team);
    ObjectNode parts = ((ObjectNode) item.data()).deepCopy();
    Room all = Room.NONE;
    Set<String> to = new HashSet<>();
    for (Transfer gift : gifts) {
      add(parts, gift.to(), gift.amount());
      all = all.plus(gift.amount());
      to.add(gift.to());
    }
    add(parts, from, Room.NONE.minus(all));
    world.giving.put(givingKey(team, from), all);
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, from), world.held.getLong(from))
            .guard(key, item.stamp())
            .put(key, parts);
    writer.commit(
        txn,
        all + " of team " + team + " from shard " + from + " to " + to,
        () -> world.giving.remove(givingKey(team, from)));
  }

  private static void add(ObjectNode parts, String shard, Room room) {
    Room sum = World.shareOf(parts, shard).plus(room);
    parts.putObject(shard).put("cpu", sum.cpu()).put("gpu", sum.gpu());
  }
}
