package dunlincroft;

/**
 * Limits, intervals, time-outs and thresholds. A name ends with its unit unless it is a count or a
 * ratio.
 */
public final class Constants {
  private Constants() {}

  // ---- protocol limits ----

  /** Largest request body that the protocol allows; a larger one is refused with status 400. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * Bodies larger than {@link #MAX_BODY_BYTES} are read up to this size, so that the client can
   * receive the 400 response.
   */
  public static final int MAX_READ_BYTES = 1024 * 1024;

  /**
   * Bounds the memory for a response. Responses of the state service's change feed have no size
   * limit of their own.
   */
  public static final int MAX_REPLY_BYTES = 16 * 1024 * 1024;

  /** Largest number of tasks that the protocol allows in a job. */
  public static final int MAX_TASKS_PER_JOB = 100_000;

  /** Largest number of machines in one rental request. */
  public static final int MAX_RENTAL_MACHINES = 50;

  /** Largest number of machines in one release request. */
  public static final int MAX_RELEASE_MACHINES = 100;

  /** Largest page size of the machine list. */
  public static final int MACHINE_PAGE_ENTRIES = 500;

  /** Page size of the state service's key listing; pages are limited to 512 KiB as well. */
  public static final int KEY_PAGE_ENTRIES = 1000;

  /** Largest number of orders in one message to a worker, which keeps the message below 64 KiB. */
  public static final int MAX_ORDERS_PER_MESSAGE = 400;

  // ---- transport ----

  /**
   * Time limit for establishing a connection: in a network partition an attempt hangs without an
   * error.
   */
  public static final int CONNECT_TIMEOUT_MS = 1000;

  /**
   * Time limit for calls to the state service, which usually take less than 10 ms and occasionally
   * a few hundred.
   */
  public static final long STATE_CALL_TIMEOUT_MS = 1500;

  /**
   * Time limit for calls to the cloud, which usually take some hundred milliseconds and are
   * sometimes late.
   */
  public static final long CLOUD_CALL_TIMEOUT_MS = 5000;

  /**
   * Time limit for direct calls to a worker; afterwards the orders go into the response to the
   * worker's next heartbeat.
   */
  public static final long WORKER_CALL_TIMEOUT_MS = 1500;

  /** Interval between heartbeats to another controller. They are cheap, and 3 fit into 1 s. */
  public static final long PEER_HEARTBEAT_MS = 300;

  /**
   * Delay before a closed connection to a peer is opened again. It is short because a refusal shows
   * that the peer's process has ended.
   */
  public static final long PEER_RECONNECT_MS = 40;

  /**
   * Largest frame on a connection between controllers. A heartbeat has about 100 bytes, under
   * overload up to 5 KiB; a longer frame does not come from a controller.
   */
  public static final int MAX_PEER_FRAME_BYTES = 16 * 1024;

  /** Number of connections that a process may have unless the settings specify it. */
  public static final int DEFAULT_MAX_SOCKETS = 2000;

  /**
   * Fraction of the permitted connections that is used: beyond the limit, connections fail at
   * random.
   */
  public static final double USABLE_SOCKETS_FRACTION = 0.95;

  /**
   * Number of connections reserved for connections to the other controllers, attempts at them, and
   * listening sockets.
   */
  public static final int RESERVED_SOCKETS = 40;

  /**
   * Fraction of the permitted connections up to which direct calls to workers open new ones. The
   * rest is left to incoming connections; orders can also be sent in the responses to worker
   * heartbeats.
   */
  public static final double ORDER_SOCKETS_FRACTION = 0.78;

  /**
   * Idle time after which a connection to a worker is closed: long enough to be reused for the next
   * task, and short enough to be closed soon after a takeover of the shard.
   */
  public static final double ORDER_SOCKET_IDLE_S = 8;

  /**
   * Longest interval between two reports of a worker, as a multiple of {@code report_s}: workers
   * vary the interval by up to a quarter.
   */
  public static final double MAX_REPORT_INTERVAL_FACTOR = 1.25;

  /**
   * Idle time after which an incoming connection is closed while connections are scarce, in longest
   * report intervals.
   */
  public static final double SCARCE_IDLE_INTERVALS = 2;

  /**
   * Idle time after which an incoming connection is closed in any case, in longest report
   * intervals: its client hangs, is partitioned, or has left without closing it.
   */
  public static final double MAX_IDLE_INTERVALS = 6;

