package dunlincroft;

/** Every tuned number of the program, with its unit and the reason for its value. */
public final class Constants {
  private Constants() {}

  // ---- wire limits (PROTOCOL) ----

  /** Bytes. A request body above this is refused with 400; so says the protocol. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** Bytes. Bodies between the limit and this one are read, so that the 400 can be delivered. */
  public static final int MAX_READ_BYTES = 1024 * 1024;

  /** Bytes. Answers of the state service's change feed have no size limit; this bounds memory. */
  public static final int MAX_REPLY_BYTES = 16 * 1024 * 1024;

  /** Tasks. The largest job the protocol allows. */
  public static final int MAX_TASKS_PER_JOB = 100_000;

  /** Machines. The most that one rental request may ask for. */
  public static final int MAX_RENTAL_MACHINES = 50;

  /** Machines. The most that one release request may name. */
  public static final int MAX_RELEASE_MACHINES = 100;

  /** Entries. The longest page of the machine list. */
  public static final int MACHINE_PAGE_ENTRIES = 500;

  /** Entries. Page of the state service's key listing; 512 KiB bound applies as well. */
  public static final int KEY_PAGE_ENTRIES = 500;

  /** Orders. Most orders in one message to a worker, so that it stays below 64 KiB. */
  public static final int MAX_ORDERS_PER_MESSAGE = 400;

  // ---- transport ----

  /** Milliseconds. A connection not made by then is given up; a cut hangs without an error. */
  public static final int CONNECT_TIMEOUT_MS = 1000;

  /** Milliseconds. State service calls: usually under 10 ms, now and then a few hundred. */
  public static final long STATE_CALL_TIMEOUT_MS = 1500;

  /** Milliseconds. Cloud calls: some hundred ms usual, late answers happen. */
  public static final long CLOUD_CALL_TIMEOUT_MS = 5000;

  /** Milliseconds. Direct calls to a worker; past this the hello lane takes over. */
  public static final long WORKER_CALL_TIMEOUT_MS = 1500;

  /** Milliseconds. Between beats on the link to the other controllers: cheap, and 3 fit in 1 s. */
  public static final long PEER_HEARTBEAT_MS = 300;

  /**
   * Milliseconds. A link that ended is tried anew this soon: a refusal says that its node ended.
   */
  public static final long PEER_RECONNECT_MS = 40;

  /** Bytes. A beat is some 100 bytes, in overload up to 5 KiB; a longer frame is not ours. */
  public static final int MAX_PEER_FRAME_BYTES = 16 * 1024;

  /** Connections that a process may have, where the settings do not tell. */
  public static final int DEFAULT_MAX_SOCKETS = 2000;

  /** Fraction of the connections that we use: past the limit they would fail at random. */
  public static final double USABLE_SOCKETS_FRACTION = 0.95;

  /** Connections kept for the other controllers' links, attempts at them, and listening. */
  public static final int RESERVED_SOCKETS = 40;

  /**
   * Fraction of the connections up to which direct calls to workers open new ones: what is above is
   * left to those who come to us, and orders fit into the answers to hellos as well.
   */
  public static final double ORDER_SOCKETS_FRACTION = 0.78;

  /**
   * Seconds. An idle connection to a worker: kept for the next task, gone soon after a takeover.
   */
  public static final double ORDER_SOCKET_IDLE_S = 8;

  /** Factor on report_s: a worker reports give or take a quarter. */
  public static final double MAX_REPORT_INTERVAL_FACTOR = 1.25;

  /** Longest waits of regular comers after which an idle one is closed when others need room. */
  public static final double SCARCE_IDLE_INTERVALS = 2;

  /** The same without need: it hangs, is cut off, or has gone elsewhere without a word. */
  public static final double MAX_IDLE_INTERVALS = 6;

  /** Milliseconds. Between two looks for idle connections. */
  public static final long SOCKET_SWEEP_MS = 1000;

  // ---- state service ----

  /** Milliseconds. Life of a controller's hold: long enough for a slow second, short to notice. */
  public static final long SESSION_TTL_MS = 4000;

  /** Milliseconds. Before a hold that could not be had or touched is asked for again. */
  public static final long SESSION_RETRY_MS = 400;

  /** Milliseconds. Touch the hold three times per life. */
  public static final long SESSION_RENEWAL_MS = 1200;

  /** Milliseconds. How long a watch blocks; it also proves that the replica is current. */
  public static final long WATCH_BLOCK_MS = 1000;

