package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.Feed;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.bookkeeping.Replica;
import dunlincroft.bookkeeping.StateStore;
import dunlincroft.bookkeeping.Txn;
import dunlincroft.calendar.SettlementCalendar;
import dunlincroft.conditions.Conditions;
import dunlincroft.membership.Membership;
import dunlincroft.membership.NodeContext;
import dunlincroft.membership.ShardListener;
import dunlincroft.migration.MigrationLedger;
import dunlincroft.operators.Policy;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.transport.Beat;
import dunlincroft.transport.Env;
import dunlincroft.transport.Responder;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: the parts put together, and the clockwork that drives them. */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private final ClusterState cluster;
  private final Membership membership;
  private final SettlementCalendar calendar;
  private final MigrationLedger migrations;
  private final StartConditions startConditions;
  private final Ledger placementLog;
  private final WorkerProtocol workerProtocol;
  private final HeartbeatRouter heartbeats;
  private final StandIn proxyOwner;
  private final Scheduler scheduler;
  private final Supply autoscaler;
  private final Handover handover;
  private final JobDesk jobService;
  private final Figures metrics;

  private long tickDueMs;
  private int tickNumber;
  private long startedAtMs;
  private final PeriodicTasks tasks = new PeriodicTasks();
  private long nextRoundMs;
  private long nextServiceRoundMs;

  public Controller(Settings settings, Policy policy, Env env) {
    Replica replica = new Replica();
    JobIndex jobIndex = new JobIndex(replica);
    StateStore store =
        new StateStore(
            env, settings.state(), settings.stateRps(), settings.stateWriteRps(), replica);
    cluster = new ClusterState(settings, policy, env, store, replica, jobIndex);
    metrics = new Figures(env::wallMillis);
    cluster.metrics = metrics;
    calendar = new SettlementCalendar(env, store, replica, jobIndex, settings.clockOffMs());
    migrations = new MigrationLedger(env, store, replica, jobIndex, cluster.blocks);
    cluster.conditions = new Conditions(List.of(calendar, migrations));
    startConditions = new StartConditions(cluster);
    placementLog = new Ledger(cluster, startConditions);
    workerProtocol = new WorkerProtocol(cluster, placementLog);
    cluster.feed = new Feed(env, store, replica, this::onSynced);
    membership =
        new Membership(
            new NodeContext(settings, env, store, replica, cluster.feed), new ShardCallbacks());
    proxyOwner = new StandIn(cluster, membership);
    scheduler = new Scheduler(cluster, placementLog, startConditions);
    Cloud cloud =
        new Cloud(
            env,
            settings.cloud(),
            settings.cloudRps() * Constants.BUDGET_PART / membership.names().size());
    Demand demand = new Demand(cluster);
    MachineDiscovery discovery = new MachineDiscovery(cluster, membership, demand);
    heartbeats = new HeartbeatRouter(cluster, membership, workerProtocol, discovery, proxyOwner);
    autoscaler =
        new Supply(cluster, membership, workerProtocol, placementLog, cloud, demand, discovery);
    handover = new Handover(cluster, membership, demand);
    jobService = new JobDesk(cluster, membership);
    replica.listener(this::onRecordChanged);
    placementLog.onRecorded(machines -> machines.forEach(workerProtocol.commands::push));
  }

  public JobDesk jobService() {
    return jobService;
  }

  /** Begins; must run like every other event. */
  public void start() {
    membership.start();
    cluster.feed.start();
    addPeriodicTasks();
    tickDueMs = cluster.now();
    startedAtMs = cluster.now();
    tick();
  }

  // ---- what changes ----

  private void onRecordChanged(String kind, String name) {
    cluster.jobIndex.changed(kind, name);
    membership.recordChanged(kind, name);
    calendar.changed(kind, name);
    migrations.changed(kind, name);
    switch (kind) {
      case Replica.JOBS -> cluster.onJobChanged(name);
      case Replica.CANCELS -> onCancellation(name);
      case Replica.BLOCKS -> cluster.blocks.changed(name).forEach(cluster::onBlockChanged);
      case Replica.SHARDS -> placementLog.forget();
      case Replica.TYPES -> {
        if (cluster.machineTypes.isEmpty() && cluster.replica.get(kind, name) != null) {
          cluster.setMachineTypes(
              ClusterState.parseMachineTypes(cluster.replica.get(kind, name).data()));
        }
      }
      default -> LOG.trace("{}/{} changed", kind, name);
    }
  }

  private void onCancellation(String id) {
    cluster.onCancellation(id);
    JobRun run = cluster.jobs.get(id);
    if (run != null && run.cancelled) {
      schedulePush(machinesOf(run));
    }
  }

  private static Set<Machine> machinesOf(JobRun run) {
    Set<Machine> machines = new LinkedHashSet<>();
    run.placed.values().forEach(p -> machines.add(p.machine));
    return machines;
  }

  private void schedulePush(Collection<Machine> machines) {
    if (machines.isEmpty()) {
      return;
    }
    cluster.env.after(
        0,
        () ->
            machines.stream()
                .filter(machine -> cluster.machines.get(machine.host) == machine)
                .forEach(workerProtocol.commands::push));
  }

  private void onSynced() {
    cluster.jobIndex.rebuild();
    membership.names().forEach(shard -> membership.recordChanged(Replica.SHARDS, shard));
  }

  /** What membership tells us about shards. */
  private final class ShardCallbacks implements ShardListener {
    @Override
    public boolean owns(String shard) {
      return cluster.owns(shard);
    }

    @Override
    public long stamp(String shard) {
      return cluster.ownedShards.getLong(shard);
    }

    /**
     * Its machines are asked at once, so that loads are known: those with services first, then
     * those with other tasks.
     */
    @Override
    public void acquire(String shard, long stamp) {
      cluster.acquire(shard, stamp);
      scheduleTick(0);
      metrics.count(Figures.Event.TAKEOVER);
      heartbeats.answerWaiting();
      cluster.machines.values().stream()
          .filter(machine -> !machine.session.hasReported())
          .sorted(
              Comparator.comparing((Machine machine) -> !machine.hasDaemon())
                  .thenComparing(machine -> machine.placed.isEmpty()))
          .forEach(workerProtocol.probe::probe);
      autoscaler.findMachines();
    }

    @Override
    public void release(String shard) {
      cluster.release(shard);
    }

    @Override
    public void prepareTakeover(boolean suspected) {
      autoscaler.lookAhead(suspected);
    }

    @Override
    public void cancelledByPeer(String job) {
      proxyOwner.cancelled(job);
      JobRun run = cluster.jobs.get(job);
      if (run != null && run.stopMode() != JobRun.StopMode.ABANDON) {
        LOG.info("job {} is cancelled, as another node told its user: stopped", job);
        run.abandon();
        schedulePush(machinesOf(run));
      }
    }
  }

  // ---- clockwork ----

  private void scheduleTick(long delayMs) {
    int number = ++tickNumber;
    tickDueMs = cluster.now() + delayMs;
    cluster.env.after(
        delayMs,
        () -> {
          if (number == tickNumber) {
            tick();
          }
        });
  }

  /** Who has nothing to run ticks seldom; the next tick after a takeover is due at once. */
  private void tick() {
    long now = cluster.now();
    long lateMs = now - tickDueMs;
    boolean isIdle = cluster.machines.isEmpty() && cluster.jobs.isEmpty();
    scheduleTick(isIdle ? Constants.CALM_TICKS * Constants.PLACE_MS : Constants.PLACE_MS);
    if (lateMs > Constants.STOOD_STILL_MS) {
      onProcessPause(lateMs);
    } else if (lateMs > Constants.LATE_MS) {
      membership.ticksDelayed();
    }
    tasks.runDue(now);
  }

  /** What every controller does again and again, in the order of one tick. */
  private void addPeriodicTasks() {
    long slowPeriodMs = Constants.SLOW_TICKS * Constants.PLACE_MS;
    tasks.every(slowPeriodMs, "share the budget of the state service", now -> updateRateShares());
    tasks.every(slowPeriodMs, "membership", now -> membership.tick());
    tasks.every(slowPeriodMs, "admission", this::tickAdmission);
    tasks.every(slowPeriodMs, "answer waiting heartbeats", now -> heartbeats.answerWaiting());
    tasks.every(slowPeriodMs, "machine types", now -> autoscaler.typesTick());
    tasks.every(slowPeriodMs, "leases and conditions, as the leader", now -> runLeaderDuties());
    tasks.every(
        slowPeriodMs, "end what conditions end", now -> schedulePush(startConditions.stopEnded()));
    tasks.every(Constants.SUPPLY_MS, "machines, as the leader", now -> runLeaderScaling());
    tasks.every(Constants.SUPPLY_MS, "machines, as the owner", now -> autoscaler.holderTick());
    tasks.every(Constants.SUPPLY_MS, "handover", now -> runHandover());
    tasks.every(Constants.SUPPLY_MS, "placement due", now -> cluster.placementDue = true);
    tasks.everyTick("placement", this::runRoundIfDue);
    tasks.everyTick("records", now -> flushPlacements());
    long firstLogMs = cluster.now() + Constants.FIGURES_MS;
    tasks.everyFrom(firstLogMs, Constants.FIGURES_MS, "figures", now -> logMetrics());
  }

  private void tickAdmission(long now) {
    jobService.admission().tick(cluster.store.acceptsPerSecond(), now);
  }

  private boolean isLeader() {
    return membership.isLeader() && cluster.feed.synced();
  }

  private void runLeaderDuties() {
    if (isLeader()) {
      membership.renewLeases(cluster.blocks.hosts().size(), cluster.policy.holderMachines());
      calendar.lead(() -> membership.guardAsLeader(new Txn()), cluster.settings.txnOps());
      migrations.lead(() -> membership.guardAsLeader(new Txn()), cluster.settings.txnOps());
    }
  }

  private void runLeaderScaling() {
    if (isLeader()) {
      autoscaler.leaderTick();
    }
  }

  private void runHandover() {
    if (isCurrentOwner()) {
      handover.tick();
    }
  }

  /** Rounds never take more than a part of the processor, however much waits. */
  private void runRoundIfDue(long now) {
    if (!cluster.placementDue || !isCurrentOwner()) {
      return;
    }
    if (now >= nextRoundMs) {
      cluster.placementDue = false;
      nextRoundMs = now + runRound(false);
    } else if (now >= nextServiceRoundMs) {
      nextServiceRoundMs = now + runRound(true);
    }
  }

  private void flushPlacements() {
    if (isCurrentOwner()) {
      placementLog.flush();
    }
  }

  private void logMetrics() {
    jobService.admission().log();
    metrics.log(
        "leader="
            + membership.leader()
            + " shards="
            + cluster.ownedShards.keySet()
            + " jobs="
            + cluster.jobIndex.all().size()
            + " machines="
            + cluster.blocks.hosts().size()
            + " state service: "
            + cluster.store.figures());
  }

  /** One round; returns the pause that it must be followed by. */
  private long runRound(boolean servicesOnly) {
    long startMs = cluster.now();
    schedulePush(scheduler.place(servicesOnly));
    return Math.max(Constants.PLACE_MS, Constants.PLACE_REST * (cluster.now() - startMs));
  }

  /**
   * We heard nobody while we stood still: silence that was ours is nobody else's. What rests on the
   * state service's word (our holds, how current our replica is) keeps its true age.
   */
  private void onProcessPause(long pauseMs) {
    LOG.info(
        "node {} stood still for {} ms: what it did not hear meanwhile is no silence",
        nodeName(),
        pauseMs);
    metrics.count(Figures.Event.STANDSTILL);
    cluster.onProcessPause(pauseMs);
    membership.pauseDetected(pauseMs);
    jobService.admission().pauseDetected();
  }

  private String nodeName() {
    return cluster.settings.node();
  }

  private boolean isCurrentOwner() {
    return !cluster.ownedShards.isEmpty()
        && cluster.feed.synced()
        && cluster.feed.silentMs() < Constants.STALE_MS;
  }

  /** Who holds machines must see new jobs at once; the others mostly accept them. */
  private void updateRateShares() {
    boolean ownsLeasedShard = membership.leasedShards().stream().anyMatch(cluster::owns);
    cluster.feed.pause(ownsLeasedShard ? Constants.WATCH_PAUSE_MS : Constants.WATCH_CALM_MS);
    membership.shareRates();
  }

  // ---- the link ----

  public Beat peerHeartbeat() {
    return membership.heartbeat(
        jobService.admission().load(cluster.now()), autoscaler.silentMachines());
  }

  public void onPeerHeartbeat(Beat heartbeat) {
    membership.heartbeatReceived(heartbeat);
    jobService.admission().loadReceived(heartbeat.node(), heartbeat.load(), cluster.now());
  }

  /** Another controller refuses connections of ours, or no longer does. */
  public void onConnectionRefusal(String node, boolean refused) {
    membership.connectionRefused(node, refused);
  }

  /**
   * A common outage makes no node unready, and neither does a common restart, which is over in a
   * second or two: the balancer would leave everybody out for three seconds at least, and twice as
   * long each time. A node alone in its trouble becomes unready.
   */
  public boolean isReady() {
    boolean current =
        cluster.feed.synced()
            && !cluster.machineTypes.isEmpty()
            && cluster.feed.silentMs() < Constants.STALE_MS;
    boolean isStarting =
        cluster.now() - startedAtMs < Constants.BEGIN_MS && !membership.hasActivePeers();
    return current || isStarting || membership.areAllPeersDisconnected();
  }

  // ---- workers ----

  /** Answers a worker: orders from the holder of its machine's shard, or the way there. */
  public void onWorkerHeartbeat(WorkerReport report, Responder out) {
    heartbeats.answer(report, out);
  }
}