  /** Interval between two searches for idle connections. */
  public static final long SOCKET_SWEEP_MS = 1000;

  // ---- state service ----

  /**
   * Time to live of a controller's session lease: long enough to outlast a slow second, short
   * enough to notice a failure soon.
   */
  public static final long SESSION_TTL_MS = 4000;

  /** Delay before another attempt at a session lease that could not be acquired or renewed. */
  public static final long SESSION_RETRY_MS = 400;

  /** Interval between renewals of the session lease, three in each time to live. */
  public static final long SESSION_RENEWAL_MS = 1200;

  /** How long a watch request blocks. A completed watch also proves that the replica is current. */
  public static final long WATCH_BLOCK_MS = 1000;

  /**
   * Pause between two watches of a controller that owns a leased shard: the longest delay that
   * watching adds for a new job.
   */
  public static final long OWNER_WATCH_PAUSE_MS = 50;

  /**
   * Pause between two watches of the other controllers. It is longer because each watch costs a
   * request, and polls by users bring in the changes anyway.
   */
  public static final long STANDBY_WATCH_PAUSE_MS = 400;

  /** Pause between read barriers; all polls that arrive in between share the next one. */
  public static final long READ_BARRIER_PAUSE_MS = 150;

  /** Longest wait of a call for rate budget; a call that got none by then is refused early. */
  public static final long MAX_BUDGET_WAIT_MS = 900;

  /** Fraction of the published rates that is used; the rest absorbs clock drift. */
  public static final double USABLE_RATE_FRACTION = 0.92;

  /**
   * Time constant with which a controller's reported demand for the state service's rates follows
   * its calls.
   */
  public static final double RATE_DEMAND_SMOOTHING_S = 2;

  /**
   * The minimum shares of all controllers together are the rate divided by this number; they serve
   * sudden load.
   */
  public static final double MIN_SHARE_DIVISOR = 5;

  /**
   * Fraction of a second's changes that recording the progress of jobs leaves to starts, ends and
   * acceptance of jobs.
   */
  public static final double RESERVED_WRITES_FRACTION = 0.1;

  /**
   * A controller may accumulate the budget of one second of the whole rate divided by this number,
   * as requests of users come in bursts.
   */
  public static final double BURST_DIVISOR = 3;

  /**
   * Interval at which calls that wait for budget are dispatched again: a small part of their
   * longest wait.
   */
  public static final long DISPATCH_INTERVAL_MS = 20;

  /**
   * Fraction of the request rate that the watches and read barriers of all controllers get while
   * requests are scarce.
   */
  public static final double RESERVED_READS_FRACTION = 0.4;

  /** Requests are not scarce while more than this fraction of a second's requests is available. */
  public static final double AMPLE_REQUESTS_FRACTION = 0.5;

  /** Pause after the state service answered that all controllers together exceed its rate. */
  public static final long THROTTLED_PAUSE_MS = 60;

  /** Largest total size of the values in one transaction, below the service's limit of 64 KiB. */
  public static final int MAX_TXN_BYTES = 44 * 1024;

  /** Largest size of one placement entry in a page: host, attempt number and task number. */
  public static final int MAX_PAGE_ENTRY_BYTES = 42;

  /** Size of one machine in a block record: its name and the time of its rental, in JSON. */
  public static final int MAX_BLOCK_ENTRY_BYTES = 48;

  /** Number of final job states kept in memory; older ones are read from the state service. */
  public static final int MAX_ENDED_JOBS_IN_MEMORY = 20_000;

  // ---- leadership, shards, leases, failure detection ----

  /** Term of the block leases that the leader grants. */
  public static final long BLOCK_LEASE_MS = 20_000;

  /**
   * With fewer machines than this for each owner, the leader leases shards to fewer controllers.
   * Sharding splits the image caches and fragments free capacity; an additional owner has to be
   * worth that with its share of the state service's rate.
   */
  public static final int MACHINES_PER_OWNER = 2000;

  /**
   * An owner is removed when the number of machines falls below this fraction of the number at
   * which it was added.
   */
  public static final double OWNER_REMOVAL_FRACTION = 0.7;

  /**
   * A tick that is late by more than this shows that the process was paused and received nothing
   * meanwhile.
   */
  public static final long PROCESS_PAUSE_MS = 700;