  /** Milliseconds. Pause between watches of a lease holder: a new job waits this long at most. */
  public static final long OWNER_WATCH_PAUSE_MS = 50;

  /**
   * Milliseconds. The same for other nodes, which need no haste: each watch costs a request, and
   * polls of users bring the changes anyway.
   */
  public static final long STANDBY_WATCH_PAUSE_MS = 400;

  /** Milliseconds. Pause between read barriers; all polls in between share the next one. */
  public static final long READ_BARRIER_PAUSE_MS = 150;

  /** Milliseconds. A call that found no room in the budget by then is refused early. */
  public static final long MAX_BUDGET_WAIT_MS = 900;

  /** Fraction. Part of the published rates that we use; the rest absorbs clock drift. */
  public static final double USABLE_RATE_FRACTION = 0.92;

  /** Seconds. A controller's wish for the state service's rates follows its calls at this pace. */
  public static final double RATE_DEMAND_SMOOTHING_S = 2;

  /** All controllers' floors together are this part, 1 in so many, of a rate: for what is new. */
  public static final double MIN_SHARE_DIVISOR = 5;

  /** Fraction of a second's changes that progress of jobs leaves to starts, ends, acceptance. */
  public static final double RESERVED_WRITES_FRACTION = 0.1;

  /**
   * Any one controller may save up a second's worth of all, divided by this: users come in bursts.
   */
  public static final double BURST_DIVISOR = 3;

  /** Milliseconds. Calls that wait for budget are looked at again: a small part of their wait. */
  public static final long DISPATCH_INTERVAL_MS = 20;

  /** Fraction of all requests that the watches and barriers of all take where they are scarce. */
  public static final double RESERVED_READS_FRACTION = 0.4;

  /** Fraction of a second's requests; while more of them are there, they are not scarce. */
  public static final double AMPLE_REQUESTS_FRACTION = 0.5;

  /** Milliseconds. Pause after the state service said that we together ask too much. */
  public static final long THROTTLED_PAUSE_MS = 60;

  /** Bytes. Most that one transaction's values may add up to, below the service's 64 KiB. */
  public static final int MAX_TXN_BYTES = 44 * 1024;

  /** Bytes. Worst size of one placement entry in a page: host, try and task number. */
  public static final int MAX_PAGE_ENTRY_BYTES = 42;

  /** Bytes. Room for one machine in a block: its name and the time of its rental, in JSON. */
  public static final int MAX_BLOCK_ENTRY_BYTES = 48;

  /** Entries. Final states kept in memory; older ones are read from the state service. */
  public static final int MAX_ENDED_JOBS_IN_MEMORY = 20_000;

  // ---- leadership, shards, leases ----

  /** Milliseconds. Term of the leader's block leases; the design's first value. */
  public static final long BLOCK_LEASE_MS = 20_000;

  /**
   * Machines. Below this many for each holder the leader leases to fewer holders: sharing splits
   * caches and strands room, which a node's share of the state service's rate must be worth.
   */
  public static final int MACHINES_PER_OWNER = 2000;

  /** Fraction. A holder goes once the machines fall below this part of what let it in. */
  public static final double OWNER_REMOVAL_FRACTION = 0.7;

  /** Milliseconds. A tick this much too late: the process stood still and heard nobody. */
  public static final long PROCESS_PAUSE_MS = 700;

  /**
   * Milliseconds. All owners of shards together change the split of team limits at most once in
   * this time, 2 times a second: a tenth of the changes of the state services known.
   */
  public static final long SHARE_CHANGE_INTERVAL_MS = 500;

  /** Milliseconds. Who gives second lets the first one's change be seen before its own. */
  public static final long SHARE_DONOR_DELAY_MS = 1500;

  /** Jobs. So many waiting jobs of a team are looked at in one plan of its shares. */
  public static final int MAX_PLANNED_JOBS = 64;

  /** Tasks. So many tasks of one job are planned for at a time. */
  public static final int MAX_PLANNED_TASKS_PER_JOB = 256;

  /** Milliseconds. A job that has all it needs starts a task in this time, or lets others go. */
  public static final long STALLED_JOB_MS = 6000;

  /** Milliseconds. A job that let others go claims anew after this. */
  public static final long STALLED_JOB_DEFERRAL_MS = 15_000;

  /** Milliseconds. A controller is well for so long before its shard is handed back. */
  public static final long SHARD_RETURN_DELAY_MS = 10_000;

