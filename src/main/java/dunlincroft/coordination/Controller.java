package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.ChangeFeed;
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
import dunlincroft.transport.Env;
import dunlincroft.transport.PeerHeartbeat;
import dunlincroft.transport.Responder;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller node: creates its components, connects them, and runs their periodic tasks. */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private final ClusterState cluster;
  private final Membership membership;
  private final SettlementCalendar calendar;
  private final MigrationLedger migrations;
  private final StartConditions startConditions;
  private final PlacementLog placementLog;
  private final WorkerProtocol workerProtocol;
  private final HeartbeatRouter heartbeats;
  private final ProxyOwner proxyOwner;
  private final Scheduler scheduler;
  private final Autoscaler autoscaler;
  private final Handover handover;
  private final JobService jobService;
  private final Metrics metrics;

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
            env,
            settings.stateEndpoint(),
            new StateStore.Rates(settings.stateRps(), settings.stateWriteRps()),
            new StateStore.Rates(settings.nextStateRps(), settings.nextStateWriteRps()),
            replica);
    cluster = new ClusterState(settings, policy, env, store, replica, jobIndex);
    metrics = new Metrics(env::wallMillis);
    cluster.metrics = metrics;
    calendar = new SettlementCalendar(env, store, replica, jobIndex, settings.maxClockOffsetMs());
    migrations = new MigrationLedger(env, store, replica, jobIndex, cluster.blocks);
    cluster.conditions = new Conditions(List.of(calendar, migrations));
    startConditions = new StartConditions(cluster);
    placementLog = new PlacementLog(cluster, startConditions);
    workerProtocol = new WorkerProtocol(cluster, placementLog);
    cluster.feed = new ChangeFeed(env, store, replica, this::onSynced);
    membership =
        new Membership(
            new NodeContext(settings, env, store, replica, cluster.feed), new ShardCallbacks());
    proxyOwner = new ProxyOwner(cluster, membership);
    scheduler = new Scheduler(cluster, placementLog, startConditions);
    CloudClient cloud =
        new CloudClient(
            env,
            settings.cloudEndpoint(),
            settings.cloudRps() * Constants.USABLE_RATE_FRACTION / membership.names().size());
    Demand demand = new Demand(cluster);
    MachineDiscovery discovery = new MachineDiscovery(cluster, membership, demand);
    heartbeats = new HeartbeatRouter(cluster, membership, workerProtocol, discovery, proxyOwner);
    autoscaler =
        new Autoscaler(cluster, membership, workerProtocol, placementLog, cloud, demand, discovery);
    handover = new Handover(cluster, membership, demand);
    jobService = new JobService(cluster, membership);
    replica.setListener(this::onRecordChanged);
    placementLog.setRecordedListener(machines -> machines.forEach(workerProtocol.commands::push));
  }

  /** Answers users' requests about jobs. */
  public JobService jobService() {
    return jobService;
  }

  /** Starts the controller; must be called as an event, like all other methods. */
  public void start() {
    membership.start();
    cluster.feed.start();
    addPeriodicTasks();
    tickDueMs = cluster.now();
    startedAtMs = cluster.now();
    tick();
  }

  // ---- changes of records ----

  private void onRecordChanged(String kind, String name) {
    cluster.jobIndex.onChange(kind, name);
    membership.recordChanged(kind, name);
    calendar.onChange(kind, name);
    migrations.onChange(kind, name);
    switch (kind) {
      case Replica.JOBS -> cluster.onJobChanged(name);
      case Replica.CANCELS -> onCancellation(name);
      case Replica.BLOCKS -> cluster.blocks.onChange(name).forEach(cluster::onBlockChanged);
      case Replica.SHARDS -> placementLog.discardUnowned();
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

  /** Pushes orders to machines in an event of its own, once the present one is done. */
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

  /** Receives changes of shard ownership from the membership. */
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
     * Probes the machines of the acquired shard at once, so that their load is known: machines with
     * services first, then those with other tasks.
     */
    @Override
    public void acquire(String shard, long stamp) {
      cluster.acquire(shard, stamp);
      scheduleTick(0);
      metrics.count(Metrics.Event.TAKEOVER);
      heartbeats.retryPending();
      cluster.machines.values().stream()
          .filter(machine -> !machine.session.hasReported())
          .sorted(
              Comparator.comparing((Machine machine) -> !machine.hasService())
                  .thenComparing(machine -> machine.placements.isEmpty()))
          .forEach(workerProtocol.probe::probe);
      autoscaler.locateMachines();
    }

    @Override
    public void release(String shard) {
      cluster.release(shard);
    }

    @Override
    public void prepareTakeover(boolean suspected) {
      autoscaler.prefetchEndpoints(suspected);
    }

    @Override
    public void cancelledByPeer(String job) {
      proxyOwner.onCancelled(job);
      JobRun run = cluster.jobs.get(job);
      if (run != null && run.stopMode() != JobRun.StopMode.ABANDON) {
        LOG.info("job {} is stopped: a peer has confirmed its cancellation to the user", job);
        run.abandon();
        schedulePush(machinesOf(run));
      }
    }
  }

  // ---- timer ----

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

  /**
   * Runs the tasks that are due. A node without machines and jobs ticks less often; after a
   * takeover the next tick is due at once.
   */
  private void tick() {
    long now = cluster.now();
    long lateMs = now - tickDueMs;
    boolean isIdle = cluster.machines.isEmpty() && cluster.jobs.isEmpty();
    scheduleTick(
        isIdle
            ? Constants.IDLE_TICKS * Constants.PLACEMENT_INTERVAL_MS
            : Constants.PLACEMENT_INTERVAL_MS);
    if (lateMs > Constants.PROCESS_PAUSE_MS) {
      onProcessPause(lateMs);
    } else if (lateMs > Constants.LATE_TICK_MS) {
      membership.ticksDelayed();
    }
    tasks.runDue(now);
  }

  /** Adds the periodic tasks of a controller, in the order in which they run within one tick. */
  private void addPeriodicTasks() {
    long slowPeriodMs = Constants.SLOW_TICKS * Constants.PLACEMENT_INTERVAL_MS;
    tasks.every(slowPeriodMs, "rate limits of the state service", now -> updateRateShares());
    tasks.every(slowPeriodMs, "membership", now -> membership.tick());
    tasks.every(slowPeriodMs, "admission", this::tickAdmission);
    tasks.every(slowPeriodMs, "answer waiting heartbeats", now -> heartbeats.retryPending());
    tasks.every(slowPeriodMs, "machine types", now -> autoscaler.refreshTypes());
    tasks.every(slowPeriodMs, "leases and conditions, as the leader", now -> runLeaderDuties());
    tasks.every(
        slowPeriodMs,
        "stop tasks whose conditions have ended",
        now -> schedulePush(startConditions.stopEnded()));
    tasks.every(
        Constants.AUTOSCALING_INTERVAL_MS,
        "machine provisioning, as the leader",
        now -> runLeaderScaling());
    tasks.every(
        Constants.AUTOSCALING_INTERVAL_MS, "machines, as the owner", now -> autoscaler.ownerTick());
    tasks.every(Constants.AUTOSCALING_INTERVAL_MS, "handover", now -> runHandover());
    tasks.every(
        Constants.AUTOSCALING_INTERVAL_MS, "placement due", now -> cluster.placementDue = true);
    tasks.everyTick("placement", this::runRoundIfDue);
    tasks.everyTick("records", now -> flushPlacements());
    long firstLogMs = cluster.now() + Constants.METRICS_INTERVAL_MS;
    tasks.everyFrom(firstLogMs, Constants.METRICS_INTERVAL_MS, "metrics", now -> logMetrics());
  }

  private void tickAdmission(long now) {
    jobService.admission().tick(cluster.store.acceptancesPerSecond(), now);
  }

  private boolean isLeader() {
    return membership.isLeader() && cluster.feed.synced();
  }

  private void runLeaderDuties() {
    if (isLeader()) {
      membership.renewLeases(cluster.blocks.hosts().size(), cluster.policy.machinesPerLeaseOwner());
      calendar.leaderTick(() -> membership.guardAsLeader(new Txn()), cluster.settings.maxTxnOps());
      migrations.leaderTick(
          () -> membership.guardAsLeader(new Txn()), cluster.settings.maxTxnOps());
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

  /**
   * Runs a placement round if one is due. The pause after each round limits rounds to a fraction of
   * the processor, however much work waits.
   */
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
            + cluster.ownedShards
            + " revision="
            + cluster.replica.revision()
            + " read "
            + cluster.feed.stalenessMs()
            + " ms ago"
            + " jobs="
            + cluster.jobIndex.all().size()
            + " machines="
            + cluster.blocks.hosts().size()
            + " state service: "
            + cluster.store.metrics());
  }

  /** Runs one placement round; returns the milliseconds to pause before the next one. */
  private long runRound(boolean servicesOnly) {
    long startMs = cluster.now();
    schedulePush(scheduler.place(servicesOnly));
    return Math.max(
        Constants.PLACEMENT_INTERVAL_MS,
        Constants.PLACEMENT_PAUSE_FACTOR * (cluster.now() - startMs));
  }

  /**
   * Handles a pause of this process (garbage collection or scheduling): nothing could be received
   * meanwhile, so silence of others during the pause does not count. The age of what the state
   * service has confirmed (the session lease, the replica) does not change.
   */
  private void onProcessPause(long pauseMs) {
    LOG.info(
        "node {} stood still for {} ms: silence of others during this pause does not count",
        nodeName(),
        pauseMs);
    metrics.count(Metrics.Event.STANDSTILL);
    cluster.onProcessPause(pauseMs);
    membership.pauseDetected(pauseMs);
    jobService.admission().pauseDetected();
  }

  private String nodeName() {
    return cluster.settings.nodeName();
  }

  /** Whether this node owns a shard and its replica is recent enough to act on. */
  private boolean isCurrentOwner() {
    return !cluster.ownedShards.isEmpty()
        && cluster.feed.synced()
        && cluster.feed.stalenessMs() < Constants.MAX_STALENESS_MS;
  }

  /**
   * Sets the interval of the change feed and this node's share of the state service's rate limits.
   * Nodes that own machines must see new jobs at once; the others mostly accept jobs.
   */
  private void updateRateShares() {
    boolean ownsLeasedShard = membership.leasedShards().stream().anyMatch(cluster::owns);
    cluster.feed.setWatchPause(
        ownsLeasedShard ? Constants.OWNER_WATCH_PAUSE_MS : Constants.STANDBY_WATCH_PAUSE_MS);
    membership.shareRates();
  }

  // ---- peers ----

  /** The heartbeat that this node sends to its peers. */
  public PeerHeartbeat peerHeartbeat() {
    return membership.heartbeat(
        jobService.admission().load(cluster.now()), autoscaler.silentMachines());
  }

  /** Handles a heartbeat of a peer. */
  public void onPeerHeartbeat(PeerHeartbeat heartbeat) {
    membership.heartbeatReceived(heartbeat);
    jobService.admission().loadReceived(heartbeat.node(), heartbeat.load(), cluster.now());
  }

  /** Records that a peer refuses connections of this node, or no longer does. */
  public void onConnectionRefusal(String node, boolean refused) {
    membership.connectionRefused(node, refused);
  }

  /**
   * Whether the load balancer should send users to this node. An outage of all nodes makes no node
   * unready, and neither does a restart of all nodes, which is over in a second or two: the load
   * balancer would exclude every node for at least three seconds, and twice as long each time. A
   * node that is affected alone becomes unready.
   */
  public boolean isReady() {
    boolean current =
        cluster.feed.synced()
            && !cluster.machineTypes.isEmpty()
            && cluster.feed.stalenessMs() < Constants.MAX_STALENESS_MS;
    boolean isStarting =
        cluster.now() - startedAtMs < Constants.STARTUP_MS && !membership.hasActivePeers();
    return current || isStarting || membership.areAllPeersDisconnected();
  }

  // ---- workers ----

  /**
   * Answers a worker's heartbeat: with orders if this node owns the machine's shard, otherwise with
   * the name of the owner.
   */
  public void onWorkerHeartbeat(WorkerReport report, int bodyBytes, Responder out) {
    metrics.recordReport(report.tasks().size(), bodyBytes);
    heartbeats.answer(report, out);
  }
}