  /**
   * Shortest interval between two changes of the split of team limits by all shard owners together.
   * That is 2 a second, a tenth of the write rate of the known state services.
   */
  public static final long SHARE_CHANGE_INTERVAL_MS = 500;

  /**
   * Delay before the second donor in order transfers a share, so that it sees the first one's
   * change before; each further donor waits as long again.
   */
  public static final long SHARE_DONOR_DELAY_MS = 1500;

  /**
   * Number of waiting jobs that one plan considers: of a team for its shares, and of all teams for
   * the handover of machines.
   */
  public static final int MAX_PLANNED_JOBS = 64;

  /** Number of tasks of one job that are planned for at a time. */
  public static final int MAX_PLANNED_TASKS_PER_JOB = 256;

  /**
   * Time within which a job that has everything it needs has to start a task; otherwise other jobs
   * get precedence. It is also the time for which a job has to lack free capacity before machines
   * are handed over for it.
   */
  public static final long STALLED_JOB_MS = 6000;

  /** How long a stalled job is deferred in favour of others. */
  public static final long STALLED_JOB_DEFERRAL_MS = 15_000;

  /** How long a controller has to be healthy before its shard is returned to it. */
  public static final long SHARD_RETURN_DELAY_MS = 10_000;

  /** Delay before a handover without a response is repeated. */
  public static final long HANDOVER_RETRY_MS = 500;

  /**
   * After this time without any progress, although free capacity and the limit allow it, one more
   * machine is rented for a waiting job.
   */
  public static final long STARVATION_MS = 30_000;

  /** How long controllers without machines wait before they stand for election as the leader. */
  public static final long ELECTION_DELAY_MS = 1500;

  /**
   * Number of heartbeat intervals remembered for each peer. They cover about 20 s, longer than most
   * disturbances.
   */
  public static final int HEARTBEAT_WINDOW = 64;

  /**
   * Suspicion threshold of the φ accrual detector: minus the decimal logarithm of the probability
   * that a healthy peer is suspected at a heartbeat.
   */
  public static final double SUSPECT_PHI = 5;

  /**
   * Suspicion threshold for a peer that refuses connections. It is lower because its silence is not
   * the only evidence.
   */
  public static final double REFUSED_PHI = 2;

  /**
   * Smallest standard deviation assumed for heartbeat intervals; it allows for a garbage
   * collection.
   */
  public static final double MIN_HEARTBEAT_DEVIATION_MS = 60;

  /**
   * Longest gap between heartbeats that is learnt as an interval; during a longer one the peer was
   * down.
   */
  public static final long MAX_HEARTBEAT_INTERVAL_MS = 2200;

  /**
   * Silence after which a peer is condemned that refuses the connections of a majority: its process
   * has ended.
   */
  public static final long ENDED_PEER_SILENCE_MS = 600;

  /**
   * Silence towards a majority after which a peer is condemned that refuses no connection: a
   * process pause is over by then.
   */
  public static final long LOST_PEER_SILENCE_MS = 2300;

  /**
   * A change of a peer's record that is seen this long after its last heartbeat was written after
   * that heartbeat.
   */
  public static final long MAX_RECORD_LAG_MS = 1000;

  /**
   * Largest value of the local health counter; 0 is healthy. Faults of this process lengthen its
   * suspicion time-outs for peers in proportion to the counter plus one.
   */
  public static final int MAX_LOCAL_HEALTH = 2;

  /** Time without a fault of this process after which the local health counter is decremented. */
  public static final long LOCAL_HEALTH_RECOVERY_MS = 3000;

  /**
   * A tick that is late by more than this shows that this process lags, so that peers may only
   * appear silent.
   */
  public static final long LATE_TICK_MS = 250;

  /**
   * How long the heartbeat of a worker whose shard changes its owner waits for the new owner,
   * within the worker's time-out.
   */
  public static final long WORKER_HEARTBEAT_WAIT_MS = 2800;

  /**
   * A worker that reports to a controller other than its shard's owner twice within this time
   * counts as a suspicion report against the owner.
   */
  public static final long SUSPICION_WINDOW_MS = 15_000;

  /**
   * Number of machines of a shard with suspicion reports that allows a takeover from an owner that
   * is silent.
   */
  public static final int MIN_SUSPICION_REPORTS = 3;