  /** Milliseconds. A handover without an answer is repeated after this. */
  public static final long HANDOVER_RETRY_MS = 500;

  /** Milliseconds. Work without any progress for so long, room and limit allowing, is helped. */
  public static final long STARVATION_MS = 30_000;

  /** Milliseconds. Controllers without machines wait so long before they stand for the lead. */
  public static final long ELECTION_DELAY_MS = 1500;

  /** Beats. So many intervals of a peer are remembered: some 20 s, longer than most troubles. */
  public static final int HEARTBEAT_WINDOW = 64;

  /** Minus the decimal logarithm of the chance that a peer that is well is suspected at a beat. */
  public static final double SUSPECT_PHI = 5;

  /** The same for a peer that refuses connections: its silence need not speak alone. */
  public static final double REFUSED_PHI = 2;

  /** Milliseconds. Beats are never taken for more regular than this: a collection of garbage. */
  public static final double MIN_HEARTBEAT_DEVIATION_MS = 60;

  /** Milliseconds. A longer gap between beats is an absence, not a habit, and teaches nothing. */
  public static final long MAX_HEARTBEAT_INTERVAL_MS = 2200;

  /** Milliseconds. Silence of a peer that most of us are refused by: its process has ended. */
  public static final long ENDED_PEER_SILENCE_MS = 600;

  /** Milliseconds. Silence of one that refuses nothing, to most of us: a pause is over by then. */
  public static final long LOST_PEER_SILENCE_MS = 2300;

  /** Milliseconds. A record seen so long after the last beat was written after it. */
  public static final long MAX_RECORD_LAG_MS = 1000;

  /** Steps. Our own troubles lengthen our patience with others up to so many times, and once. */
  public static final int MAX_LOCAL_HEALTH = 2;

  /** Milliseconds. Without trouble of our own for so long, we are better by a step. */
  public static final long LOCAL_HEALTH_RECOVERY_MS = 3000;

  /** Milliseconds. A tick so much too late: we are behind, and others may only seem silent. */
  public static final long LATE_TICK_MS = 250;

  /** Milliseconds. A worker whose shard changes hands waits so long for it, within its time-out. */
  public static final long WORKER_HEARTBEAT_WAIT_MS = 2800;

  /** Milliseconds. A worker of a shard that came to us twice within this accuses its holder. */
  public static final long SUSPICION_WINDOW_MS = 15_000;

  /** Reports. So many strays from a shard's machines let us succeed a silent holder. */
  public static final int MIN_SUSPICION_REPORTS = 3;

  /** Milliseconds. Between two takeover tries of one node, so that nodes do not ping-pong. */
  public static final long TAKEOVER_COOLDOWN_MS = 3000;

  /** Milliseconds. Longest such pause; also how long ago a change must be not to lengthen it. */
  public static final long MAX_TAKEOVER_COOLDOWN_MS = 30_000;

  /** Milliseconds. Later ranks wait this much longer, so that not all take over at once. */
  public static final long TAKEOVER_STAGGER_MS = 250;

  /**
   * Milliseconds. Margin kept below cancel_s - lease_s, of which half is kept where it is short:
   * clocks drift apart by a thousandth, and a worker looks at its lease now and then.
   */
  public static final long CANCELLATION_LAG_MARGIN_MS = 5000;

  /** Cancellations told of that are remembered, and handed on in one beat: 5 KiB. */
  public static final int MAX_ACKNOWLEDGED_CANCELLATIONS = 200;

  /** Milliseconds. One that was heard so long ago is handed nothing more. */
  public static final long CANCELLATION_RELAY_MS = 5000;

  /**
   * Milliseconds. For so long, or until all others know better, who is out of touch tells of no
   * further cancellation: longer than a process takes to begin anew, and short enough for users to
   * wait when another controller is gone.
   */
  public static final long ACK_SUSPENSION_MS = 10_000;

  /** Milliseconds. So much longer is it kept: clocks drift apart by a thousandth. */
  public static final long ACK_SUSPENSION_MARGIN_MS = 100;

  /** Milliseconds. A process has read the state service and can decide so soon after its start. */
  public static final long STARTUP_MS = 4000;

  /** Milliseconds. Out of touch for this long: reads answer 503 and readiness is reviewed. */
  public static final long MAX_STALENESS_MS = 3500;

  // ---- placement ----

