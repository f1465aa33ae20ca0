package dunlincroft.transport;

import java.util.List;

/**
 * The heartbeat that controllers send to each other. Its content is advisory: it never decides
 * whether a write is safe. {@link PeerLink} defines its encoding.
 *
 * @param node name of the sender
 * @param incarnation incarnation of the sender, or 0 until its first session lease
 * @param stateSilentMs milliseconds since the sender last heard from the state service
 * @param requestDemand requests a second that the sender needs of the state service's rate limit
 * @param writeDemand changes a second that the sender needs of the state service's rate limit
 * @param refutations how often the sender has refuted a suspicion of itself
 * @param observations what the sender observes of the other controllers
 * @param load the sender's load of submissions
 * @param cancellations the cancellations that the sender has acknowledged to users
 * @param silentMachines machines of the sender's shards that have been silent for too long, so that
 *     the leader can rent replacements before they are released; at most {@code
 *     Constants.MAX_SILENT_MACHINES_REPORTED}
 */
public record PeerHeartbeat(
    String node,
    long incarnation,
    long stateSilentMs,
    double requestDemand,
    double writeDemand,
    long refutations,
    List<PeerObservation> observations,
    Load load,
    CancellationReport cancellations,
    List<String> silentMachines) {

  /** A heartbeat without silent machines. */
  public PeerHeartbeat(
      String node,
      long incarnation,
      long stateSilentMs,
      double requestDemand,
      double writeDemand,
      long refutations,
      List<PeerObservation> observations,
      Load load,
      CancellationReport cancellations) {
    this(
        node,
        incarnation,
        stateSilentMs,
        requestDemand,
        writeDemand,
        refutations,
        observations,
        load,
        cancellations,
        List.of());
  }

  /** A heartbeat without load, cancellations and silent machines. */
  public PeerHeartbeat(
      String node,
      long incarnation,
      long stateSilentMs,
      double requestDemand,
      double writeDemand,
      long refutations,
      List<PeerObservation> observations) {
    this(
        node,
        incarnation,
        stateSilentMs,
        requestDemand,
        writeDemand,
        refutations,
        observations,
        Load.NONE,
        CancellationReport.NONE);
  }

  /**
   * The cancellations that the sender has acknowledged to users, with what a receiver needs to
   * judge up to which time it knows all of them.
   *
   * @param instanceId random number of the sender's process, or 0 if the report is empty
   * @param sentAt the sender's monotonic clock when it sent the heartbeat
   * @param echoes the newest heartbeats that the sender has received from other controllers
   * @param readRevision the revision up to which the sender has read the state service
   * @param highestRevision the highest revision of any cancellation that the sender has
   *     acknowledged
   * @param listedAbove all acknowledged cancellations of higher revisions than this are listed
   * @param cancelledJobs the listed cancellations
   */
  public record CancellationReport(
      long instanceId,
      long sentAt,
      List<HeartbeatEcho> echoes,
      long readRevision,
      long highestRevision,
      long listedAbove,
      List<CancelledJob> cancelledJobs) {
    public static final CancellationReport NONE =
        new CancellationReport(0, 0, List.of(), 0, 0, 0, List.of());
  }

  /**
   * The newest heartbeat that the sender has received from another controller: the instance that
   * sent it and when, by that instance's clock.
   */
  public record HeartbeatEcho(String node, long instanceId, long sentAt) {}

  /** A job whose cancellation was acknowledged to a user, and the revision that records it. */
  public record CancelledJob(String job, long revision) {}

  /**
   * The sender's load of submissions.
   *
   * @param acceptRate submissions a second that the sender can accept
   * @param classDemands demand of each traffic class at the sender
   * @param retryReservations when submissions that the sender has refused recently may be retried
   */
  public record Load(
      double acceptRate, List<ClassDemand> classDemands, List<RetryReservation> retryReservations) {
    public static final Load NONE = new Load(0, List.of(), List.of());
  }

  /**
   * Demand of one traffic class, in submissions a second, including those that were told to retry
   * later.
   */
  public record ClassDemand(String team, String jobclass, boolean prod, double demandRate) {}

  /**
   * When a refused submission may be retried.
   *
   * @param jobHash hash of the job's id
   * @param dueInMs milliseconds until it may be retried
   * @param tentative whether it has only a retry time and no slot in which it is certain to be
   *     admitted
   */
  public record RetryReservation(long jobHash, long dueInMs, boolean tentative) {}

  /**
   * What the sender observes of another controller.
   *
   * @param silentMs milliseconds since its last heartbeat
   * @param refutations the highest number of its refutations that the sender knows
   * @param suspected whether the sender suspects it
   * @param suspectedByAny whether the sender or a controller that it trusts suspects it at that
   *     number of refutations or a higher one
   * @param refusesConnections whether it refuses connections of the sender
   */
  public record PeerObservation(
      String node,
      long silentMs,
      long refutations,
      boolean suspected,
      boolean suspectedByAny,
      boolean refusesConnections) {}
}