  /**
   * Pause between two takeover attempts of a node, so that two nodes do not take a shard from each
   * other repeatedly.
   */
  public static final long TAKEOVER_COOLDOWN_MS = 3000;

  /**
   * Longest such pause. A change of owner lengthens the pause after the next one if it happened
   * less than this long ago.
   */
  public static final long MAX_TAKEOVER_COOLDOWN_MS = 30_000;

  /**
   * Additional delay for each later place in the order of succession, so that not all controllers
   * attempt a takeover at once.
   */
  public static final long TAKEOVER_STAGGER_MS = 250;

  /**
   * Margin below {@code cancel_s - lease_s}; if that difference is short, half of it. It covers
   * clock drift of a thousandth and the interval at which a worker checks its lease.
   */
  public static final long CANCELLATION_LAG_MARGIN_MS = 5000;

  /**
   * Number of acknowledged cancellations that are remembered and relayed in one heartbeat, in which
   * they take 5 KiB.
   */
  public static final int MAX_ACKNOWLEDGED_CANCELLATIONS = 200;

  /** Cancellations are no longer relayed to a peer that has been silent for this long. */
  public static final long CANCELLATION_RELAY_MS = 5000;

  /**
   * How long a controller that is disconnected from the state service suspends acknowledgements of
   * further cancellations, or until all other controllers have confirmed a later heartbeat of it,
   * whichever is earlier. It is longer than a process takes to restart, and short enough for users
   * to wait while another controller is down.
   */
  public static final long ACK_SUSPENSION_MS = 10_000;

  /**
   * How much longer the announcing controller itself keeps the suspension: clocks drift apart by a
   * thousandth.
   */
  public static final long ACK_SUSPENSION_MARGIN_MS = 100;

  /** Time after its start within which a process has read the state service and can decide. */
  public static final long STARTUP_MS = 4000;

  /**
   * With a replica older than this, reads are answered with status 503 and readiness is reviewed.
   */
  public static final long MAX_STALENESS_MS = 3500;

  // ---- placement ----

  /**
   * Number of points of one machine on the hash ring: it evens out the arcs with some tens of
   * machines.
   */
  public static final int RING_POINTS_PER_MACHINE = 24;

  /** Interval between two rebuilds of the ring, as hundreds of machines may appear one by one. */
  public static final long RING_REBUILD_MS = 250;

  /**
   * Default fraction of a machine's cpus up to which it is loaded. Free capacity is exact, so the
   * whole machine may be used.
   */
  public static final double LOAD_BOUND = 1.0;

  /** Smallest load bound that operators may set: a task has to fit somewhere. */
  public static final double MIN_LOAD_BOUND = 0.1;

  /**
   * Default maximum of the random buffer left free on a machine at a placement, as a multiple of
   * one task's resources.
   */
  public static final double LOAD_BUFFER = 1.0;

  /**
   * Largest load buffer that operators may set; with a larger one only empty machines would get
   * work.
   */
  public static final double MAX_LOAD_BUFFER = 4;

  /**
   * Fraction of a machine that runs services which is reserved for services, so that a new one
   * finds its image cached.
   */
  public static final double SERVICE_RESERVE = 0.2;

  /** Shortest pause between two placement rounds, and the length of a tick. */
  public static final long PLACEMENT_INTERVAL_MS = 40;

  /** Number of placement intervals between two checks of membership, leases and waiting workers. */
  public static final int SLOW_TICKS = 5;

  /**
   * Length of a tick of a controller that runs nothing, in placement intervals: each wake-up costs
   * processor time.
   */
  public static final int IDLE_TICKS = 5;

  /** Pause after a placement round as a multiple of the round's duration. */
  public static final long PLACEMENT_PAUSE_FACTOR = 4;

  /**
   * Wait for the first start after which a job goes before everything but services: the largest job
   * has to start within four minutes, also while hundreds of others wait.
   */
  public static final long START_OVERDUE_MS = 60_000;

  /**
   * Age after which a job that has started goes before everything but services: it has missed every
   * deadline and still has to finish.
   */
  public static final long FINISH_OVERDUE_MS = 200_000;

  /** Interval at which the jobs within their teams' guarantees are determined again. */
  public static final long GUARANTEE_REFRESH_MS = 200;

