package dunlincroft.transport;

import java.util.List;

/**
 * What controllers tell each other, as advice only: who is there, since when it has heard nothing
 * from the state service, what it wants of that service's rates, in requests and changes a second,
 * how often it has refuted a suspicion, what it hears of the other controllers, how much users ask
 * of it, what it has told them of cancellations, and which of its machines do not serve.
 *
 * @param silentMachines machines of the sender's shards that it has not heard for too long, so that
 *     the leader can rent others before they are given up; at most {@code
 *     Constants.SILENT_MACHINES_TOLD}
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

  /** A beat that tells of no silent machines. */
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

  /** A beat that tells nothing of load or cancellations. */
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
   * What vouches for the sender's word on cancellations: the number of its process's life; its
   * steady clock as this left, and those of others as it last heard them; the revision up to which
   * it has read the state service; the highest revision on which it has told any user of a
   * cancellation; and all cancellations that it has told of from revisions above {@code above}.
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

  /** The newest beat that the sender has had of another controller: its life, and its clock. */
  public record HeartbeatEcho(String node, long instanceId, long sentAt) {}

  /** A job that a user was told is cancelled, and the revision that says so. */
  public record CancelledJob(String job, long revision) {}

  /**
   * How many submissions a second the sender can accept, what is asked of it, and when those may
   * come again that it refused of late.
   */
  public record Load(
      double acceptRate, List<ClassDemand> classDemands, List<RetryReservation> retryReservations) {
    public static final Load NONE = new Load(0, List.of(), List.of());
  }

  /** Submissions a second of one team's class, with those that were told to come again. */
  public record ClassDemand(String team, String jobclass, boolean prod, double demandRate) {}

  /**
   * A job, by the hash of its id, whose turn is in so many milliseconds, or, without a turn, whose
   * user comes again then.
   */
  public record RetryReservation(long jobHash, long dueInMs, boolean tentative) {}

  /**
   * What the sender hears of another controller: for how many milliseconds it has been silent, the
   * highest count of its refutations that the sender knows, whether the sender suspects it, or
   * knows somebody who does at that count, and whether its connections are refused.
   */
  public record PeerObservation(
      String node,
      long silentMs,
      long refutations,
      boolean suspected,
      boolean suspectedByAny,
      boolean refusesConnections) {}
}