  /** Points. Ring points of one machine: evens out arcs at tens of machines. */
  public static final int RING_POINTS_PER_MACHINE = 24;

  /** Milliseconds. Between two makings of the ring: hundreds of machines come one by one. */
  public static final long RING_REBUILD_MS = 250;

  /** Fraction. Bound of the load on a machine; room is exact, so the whole machine may be used. */
  public static final double LOAD_BOUND = 1.0;

  /** Fraction. Operators may not set a bound below this: a task must fit somewhere. */
  public static final double MIN_LOAD_BOUND = 0.1;

  /** Tasks. Most of the random extra on a machine's load; a task's room, as in the design. */
  public static final double LOAD_BUFFER = 1.0;

  /** Tasks. Operators' highest buffer; beyond it only empty machines would take work. */
  public static final double MAX_LOAD_BUFFER = 4;

  /** Fraction. Kept for services on machines that run some, so that a new one starts warm. */
  public static final double SERVICE_RESERVE = 0.2;

  /** Milliseconds. Shortest pause between two placement rounds. */
  public static final long PLACEMENT_INTERVAL_MS = 40;

  /** Ticks of PLACE_MS from one look at membership, leases and waiting workers to the next. */
  public static final int SLOW_TICKS = 5;

  /** Ticks of PLACE_MS in one of a controller that runs nothing: waking up has its price. */
  public static final int IDLE_TICKS = 5;

  /** Factor on a round's duration before the next one may begin. */
  public static final long PLACEMENT_PAUSE_FACTOR = 4;

  /**
   * Milliseconds. A job that has waited so long without a start goes before all but services: the
   * largest must begin within four minutes, also when hundreds of others wait.
   */
  public static final long START_OVERDUE_MS = 60_000;

  /** Milliseconds. The same for one that has begun: beyond all hopes, and yet it must end. */
  public static final long FINISH_OVERDUE_MS = 200_000;

  /** Milliseconds. Which jobs are within their teams' guarantees is reckoned anew this often. */
  public static final long GUARANTEE_REFRESH_MS = 200;

  /** Milliseconds. Completions are recorded this much later, many in one write. */
  public static final long COMPLETION_WRITE_DELAY_MS = 700;

  /** Milliseconds. Between two writes of a shard's log for work that is not prod: fuller ones. */
  public static final long LOG_WRITE_PAUSE_MS = 200;

  /**
   * Bytes of a shard's log for each megabyte of memory; above that pages are written, so that its
   * oldest slots can be filled anew. Every controller holds the log, some ten times as large, and
   * reads it at its start; the longer it is, the more jobs end without ever needing a page.
   */
  public static final int SHARD_LOG_BYTES_PER_MB = 2048;

  /** Megabytes. Memory where the settings do not tell. */
  public static final double DEFAULT_MEMORY_MB = 256;

  /** Bytes. A slot is read whole by every controller at each write: it is kept below this. */
  public static final int MAX_LOG_SLOT_BYTES = 10 * 1024;

  /** Milliseconds. Before a key whose write has no answer is read once more. */
  public static final long REREAD_DELAY_MS = 200;

  /** Guards that a transaction may have for each change that it may make; so says the protocol. */
  public static final int GUARDS_PER_OP = 4;

  /** Changes. The end of a cancelled job: its key and its cancel mark, in one transaction. */
  public static final int JOB_END_OPS = 2;

  /** Milliseconds. After a refused start a machine's room is doubted for this long. */
  public static final long REFUSED_START_AVOIDANCE_MS = 2500;

  /** Failures. In a row, of jobs that ran elsewhere, or of so many jobs: the machine is sick. */
  public static final int FAULTY_MACHINE_FAILURES = 3;

  /** Machines. A job that failed on so many and ran on none is taken for faulty, not they. */
  public static final int FAULTY_JOB_MACHINES = 3;

  /** Milliseconds. A task that ran for so long shows that its job can run. */
  public static final long MIN_PROVEN_RUN_MS = 2000;

  /** Failures in a row. A job of which so many tasks failed makes a pause before the next try. */
  public static final int JOB_BACKOFF_FAILURES = 6;

  /** Milliseconds. First pause of a failing job; doubles up to the next constant. */
  public static final long JOB_BACKOFF_MS = 500;

  /** Milliseconds. Longest pause of a failing job. */
  public static final long MAX_JOB_BACKOFF_MS = 20_000;