  /** Delay before completions are recorded, so that one write contains many of them. */
  public static final long COMPLETION_WRITE_DELAY_MS = 700;

  /**
   * Pause between two writes of a shard's log for work that is not of rank prod, so that each write
   * contains more entries.
   */
  public static final long LOG_WRITE_PAUSE_MS = 200;

  /**
   * Bytes of a shard's log for each megabyte of memory. Beyond that, pages are written so that the
   * oldest slots of the log can be reused. Every controller keeps the log in memory, where it takes
   * about ten times as much, and reads it at its start; the longer it is, the more jobs end without
   * needing a page.
   */
  public static final int SHARD_LOG_BYTES_PER_MB = 2048;

  /** Memory of a process unless the settings specify it. */
  public static final double DEFAULT_MEMORY_MB = 256;

  /** Largest size of a log slot: every controller reads the whole slot at each write. */
  public static final int MAX_LOG_SLOT_BYTES = 10 * 1024;

  /** Delay before a key is read again whose write got no response. */
  public static final long REREAD_DELAY_MS = 200;

  /** Number of guards that the protocol allows in a transaction for each change in it. */
  public static final int GUARDS_PER_OP = 4;

  /**
   * Number of changes in the transaction that ends a cancelled job: its key and its cancellation
   * mark.
   */
  public static final int JOB_END_OPS = 2;

  /** How long a machine that refused a start gets no work, as its free capacity is uncertain. */
  public static final long REFUSED_START_AVOIDANCE_MS = 2500;

  /**
   * A machine is faulty after this number of consecutive failures of jobs that ran elsewhere, or
   * failures of this number of jobs.
   */
  public static final int FAULTY_MACHINE_FAILURES = 3;

  /**
   * A job that failed on this number of machines and ran on none is considered faulty instead of
   * the machines.
   */
  public static final int FAULTY_JOB_MACHINES = 3;

  /** A task that ran for this long shows that its job can run. */
  public static final long MIN_PROVEN_RUN_MS = 2000;

  /** Number of consecutive task failures of a job after which it is retried only after a pause. */
  public static final int JOB_BACKOFF_FAILURES = 6;

  /** First pause of a failing job; it doubles up to {@link #MAX_JOB_BACKOFF_MS}. */
  public static final long JOB_BACKOFF_MS = 500;

  /** Longest pause of a failing job. */
  public static final long MAX_JOB_BACKOFF_MS = 20_000;

  /** Wait after which a service may start on a machine that is already fetching an image. */
  public static final long CONCURRENT_FETCH_AFTER_MS = 1000;

  /** Wait without free capacity after which a service may preempt other work. */
  public static final long SERVICE_PREEMPT_AFTER_MS = 100;

  /**
   * Wait after which work within its team's guarantee may preempt work that uses capacity beyond a
   * guarantee.
   */
  public static final long GUARANTEE_PREEMPT_AFTER_MS = 1500;

  /**
   * Pause between two searches for tasks to preempt for one job: each search visits every running
   * task.
   */
  public static final long PREEMPT_PAUSE_MS = 400;

  /** Default limit on the work that is lost when a task is preempted for a guarantee. */
  public static final double PREEMPT_LOSS_S = 2.5;

  /**
   * A task that saves its state loses no work; it is preempted for a guarantee only if saving takes
   * no longer than this.
   */
  public static final double MAX_PREEMPT_SAVE_S = 10;

  /**
   * Largest limit on lost work that operators may set; anything above an hour has the same effect.
   */
  public static final double MAX_PREEMPT_LOSS_S = 3600;

  // ---- machines ----

  /**
   * Silence of a machine, in report intervals, after which it gets no new work and is queried
   * directly.
   */
  public static final double SUSPECT_REPORT_INTERVALS = 1.5;

  /**
   * Silence of a machine, in report intervals, after which it is released; its tasks restart
   * elsewhere.
   */
  public static final double RELEASE_REPORT_INTERVALS = 2.5;

  /**
   * A zone counts as silent or as reachable if at least this fraction of its machines is: some
   * machines always differ.
   */
  public static final double ZONE_OUTAGE_FRACTION = 0.8;

  /**
   * Smallest number of silent machines that counts as an outage of their zone; fewer are separate
   * faults.
   */
  public static final int MIN_ZONE_OUTAGE_MACHINES = 4;

