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
import dunlincroft.protocol.Resources;
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
 * Transfers unused shares of team limits to the shards whose waiting tasks lack them, as {@link
 * SharePlan} decides from the records. Only the owner of a shard gives away its share, in one write
 * guarded by the shard's record and by the record of the team's shares; until the outcome is known,
 * nobody uses the resources offered.
 *
 * <p>Each owner writes at most one change in {@link Constants#SHARE_CHANGE_INTERVAL_MS} times the
 * number of owners, so that all owners together write at most one change in that time, however many
 * teams and jobs there are.
 */
final class ShareHandover {
  /** Services first, then by age: the same order at every owner. */
  static final Comparator<JobIndex.Job> ORDER =
      Comparator.comparing((JobIndex.Job job) -> job.spec.rank() != Rank.PROD)
          .thenComparingLong(job -> job.acceptedAt)
          .thenComparing(job -> job.spec.ref());

  /**
   * The last observed stamp of a team's record and when it was first seen: after each change, the
   * owners that are to give wait for their turn.
   */
  private record ObservedStamp(long stamp, long sinceMs) {}

  private final ClusterState cluster;
  private final Demand demand;
  private final HandoverWriter writer;
  private final ReservationHistory history;
  private final Map<String, ObservedStamp> observedStamps = new HashMap<>();
  private long nextWriteMs;

  /** Index of the team that is checked first. */
  private int firstTeam;

  ShareHandover(ClusterState cluster, Demand demand, HandoverWriter writer) {
    this.cluster = cluster;
    this.demand = demand;
    this.writer = writer;
    this.history = new ReservationHistory(cluster);
  }

  /**
   * Checks all teams and writes at most one change.
   *
   * @param owners number of owners that share the limit on changes
   */
  void tick(int owners, RecordedCapacity capacity) {
    List<Settings.Team> teams = List.copyOf(cluster.settings.teams().values());
    Map<String, List<JobIndex.Job>> waitingJobs = waitingByTeam();
    history.retainWaiting(waitingJobs.values());
    for (int i = 0; i < teams.size(); i++) {
      int teamIndex = (firstTeam + i) % teams.size();
      Settings.Team team = teams.get(teamIndex);
      Item item = cluster.replica.get(Replica.SHARES, team.name());
      if (item == null) {
        continue;
      }
      List<Transfer> ownTransfers =
          transfersFromOwnShard(
              team.name(), item, waitingJobs.getOrDefault(team.name(), List.of()), capacity);
      if (!ownTransfers.isEmpty() && cluster.now() >= nextWriteMs) {
        nextWriteMs = cluster.now() + (long) owners * Constants.SHARE_CHANGE_INTERVAL_MS;
        firstTeam = teamIndex + 1;
        writeTransfers(team.name(), item, ownTransfers);
      }
    }
  }

  /** Jobs with waiting tasks, by team, in the order in which they are served. */
  private Map<String, List<JobIndex.Job>> waitingByTeam() {
    Map<String, List<JobIndex.Job>> waitingJobs = new HashMap<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      if (job.runnableTasks() > job.placedCount()
          && !demand.isCancelled(job.spec)
          && cluster.needsMachines(job.spec)
          && cluster.replica.get(Replica.SHARDS, job.shard) != null) {
        waitingJobs.computeIfAbsent(job.spec.team(), team -> new ArrayList<>()).add(job);
      }
    }
    waitingJobs.values().forEach(jobs -> jobs.sort(ORDER));
    return waitingJobs;
  }

  // ---- the plan ----

  /** Transfers that the plan asks of one of this node's shards now. */
  private List<Transfer> transfersFromOwnShard(
      String team, Item item, List<JobIndex.Job> waitingJobs, RecordedCapacity capacity) {
    Map<String, Resources> shares = recordedShares(item.data());
    if (shares.size() < 2 && waitingJobs.stream().allMatch(job -> shares.containsKey(job.shard))) {
      return List.of();
    }
    Map<String, Resources> openWork = demand.resourcesByShard(team);
    Map<String, Resources> usage = usageByShard(team, shares.keySet());
    openWork.keySet().removeIf(shard -> cluster.replica.get(Replica.SHARDS, shard) == null);
    List<ShareRequest> claims = claims(waitingJobs, shares, usage, capacity);
    List<Transfer> plan = SharePlan.transfers(shares, usage, openWork, claims);
    List<String> donors = plan.stream().map(Transfer::from).distinct().toList();
    ObservedStamp observed = observedStamps.get(team);
    if (observed == null || observed.stamp != item.stamp()) {
      observed = new ObservedStamp(item.stamp(), cluster.now());
      observedStamps.put(team, observed);
    }
    for (int donorIndex = 0; donorIndex < donors.size(); donorIndex++) {
      String from = donors.get(donorIndex);
      boolean due =
          cluster.now() - observed.sinceMs >= (long) donorIndex * Constants.SHARE_DONOR_DELAY_MS;
      if (due
          && cluster.owns(from)
          && !cluster.outgoingShares.containsKey(outgoingKey(team, from))) {
        return plan.stream().filter(transfer -> transfer.from().equals(from)).toList();
      }
    }
    return List.of();
  }

  private static Map<String, Resources> recordedShares(JsonNode record) {
    Map<String, Resources> shares = new TreeMap<>();
    record
        .fieldNames()
        .forEachRemaining(
            shard -> {
              Resources share = ClusterState.recordedShare(record, shard);
              if (share.cpu() > 0 || share.gpu() > 0) {
                shares.put(shard, share);
              }
            });
    return shares;
  }

  /**
   * Resources that a team's tasks use, by shard: including unrecorded placements for shards of this
   * node, as recorded for all others.
   */
  private Map<String, Resources> usageByShard(String team, Set<String> shards) {
    Map<String, Resources> usage = new HashMap<>();
    for (JobIndex.Job job : cluster.jobIndex.all().values()) {
      if (job.spec.team().equals(team) && !cluster.owns(job.shard)) {
        usage.merge(job.shard, job.spec.resources().times(job.placedCount()), Resources::plus);
      }
    }
    for (String shard : shards) {
      if (cluster.owns(shard)) {
        usage.put(shard, cluster.teamUsage(team, shard));
      }
    }
    return usage;
  }

  /** Waiting tasks that fit on machines of their shard, as far as is known. */
  private List<ShareRequest> claims(
      List<JobIndex.Job> waitingJobs,
      Map<String, Resources> shares,
      Map<String, Resources> usage,
      RecordedCapacity capacity) {
    List<ShareRequest> claims = new ArrayList<>();
    for (JobIndex.Job job : waitingJobs) {
      if (claims.size() == Constants.MAX_PLANNED_JOBS) {
        break;
      }
      int waitingTasks = job.runnableTasks() - job.placedCount();
      int maxTasks = Math.min(waitingTasks, Constants.MAX_PLANNED_TASKS_PER_JOB);
      int tasks = capacity.countFitting(job, job.shard, maxTasks);
      Resources unused =
          shares
              .getOrDefault(job.shard, Resources.NONE)
              .minus(usage.getOrDefault(job.shard, Resources.NONE));
      boolean canStart = tasks > 0 && job.spec.resources().countIn(withoutMemory(unused), 1) > 0;
      if (tasks > 0 && !history.isDeferred(job, canStart)) {
        claims.add(new ShareRequest(job.shard, withoutMemory(job.spec.resources()), tasks));
      }
    }
    return claims;
  }

  private static Resources withoutMemory(Resources resources) {
    return new Resources(resources.cpu(), resources.gpu(), 0);
  }

  // ---- the write ----

  private static String outgoingKey(String team, String shard) {
    return team + "/" + shard;
  }

  /** Writes the transfers of a team's limit from one shard. */
  private void writeTransfers(String team, Item item, List<Transfer> ownTransfers) {
    String from = ownTransfers.get(0).from();
    String key = Wire.key(Replica.SHARES, team);
    ObjectNode newRecord = ((ObjectNode) item.data()).deepCopy();
    Resources total = Resources.NONE;
    Set<String> recipients = new HashSet<>();
    for (Transfer ownTransfer : ownTransfers) {
      addToShare(newRecord, ownTransfer.to(), ownTransfer.amount());
      total = total.plus(ownTransfer.amount());
      recipients.add(ownTransfer.to());
    }
    addToShare(newRecord, from, Resources.NONE.minus(total));
    cluster.outgoingShares.put(outgoingKey(team, from), total);
    Txn txn =
        new Txn()
            .guard(Wire.key(Replica.SHARDS, from), cluster.ownedShards.getLong(from))
            .guard(key, item.stamp())
            .put(key, newRecord);
    writer.commit(
        txn,
        total + " of team " + team + " from shard " + from + " to " + recipients,
        () -> cluster.outgoingShares.remove(outgoingKey(team, from)));
  }

  private static void addToShare(ObjectNode sharesRecord, String shard, Resources resources) {
    Resources sum = ClusterState.recordedShare(sharesRecord, shard).plus(resources);
    sharesRecord.putObject(shard).put("cpu", sum.cpu()).put("gpu", sum.gpu());
  }
}