  /** Milliseconds. A service that waited so long may begin a second fetch on a machine. */
  public static final long CONCURRENT_FETCH_AFTER_MS = 1000;

  /** Milliseconds. A service waiting this long without room may preempt. */
  public static final long SERVICE_PREEMPT_AFTER_MS = 100;

  /** Milliseconds. Work within a guarantee that waits this long may preempt borrowed room. */
  public static final long GUARANTEE_PREEMPT_AFTER_MS = 1500;

  /** Milliseconds. Between two such looks of one job: each goes over every task that runs. */
  public static final long PREEMPT_PAUSE_MS = 400;

  /** Seconds. For a guarantee no more work than this is lost with a task. */
  public static final double PREEMPT_LOSS_S = 2.5;

  /** Seconds. Work that saves loses nothing: for a guarantee it is stopped if that is so quick. */
  public static final double MAX_PREEMPT_SAVE_S = 10;

  /** Seconds. The operators' highest value of it: an hour is as good as anything. */
  public static final double MAX_PREEMPT_LOSS_S = 3600;

  // ---- machines ----

  /** Report intervals. A machine silent this long gets no new work and is asked directly. */
  public static final double SUSPECT_REPORT_INTERVALS = 1.5;

  /** Report intervals. A machine silent this long is released; its tasks restart elsewhere. */
  public static final double RELEASE_REPORT_INTERVALS = 2.5;

  /**
   * Fraction. A zone is silent, or heard, when this part of its machines is: some always differ.
   */
  public static final double ZONE_OUTAGE_FRACTION = 0.8;

  /** Machines. Fewer silent ones make no zone: they are three faults. */
  public static final int MIN_ZONE_OUTAGE_MACHINES = 4;

  /**
   * Milliseconds. So long before their lease is over, machines of a cut zone that run services are
   * released: some hundred a second can be, and a start takes a second or two.
   */
  public static final long ZONE_RELEASE_LEAD_MS = 4000;

  /** Fraction of the workers' lease over which these releases are spread, ending so long before. */
  public static final double ZONE_RELEASE_SPREAD = 0.5;

  /** Report intervals. The same when a third or more are silent: then the fault may be ours. */
  public static final double MANY_SILENT_RELEASE_INTERVALS = 9.33;

  /** Factor on startupS after which a booting machine is given up, plus the next constant. */
  public static final double BOOT_TIMEOUT_FACTOR = 2.5;

  /** Factor on startupS, with the next constant: a machine that boots longer is not counted on. */
  public static final double USUAL_BOOT_FACTOR = 1.5;

  /** Milliseconds. See BOOT_FACTOR. */
  public static final long BOOT_EXTRA_MS = 15_000;

  /** Milliseconds. Pause before a type, zone and kind that refused is asked again. */
  public static final long REFUSED_RENTAL_PAUSE_MS = 12_000;

  /** Fraction. The part of the cloud's rate of a leader that holds all machines: it does all. */
  public static final double FULL_CLOUD_RATE_FRACTION = 0.9;

  /** Fraction. The part of a leader that does not, and of all holders of machines beside it. */
  public static final double HALF_CLOUD_RATE_FRACTION = 0.5;

  /** Milliseconds. A task that ran so long may move: a start stopped earlier did not count. */
  public static final long MIN_RUN_BEFORE_MOVE_MS = 31_000;

  /** Milliseconds. Between two machines that services are moved off, so that few move at a time. */
  public static final long CONSOLIDATION_INTERVAL_MS = 10_000;

  /** Machines. So many must be too many before services move: else one is soon rented again. */
  public static final double MIN_CONSOLIDATION_EXCESS = 1.4;

  /** Milliseconds. A rental is paid for a minute at least: before that nothing is saved. */
  public static final long MIN_RENTAL_MS = 55_000;

  /** Lags of the machine list. For so long an unknown entry may be one that was just released. */
  public static final double UNKNOWN_ENTRY_LIST_LAGS = 2.5;

  /** Milliseconds. For so long a released machine that still shows is not adopted again. */
  public static final long RELEASED_MACHINE_MEMORY_MS = 120_000;

  /** Tries. A rental without an answer is repeated so often under its own name. */
  public static final int MAX_RENTAL_RETRIES = 5;

  /** Milliseconds. Between such tries. */
  public static final long RENTAL_RETRY_MS = 1000;

  /** Milliseconds. Between looks at it by the next in line, who only wants to know addresses. */
  public static final long STANDBY_LIST_INTERVAL_MS = 15_000;