  /**
   * Time before the end of their lease at which the machines of a cut-off zone that run services
   * are released: some hundred can be released in a second, and a start takes a second or two.
   */
  public static final long ZONE_RELEASE_LEAD_MS = 4000;

  /**
   * Fraction of the workers' lease over which these releases are spread; the last ones happen
   * {@link #ZONE_RELEASE_LEAD_MS} before its end.
   */
  public static final double ZONE_RELEASE_SPREAD = 0.5;

  /**
   * Silence of a machine, in report intervals, after which it is released while a third of the
   * machines or more are silent: then the fault may be this controller's.
   */
  public static final double MANY_SILENT_RELEASE_INTERVALS = 9.33;

  /**
   * A booting machine is given up after this multiple of {@code startupS} plus {@link
   * #BOOT_EXTRA_MS}.
   */
  public static final double BOOT_TIMEOUT_FACTOR = 2.5;

  /**
   * A machine that boots for longer than this multiple of {@code startupS} plus {@link
   * #BOOT_EXTRA_MS} is not counted as coming capacity.
   */
  public static final double USUAL_BOOT_FACTOR = 1.5;

  /** Fixed part of the limits on boot time; see {@link #BOOT_TIMEOUT_FACTOR}. */
  public static final long BOOT_EXTRA_MS = 15_000;

  /** Pause before another rental of a combination of type, zone and kind that the cloud refused. */
  public static final long REFUSED_RENTAL_PAUSE_MS = 12_000;

  /**
   * Fraction of the cloud's rate for a leader that owns all machines and so makes nearly all calls.
   */
  public static final double FULL_CLOUD_RATE_FRACTION = 0.9;

  /**
   * Fraction of the cloud's rate for a leader that does not own all machines, and for all other
   * owners of machines together.
   */
  public static final double HALF_CLOUD_RATE_FRACTION = 0.5;

  /**
   * Time for which a task has to have run before it may be moved: a start that is stopped earlier
   * does not count as one.
   */
  public static final long MIN_RUN_BEFORE_MOVE_MS = 31_000;

  /**
   * Pause between two machines from which services are moved, so that few services move at a time.
   */
  public static final long CONSOLIDATION_INTERVAL_MS = 10_000;

  /**
   * Services are moved off a machine only if at least this many machines are surplus; with fewer,
   * one would soon be rented again.
   */
  public static final double MIN_CONSOLIDATION_EXCESS = 1.4;

  /** Age of a rental before which releasing it saves nothing: a minute is charged at least. */
  public static final long MIN_RENTAL_MS = 55_000;

  /**
   * Multiple of the machine list's lag during which an unknown entry may be a machine that has just
   * been released.
   */
  public static final double UNKNOWN_ENTRY_LIST_LAGS = 2.5;

  /** How long a released machine that is still listed is not adopted again. */
  public static final long RELEASED_MACHINE_MEMORY_MS = 120_000;

  /** Number of times that a rental without a response is repeated under its own name. */
  public static final int MAX_RENTAL_RETRIES = 5;

  /** Delay before such a repetition. */
  public static final long RENTAL_RETRY_MS = 1000;

  /**
   * Interval between polls of the machine list by the next controller in line, which only
   * prefetches endpoints.
   */
  public static final long STANDBY_LIST_INTERVAL_MS = 15_000;

  /**
   * Interval at which an owner that is isolated from most other controllers refutes suspicions
   * through its record.
   */
  public static final long REFUTATION_INTERVAL_MS = 1500;

  /** Interval between polls of the machine list. */
  public static final long MACHINE_LIST_INTERVAL_MS = 5000;

  /**
   * Number of replicas for which one check searches free capacity machine by machine, which takes
   * some milliseconds with thousands of machines. Further replicas are checked once the first ones
   * have capacity.
   */
  public static final int MAX_REPLICAS_PER_CHECK = 500;

  /**
   * Number of unusable machines that an owner reports to the leader in each heartbeat, in which
   * they take about 3 KB.
   */
  public static final int MAX_SILENT_MACHINES_REPORTED = 200;

  /** Interval between autoscaling decisions. */
  public static final long AUTOSCALING_INTERVAL_MS = 1000;

  /**
   * Default capacity of each machine type that is kept free for services in each zone, as a
   * fraction of one machine.
   */
  public static final double SPARE_MACHINES = 0.3;

