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

  private final World world;
  private final Membership members;
  private final SettlementCalendar calendar;
  private final MigrationLedger migrations;
  private final Terms terms;
  private final Ledger ledger;
  private final WorkerProtocol workers;
  private final HeartbeatRouter heartbeats;
  private final StandIn standIn;
  private final Scheduler scheduler;
  private final Supply supply;
  private final Handover handover;
  private final JobDesk jobs;
  private final Figures figures;

  private long dueTick;
  private int ticks;
  private long startedAt;
  private final PeriodicTasks tasks = new PeriodicTasks();
  private long nextPlace;
  private long nextServices;

  public Controller(Settings settings, Policy policy, Env env) {
    Replica replica = new Replica();
    JobIndex index = new JobIndex(replica);
    StateStore store =
        new StateStore(
            env, settings.state(), settings.stateRps(), settings.stateWriteRps(), replica);
    world = new World(settings, policy, env, store, replica, index);
    figures = new Figures(env::wallMillis);
    world.figures = figures;
    calendar = new SettlementCalendar(env, store, replica, index, settings.clockOffMs());
    migrations = new MigrationLedger(env, store, replica, index, world.blocks);
    world.conditions = new Conditions(List.of(calendar, migrations));
    terms = new Terms(world);
    ledger = new Ledger(world, terms);
    workers = new WorkerProtocol(world, ledger);
    world.feed = new Feed(env, store, replica, this::synced);
    members =
        new Membership(new NodeContext(settings, env, store, replica, world.feed), new Shards());
    standIn = new StandIn(world, members);
    scheduler = new Scheduler(world, ledger, terms);
    Cloud cloud =
        new Cloud(
            env,
            settings.cloud(),
            settings.cloudRps() * Constants.BUDGET_PART / members.names().size());
    Demand demand = new Demand(world);
    MachineDiscovery discovery = new MachineDiscovery(world, members, demand);
    heartbeats = new HeartbeatRouter(world, members, workers, discovery, standIn);
    supply = new Supply(world, members, workers, ledger, cloud, demand, discovery);
    handover = new Handover(world, members, demand);
    jobs = new JobDesk(world, members);
    replica.listener(this::changed);
    ledger.onRecorded(machines -> machines.forEach(workers.commands::push));
  }

  public JobDesk jobs() {
    return jobs;
  }

  /** Begins; must run like every other event. */
  public void start() {
    members.start();
    world.feed.start();
    schedule();
    dueTick = world.now();
    startedAt = world.now();
    tick();
  }

  // ---- what changes ----

  private void changed(String kind, String name) {
    world.index.changed(kind, name);
    members.recordChanged(kind, name);
    calendar.changed(kind, name);
    migrations.changed(kind, name);
    switch (kind) {
      case Replica.JOBS -> world.job(name);
      case Replica.CANCELS -> cancelled(name);
      case Replica.BLOCKS -> world.blocks.changed(name).forEach(world::block);
      case Replica.SHARDS -> ledger.forget();
      case Replica.TYPES -> {
        if (world.types.isEmpty() && world.replica.get(kind, name) != null) {
          world.types(World.parseTypes(world.replica.get(kind, name).data()));
        }
      }
      default -> LOG.trace("{}/{} changed", kind, name);
    }
  }

  private void cancelled(String id) {
    world.cancelled(id);
    JobRun run = world.jobs.get(id);
    if (run != null && run.cancelled) {
      pushSoon(machinesOf(run));
    }
  }

  private static Set<Machine> machinesOf(JobRun run) {
    Set<Machine> machines = new LinkedHashSet<>();
    run.placed.values().forEach(p -> machines.add(p.machine));
    return machines;
  }

  private void pushSoon(Collection<Machine> machines) {
    if (machines.isEmpty()) {
      return;
    }
    world.env.after(
        0,
        () ->
            machines.stream()
                .filter(machine -> world.machines.get(machine.host) == machine)
                .forEach(workers.commands::push));
  }

  private void synced() {
    world.index.rebuild();
    members.names().forEach(shard -> members.recordChanged(Replica.SHARDS, shard));
  }

  /** What membership tells us about shards. */
  private final class Shards implements ShardListener {
    @Override
    public boolean owns(String shard) {
      return world.holds(shard);
    }

    @Override
    public long stamp(String shard) {
      return world.held.getLong(shard);
    }

    /**
     * Its machines are asked at once, so that loads are known: those with services first, then
     * those with other tasks.
     */
    @Override
    public void acquire(String shard, long stamp) {
      world.take(shard, stamp);
      tickIn(0);
      figures.count(Figures.Event.TAKEOVER);
      heartbeats.answerWaiting();
      world.machines.values().stream()
          .filter(machine -> !machine.session.hasReported())
          .sorted(
              Comparator.comparing((Machine machine) -> !machine.hasDaemon())
                  .thenComparing(machine -> machine.placed.isEmpty()))
          .forEach(workers.probe::probe);
      supply.findMachines();
    }

    @Override
    public void release(String shard) {
      world.drop(shard);
    }

    @Override
    public void prepareTakeover(boolean suspected) {
      supply.lookAhead(suspected);
    }

    @Override
    public void cancelledByPeer(String job) {
      standIn.cancelled(job);
      JobRun run = world.jobs.get(job);
      if (run != null && run.stopMode() != JobRun.StopMode.ABANDON) {
        LOG.info("job {} is cancelled, as another node told its user: stopped", job);
        run.abandon();
        pushSoon(machinesOf(run));
      }
    }
  }

  // ---- clockwork ----

  private void tickIn(long ms) {
    int mine = ++ticks;
    dueTick = world.now() + ms;
    world.env.after(
        ms,
        () -> {
          if (mine == ticks) {
            tick();
          }
        });
  }

  /** Who has nothing to run ticks seldom; the next tick after a takeover is due at once. */
  private void tick() {
    long now = world.now();
    long stood = now - dueTick;
    boolean calm = world.machines.isEmpty() && world.jobs.isEmpty();
    tickIn(calm ? Constants.CALM_TICKS * Constants.PLACE_MS : Constants.PLACE_MS);
    if (stood > Constants.STOOD_STILL_MS) {
      stoodStill(stood);
    } else if (stood > Constants.LATE_MS) {
      members.ticksDelayed();
    }
    tasks.runDue(now);
  }

  /** What every controller does again and again, in the order of one tick. */
  private void schedule() {
    long slow = Constants.SLOW_TICKS * Constants.PLACE_MS;
    tasks.every(slow, "share the budget of the state service", now -> share());
    tasks.every(slow, "membership", now -> members.tick());
    tasks.every(slow, "admission", this::tickAdmission);
    tasks.every(slow, "answer waiting heartbeats", now -> heartbeats.answerWaiting());
    tasks.every(slow, "machine types", now -> supply.typesTick());
    tasks.every(slow, "leases and conditions, as the leader", now -> leadSlow());
    tasks.every(slow, "end what conditions end", now -> pushSoon(terms.end()));
    tasks.every(Constants.SUPPLY_MS, "machines, as the leader", now -> leadSupply());
    tasks.every(Constants.SUPPLY_MS, "machines, as the owner", now -> supply.holderTick());
    tasks.every(Constants.SUPPLY_MS, "handover", now -> handOver());
    tasks.every(Constants.SUPPLY_MS, "placement due", now -> world.placeDue = true);
    tasks.everyTick("placement", this::placeIfDue);
    tasks.everyTick("records", now -> flush());
    long firstFigures = world.now() + Constants.FIGURES_MS;
    tasks.everyFrom(firstFigures, Constants.FIGURES_MS, "figures", now -> logFigures());
  }

  private void tickAdmission(long now) {
    jobs.admission().tick(world.store.acceptsPerSecond(), now);
  }

  private boolean leads() {
    return members.isLeader() && world.feed.synced();
  }

  private void leadSlow() {
    if (leads()) {
      members.renewLeases(world.blocks.hosts().size(), world.policy.holderMachines());
      calendar.lead(() -> members.guardAsLeader(new Txn()), world.settings.txnOps());
      migrations.lead(() -> members.guardAsLeader(new Txn()), world.settings.txnOps());
    }
  }

  private void leadSupply() {
    if (leads()) {
      supply.leaderTick();
    }
  }

  private void handOver() {
    if (fresh()) {
      handover.tick();
    }
  }

  /** Rounds never take more than a part of the processor, however much waits. */
  private void placeIfDue(long now) {
    if (!world.placeDue || !fresh()) {
      return;
    }
    if (now >= nextPlace) {
      world.placeDue = false;
      nextPlace = now + place(false);
    } else if (now >= nextServices) {
      nextServices = now + place(true);
    }
  }

  private void flush() {
    if (fresh()) {
      ledger.flush();
    }
  }

  private void logFigures() {
    jobs.admission().log();
    figures.log(
        "leader="
            + members.leader()
            + " shards="
            + world.held.keySet()
            + " jobs="
            + world.index.all().size()
            + " machines="
            + world.blocks.hosts().size()
            + " state service: "
            + world.store.figures());
  }

  /** One round; returns the pause that it must be followed by. */
  private long place(boolean services) {
    long before = world.now();
    pushSoon(scheduler.place(services));
    return Math.max(Constants.PLACE_MS, Constants.PLACE_REST * (world.now() - before));
  }

  /**
   * We heard nobody while we stood still: silence that was ours is nobody else's. What rests on the
   * state service's word (our holds, how current our replica is) keeps its true age.
   */
  private void stoodStill(long ms) {
    LOG.info(
        "node {} stood still for {} ms: what it did not hear meanwhile is no silence", me(), ms);
    figures.count(Figures.Event.STANDSTILL);
    world.stoodStill(ms);
    members.pauseDetected(ms);
    jobs.admission().pauseDetected();
  }

  private String me() {
    return world.settings.node();
  }

  private boolean fresh() {
    return !world.held.isEmpty()
        && world.feed.synced()
        && world.feed.silentMs() < Constants.STALE_MS;
  }

  /** Who holds machines must see new jobs at once; the others mostly accept them. */
  private void share() {
    boolean holder = members.leasedShards().stream().anyMatch(world::holds);
    world.feed.pause(holder ? Constants.WATCH_PAUSE_MS : Constants.WATCH_CALM_MS);
    members.shareRates();
  }

  // ---- the link ----

  public Beat beat() {
    return members.heartbeat(jobs.admission().load(world.now()), supply.silentMachines());
  }

  public void heard(Beat beat) {
    members.heartbeatReceived(beat);
    jobs.admission().loadReceived(beat.node(), beat.load(), world.now());
  }

  /** Another controller refuses connections of ours, or no longer does. */
  public void refused(String node, boolean refused) {
    members.connectionRefused(node, refused);
  }

  /**
   * A common outage makes no node unready, and neither does a common restart, which is over in a
   * second or two: the balancer would leave everybody out for three seconds at least, and twice as
   * long each time. A node alone in its trouble becomes unready.
   */
  public boolean ready() {
    boolean current =
        world.feed.synced() && !world.types.isEmpty() && world.feed.silentMs() < Constants.STALE_MS;
    boolean begins = world.now() - startedAt < Constants.BEGIN_MS && !members.hasActivePeers();
    return current || begins || members.areAllPeersDisconnected();
  }

  // ---- workers ----

  /** Answers a worker: orders from the holder of its machine's shard, or the way there. */
  public void hello(WorkerReport report, Responder out) {
    heartbeats.answer(report, out);
  }
}