  /** Milliseconds. A holder that hears hardly anybody says in its record this often that it is. */
  public static final long REFUTATION_INTERVAL_MS = 1500;

  /** Milliseconds. Between looks at the machine list. */
  public static final long MACHINE_LIST_INTERVAL_MS = 5000;

  /**
   * Replicas for which one look seeks room, machine by machine: some milliseconds of work with
   * thousands of machines. Those beyond have their turn once the first have room.
   */
  public static final int MAX_REPLICAS_PER_CHECK = 500;

  /** Machines. So many that do not serve an owner names to the leader in each beat: some 3 KB. */
  public static final int MAX_SILENT_MACHINES_REPORTED = 200;

  /** Milliseconds. Between supply decisions. */
  public static final long AUTOSCALING_INTERVAL_MS = 1000;

  /** Fraction of a machine type's room per zone kept free for services. */
  public static final double SPARE_MACHINES = 0.3;

  /** Machines per zone. The operators' highest spare. */
  public static final double MAX_SPARE_MACHINES = 100;

  /** Machines. Without the operators' word there is no limit but the cloud's. */
  public static final int MAX_RENTED_MACHINES = 100_000;

  /** Seconds. Pace at which the counted need follows a rise; a short burst rents little. */
  public static final double DEMAND_RISE_SMOOTHING_S = 4;

  /** Factor. A need that grows by so much is no short burst: each second counts when it rises. */
  public static final double DEMAND_JUMP_FACTOR = 1.5;

  /** Seconds. Pace at which the counted need follows such a rise. */
  public static final double DEMAND_JUMP_SMOOTHING_S = 1;

  /** Seconds. Pace at which the counted need follows a fall; machines cost 60 s at least. */
  public static final double DEMAND_FALL_SMOOTHING_S = 12;

  /** Milliseconds. Machine types and prices are asked again after this. */
  public static final long MACHINE_TYPES_REFRESH_MS = 60_000;

  // ---- operators' documents ----

  /** Bytes in a KiB, in which the platform gives the limit of a value. */
  public static final int BYTES_PER_KIB = 1024;

  /** Versions of a document that are kept: enough to go back by, few enough to read. */
  public static final int MAX_DOCUMENT_VERSIONS = 10;

  /** Bytes. What a page's frame takes of a value, and the worst that a character takes in JSON. */
  public static final int DOCUMENT_PAGE_OVERHEAD_BYTES = 200;

  public static final int MAX_JSON_CHAR_BYTES = 6;

  /** Tries of a command's request, each after twice the pause: half a minute in all. */
  public static final int DOCUMENT_ATTEMPTS = 6;

  /** Milliseconds before a command reads, and before it changes something: limits are shared. */
  public static final long COMMAND_READ_PAUSE_MS = 100;

  public static final long COMMAND_WRITE_PAUSE_MS = 1000;

  // ---- settlement calendar ----

  /** Milliseconds. A controller's time of day is off by this at the most, if nobody says more. */
  public static final double DEFAULT_CLOCK_OFFSET_MS = 1000;

  /**
   * Milliseconds. Before a cut-off the last start is this early: an answer to a report is executed
   * up to 4 s after the report left, and never later.
   */
  public static final long LAST_START_LEAD_MS = 4500;

  /** Milliseconds. Machines are rented so long before an opening: they boot, and fetch nothing. */
  public static final long OPENING_LEAD_MS = 90_000;

  /** Fraction of the tasks that may be begun although they will not end by the cut-off. */
  public static final double CUT_OFF_OVERRUN_FRACTION = 0.1;

  /** Tasks of a class that must have ended before their run times say something. */
  public static final int MIN_RUN_TIME_SAMPLES = 20;

  /** Factor on the owner's estimate before that: often wrong by half. */
  public static final double UNKNOWN_RUN_TIME_FACTOR = 1.5;

  /** Milliseconds. Between two looks at whether an open night will make it. */
  public static final long FORECAST_INTERVAL_MS = 60_000;

  /** Milliseconds. Closed nights are kept for two days, for whoever asks what was. */
  public static final long NIGHT_RETENTION_MS = 2L * 24 * 3600 * 1000;

  // ---- migration ledger ----

  /** Fraction of a job's tasks that go first, and that stand on the new side in both. */
  public static final double CANARY_FRACTION = 0.1;