  /** Largest number of spare machines in each zone that operators may set. */
  public static final double MAX_SPARE_MACHINES = 100;

  /**
   * Default and largest limit on rented machines: unless operators set one, only the cloud's limit
   * applies.
   */
  public static final int MAX_RENTED_MACHINES = 100_000;

  /**
   * Time constant with which smoothed demand follows a rise, so that a short burst rents few
   * machines.
   */
  public static final double DEMAND_RISE_SMOOTHING_S = 4;

  /** Growth of demand that counts as a jump instead of a short burst: then each second matters. */
  public static final double DEMAND_JUMP_FACTOR = 1.5;

  /** Time constant with which smoothed demand follows a jump. */
  public static final double DEMAND_JUMP_SMOOTHING_S = 1;

  /**
   * Time constant with which smoothed demand follows a fall; a machine is charged for 60 s at
   * least.
   */
  public static final double DEMAND_FALL_SMOOTHING_S = 12;

  /** Interval at which machine types and prices are queried. */
  public static final long MACHINE_TYPES_REFRESH_MS = 60_000;

  // ---- operators' documents ----

  /** The settings give the largest size of a value in KiB. */
  public static final int BYTES_PER_KIB = 1024;

  /** Number of versions kept of a document: enough to revert to, and few enough to read. */
  public static final int MAX_DOCUMENT_VERSIONS = 10;

  /** Bytes of a value that a document page takes up beside its text. */
  public static final int DOCUMENT_PAGE_OVERHEAD_BYTES = 200;

  /** Largest number of bytes that a character takes up in JSON, as an escape sequence. */
  public static final int MAX_JSON_CHAR_BYTES = 6;

  /**
   * Number of attempts at a request of a command, each after twice the previous pause; half a
   * minute in all.
   */
  public static final int DOCUMENT_ATTEMPTS = 6;

  /**
   * Pause of a command before a read: the controllers share the state service's rate limits with
   * it.
   */
  public static final long COMMAND_READ_PAUSE_MS = 100;

  /** Pause of a command before a write. */
  public static final long COMMAND_WRITE_PAUSE_MS = 1000;

  // ---- settlement calendar ----

  /** Largest error of a controller's time of day unless the settings specify it. */
  public static final double DEFAULT_CLOCK_OFFSET_MS = 1000;

  /**
   * Time before a cut-off of the last start: a worker carries out a response within 4 s of sending
   * its report, and never later.
   */
  public static final long LAST_START_LEAD_MS = 4500;

  /**
   * Time before the opening of a night at which machines are rented, so that they have booted;
   * images are not fetched in advance.
   */
  public static final long OPENING_LEAD_MS = 90_000;

  /** Fraction of the tasks that may be started although they will not end by the cut-off. */
  public static final double CUT_OFF_OVERRUN_FRACTION = 0.1;

  /** Number of ended tasks of a job class from which its run times are used for estimates. */
  public static final int MIN_RUN_TIME_SAMPLES = 20;

  /**
   * Factor on the owner's estimate of the run time without enough samples: such estimates are often
   * wrong by half.
   */
  public static final double UNKNOWN_RUN_TIME_FACTOR = 1.5;

  /** Interval between forecasts of whether an open night will finish in time. */
  public static final long FORECAST_INTERVAL_MS = 60_000;

  /** Closed nights are kept for two days, so that they can be queried. */
  public static final long NIGHT_RETENTION_MS = 2L * 24 * 3600 * 1000;

  // ---- migration ledger ----

  /** Default fraction of a job's tasks that run on the new side in the canary phase. */
  public static final double CANARY_FRACTION = 0.1;

  /**
   * Default fraction of a job's tasks that run on the new side in the phase that uses both sides.
   */
  public static final double BOTH_PHASE_FRACTION = 0.5;

  /** Default time for which a phase is observed before the next one begins. */
  public static final double SOAK_S = 60;

  /** A phase that is not complete after this multiple of the soak time is unhealthy. */
  public static final int UNHEALTHY_SOAK_FACTOR = 4;

  /** Number of replicas of all workloads together that one check moves to their side. */
  public static final int MAX_CONCURRENT_MOVES = 4;

  // ---- submissions and metrics ----

  /** A submission that would wait longer than this for rate budget is refused at once. */
  public static final long MAX_SUBMISSION_WAIT_MS = 400;