  public static final double BOTH_PHASE_FRACTION = 0.5;

  /** Seconds. A phase is watched for so long before the next one. */
  public static final double SOAK_S = 60;

  /** Factor on that: a phase that is not whole by then is ill. */
  public static final int UNHEALTHY_SOAK_FACTOR = 4;

  /** Replicas that are moved to their side at a time, all workloads together, in each look. */
  public static final int MAX_CONCURRENT_MOVES = 4;

  // ---- users ----

  /** Milliseconds. A submission that would wait longer for budget is refused at once. */
  public static final long MAX_SUBMISSION_WAIT_MS = 400;

  /**
   * Fraction of what each flow asks for that goes before ranks and weights, the smallest flows
   * first: less than half of a class or team served fails a day. A little more, as demand is only
   * estimated.
   */
  public static final double GUARANTEED_DEMAND_FRACTION = 0.5;

  /**
   * Fraction of what can be accepted that is shared so when not even that part of all is there: far
   * beyond twice the load no rule serves half of everybody, and ranks matter again.
   */
  public static final double GUARANTEED_CAPACITY_FRACTION = 0.5;

  /** Fraction of its demand below which a flow's line moves at the plan's pace, and no faster. */
  public static final double UNDERSERVED_DEMAND_FRACTION = 0.9;

  /** Fraction of what a controller can accept by which all its lines move at the least. */
  public static final double MIN_SLOT_RATE_FRACTION = 0.1;

  /** Fraction of a controller's changes that is left to acceptance, whatever else there is. */
  public static final double MIN_ACCEPTANCE_FRACTION = 0.25;

  /** Part of all guarantees that a team without one counts as having: guests are not starved. */
  public static final double MIN_TEAM_WEIGHT = 0.05;

  /**
   * Seconds. What is asked for is smoothed over so long: longer than a beat, shorter than a user.
   */
  public static final double SUBMISSION_RATE_SMOOTHING_S = 4;

  /** Submissions a second. A flow that asks for less is not told of. */
  public static final double MIN_SUBMISSIONS_PER_S = 0.02;

  /** Milliseconds. A submission that found no budget: lines and turns hold for so long after it. */
  public static final long OVERLOAD_MS = 3000;

  /** Milliseconds. A controller's load is believed for so long: several beats. */
  public static final long LOAD_REPORT_TTL_MS = 2000;

  /** Flows that one beat tells of, those that ask for most first: 2 KiB. */
  public static final int HEARTBEAT_TRAFFIC_CLASSES = 40;

  /** Promises that one beat tells of, the newest ones: 2 KiB. */
  public static final int HEARTBEAT_RETRY_RESERVATIONS = 128;

  /** Milliseconds. A promise is told in all beats for so long. */
  public static final long RETRY_RESERVATION_ANNOUNCE_MS = 1000;

  /** Promises remembered, 40 bytes each: those of a minute at the highest rates seen. */
  public static final int MAX_RETRY_RESERVATIONS = 20_000;

  /** Milliseconds. Users give up after a minute; after that nobody comes back for a promise. */
  public static final long RETRY_RESERVATION_TTL_MS = 60_000;

  /** Seconds. Nobody is told to wait for longer: a place may be free before its turn. */
  public static final int MAX_RETRY_AFTER_S = 8;

  /** Seconds. The same for services, whose replicas are missed from the first second on. */
  public static final int MAX_SERVICE_RETRY_AFTER_S = 2;

  /** Milliseconds at a line's end kept for those that come again and had no turn yet. */
  public static final long RETRY_SLOT_RESERVE_MS = 6000;

  /** Submissions told to come again, after which the plan is made anew at once: a rush. */
  public static final int REPLAN_AFTER_DEFERRALS = 16;

  /** Milliseconds. Who comes this much before its turn is let in: clocks and seconds are rough. */
  public static final long RETRY_EARLY_MS = 500;

  /** Milliseconds. Who has not come so long after its turn does not come here. */
  public static final long RETRY_LATE_MS = 3000;

  /** Seconds. What a refused user is told to wait at the most: longer is not obeyed. */
  public static final int MAX_RETRY_SLOT_DELAY_S = 30;

  /** Seconds. What a refused user is told to wait at the least. */
  public static final int MIN_RETRY_AFTER_S = 1;

  /** Milliseconds. Logged figures: a line each half minute tells an operator the day's course. */
  public static final long METRICS_INTERVAL_MS = 30_000;
}