  /**
   * Fraction of each traffic class's demand that is served before ranks and weights apply, smallest
   * classes first. The objectives of a day are missed if less than half of a class or team is
   * served; a little more is guaranteed, as demand is only estimated.
   */
  public static final double GUARANTEED_DEMAND_FRACTION = 0.5;

  /**
   * Fraction of the capacity that is shared in this way if it does not suffice for the guaranteed
   * part of all demand. With a demand far above twice the capacity, no rule can serve half of every
   * class, and ranks apply again.
   */
  public static final double GUARANTEED_CAPACITY_FRACTION = 0.5;

  /**
   * If the plan serves less than this fraction of a traffic class's demand, the retry slots of the
   * class advance at the planned rate and no faster.
   */
  public static final double UNDERSERVED_DEMAND_FRACTION = 0.9;

  /**
   * Fraction of a controller's capacity for acceptances that is the minimum rate at which the retry
   * slots of all its traffic classes together advance.
   */
  public static final double MIN_SLOT_RATE_FRACTION = 0.1;

  /**
   * Fraction of a controller's write rate that is available for acceptance, whatever other writes
   * there are.
   */
  public static final double MIN_ACCEPTANCE_FRACTION = 0.25;

  /**
   * Smallest weight of a team, as a fraction of all guarantees, so that teams without a guarantee
   * are not starved.
   */
  public static final double MIN_TEAM_WEIGHT = 0.05;

  /**
   * Time constant of the measured submission rates: longer than a heartbeat interval, shorter than
   * a user's wait.
   */
  public static final double SUBMISSION_RATE_SMOOTHING_S = 4;

  /** Submission rate below which a traffic class is not reported to the other controllers. */
  public static final double MIN_SUBMISSIONS_PER_S = 0.02;

  /**
   * How long a controller remains in overload, with retry slots in use, after a submission that
   * found no rate budget.
   */
  public static final long OVERLOAD_MS = 3000;

  /** How long a controller's load report is valid: several heartbeat intervals. */
  public static final long LOAD_REPORT_TTL_MS = 2000;

  /** Number of traffic classes in one heartbeat, highest demand first; they take 2 KiB. */
  public static final int HEARTBEAT_TRAFFIC_CLASSES = 40;

  /** Number of submission reservations in one heartbeat, the newest ones; they take 2 KiB. */
  public static final int HEARTBEAT_RETRY_RESERVATIONS = 128;

  /** How long a submission reservation is announced in every heartbeat. */
  public static final long RETRY_RESERVATION_ANNOUNCE_MS = 1000;

  /**
   * Number of submission reservations remembered, 40 bytes each: those of one minute at the highest
   * expected rates.
   */
  public static final int MAX_RETRY_RESERVATIONS = 20_000;

  /** How long a submission reservation is kept: users give up after a minute. */
  public static final long RETRY_RESERVATION_TTL_MS = 60_000;

  /**
   * Longest wait that a response asks of a user: a slot may become free before the reserved one.
   */
  public static final int MAX_RETRY_AFTER_S = 8;

  /** Longest wait for services, whose replicas are needed from the first second on. */
  public static final int MAX_SERVICE_RETRY_AFTER_S = 2;

  /**
   * Part at the end of the retry slots that is reserved for submissions that return and have no
   * slot yet.
   */
  public static final long RETRY_SLOT_RESERVE_MS = 6000;

  /**
   * Number of deferred submissions after which the plan is recomputed at once, to follow a sudden
   * rise.
   */
  public static final int REPLAN_AFTER_DEFERRALS = 16;

  /**
   * How much earlier than its slot a submission is admitted: clocks are inexact, and waits are
   * rounded to seconds.
   */
  public static final long RETRY_EARLY_MS = 500;

  /**
   * A submission that has not returned this long after its slot is not expected at this controller
   * any more.
   */
  public static final long RETRY_LATE_MS = 3000;

  /** How far ahead retry slots are reserved: users do not comply with longer waits. */
  public static final int MAX_RETRY_SLOT_DELAY_S = 30;

  /** Shortest wait that a response asks of a user, and the default. */
  public static final int MIN_RETRY_AFTER_S = 1;

  /**
   * Interval between metrics log lines; a line each half minute shows an operator the course of a
   * day.
   */
  public static final long METRICS_INTERVAL_MS = 30_000;
}
