package dunlincroft.coordination;

import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Room;
import dunlincroft.protocol.WorkerReport;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A machine of a shard that this node holds. */
final class Machine {
  /** How soon a task may start, as far as its image is concerned. */
  enum ImageState {
    /** The image is there. */
    CACHED,
    /** It is being fetched for another task. */
    FETCHING,
    /** It would be fetched alone. */
    MISSING,
    /** It would share the machine's rate with other fetches, and slow them down. */
    CONTENDED
  }

  final String host;
  final String shard;
  final String typeLabel;
  final String zone;
  final boolean preemptible;
  final long rentedAtWallMs;
  final long[] ringPoints;
  String endpoint;
  MachineType type;

  /** Whether some waiting task may have room here, in the present round. */
  boolean isCandidate;

  /** What work leaves free here, worked out for this type; see World.kept. */
  MachineType reservedCpuType;

  long baseReservedCpu;
  long reservedCpuWithServices;

  /** Stamp of its block; 0 for a machine that only old records name: it is released, not used. */
  long blockStamp;

  final MachineSession session;
  MachineLifecycle lifecycle = MachineLifecycle.IN_USE;
  List<WorkerReport.Piece> reportedTasks = List.of();
  final Map<String, Placement> placements = new Object2ObjectLinkedOpenHashMap<>();

  /** What the placements take, and how many of them are services': kept with every change. */
  private Room allocated = Room.NONE;

  private int serviceCount;

  /** What the services among them take. */
  private Room allocatedToServices = Room.NONE;

  /** Images that a task ran from here, as far as this holder saw. */
  private final Set<String> cachedImages = new HashSet<>();

  /** Placements by image, and how many of these images are not there yet. */
  private final Object2IntOpenHashMap<String> placementsByImage = new Object2IntOpenHashMap<>();

  private int missingImages;

  /** Room of tasks that no record names; they are being stopped. */
  Room orphanedResources = Room.NONE;

  boolean isPushPending;
  boolean isRaisingFence;

  /** Starts wait until we have read up to its fence. */
  boolean hasDeferredStarts;

  /** Why no new work goes there, or null. */
  String drainReason;

  /** The shard that gets the block once the machine is empty, or null. */
  String targetShard;

  /** The block's move is asked for, and its outcome not known yet. */
  boolean isMoving;

  /** Jobs whose records may name this machine. */
  final Set<JobRun> recordedJobs = new HashSet<>();

  long avoidUntilMs;

  /** Failures in a row of jobs that ran elsewhere; and all jobs that failed here meanwhile. */
  int consecutiveFailures;

  final Set<String> failedJobs = new HashSet<>();
  long idleSinceMs = -1;

  Machine(
      String host,
      String shard,
      String typeLabel,
      String zone,
      boolean preemptible,
      long rentedAtWallMs,
      long nowMs) {
    this.host = host;
    this.shard = shard;
    this.typeLabel = typeLabel;
    this.zone = zone;
    this.preemptible = preemptible;
    this.rentedAtWallMs = rentedAtWallMs;
    this.ringPoints = Ring.pointsOf(host);
    this.session = new MachineSession(nowMs);
  }

  void add(Placement placement) {
    placements.put(placement.taskName(), placement);
    allocated = allocated.plus(placement.job.spec.room());
    if (placement.job.spec.daemon()) {
      serviceCount++;
      allocatedToServices = allocatedToServices.plus(placement.job.spec.room());
    }
    String image = placement.job.spec.bundle();
    if (placementsByImage.addTo(image, 1) == 0 && !cachedImages.contains(image)) {
      missingImages++;
    }
  }

  void remove(Placement placement) {
    if (placements.remove(placement.taskName(), placement)) {
      allocated = allocated.minus(placement.job.spec.room());
      if (placement.job.spec.daemon()) {
        serviceCount--;
        allocatedToServices = allocatedToServices.minus(placement.job.spec.room());
      }
      String image = placement.job.spec.bundle();
      if (placementsByImage.addTo(image, -1) == 1) {
        placementsByImage.removeInt(image);
        missingImages -= cachedImages.contains(image) ? 0 : 1;
      }
    }
  }

  /** A task runs from this image. */
  void markImageCached(String image) {
    if (cachedImages.add(image) && placementsByImage.containsKey(image)) {
      missingImages--;
    }
  }

  /** How far the machine is from having an image, the nearest first. */
  ImageState imageState(String image) {
    if (cachedImages.contains(image)) {
      return ImageState.CACHED;
    }
    if (placementsByImage.containsKey(image)) {
      return ImageState.FETCHING;
    }
    return missingImages == 0 ? ImageState.MISSING : ImageState.CONTENDED;
  }

  Room used() {
    return allocated.plus(orphanedResources);
  }

  Room free() {
    return type == null ? Room.NONE : type.room().minus(used());
  }

  /** A look before the exact one: whether so many processors can be free beyond those kept. */
  boolean mayFit(Room requested, long reserved) {
    return type != null
        && type.room().cpu() - allocated.cpu() - orphanedResources.cpu() - reserved
            >= requested.cpu();
  }

  boolean hasNoTasks() {
    return placements.isEmpty() && reportedTasks.stream().allMatch(WorkerReport.Piece::exited);
  }

  /**
   * Whether one more such replica leaves room for what services of a lost zone would bring: with
   * three zones, a third of the machine, which other work may use until then.
   */
  boolean leavesZoneFailoverCapacity(Room replica) {
    int zoneCount = type.halls().size();
    return zoneCount < 2
        || allocatedToServices
            .plus(replica)
            .times(zoneCount)
            .fits(type.room().times(zoneCount - 1));
  }

  boolean hasService() {
    return serviceCount > 0;
  }

  BlockClass blockClass() {
    return new BlockClass(typeLabel, zone, preemptible);
  }

  boolean isUsable(long nowMs, long suspectAfterMs) {
    return session.isReachable()
        && lifecycle == MachineLifecycle.IN_USE
        && type != null
        && blockStamp > 0
        && drainReason == null
        && targetShard == null
        && !isMoving
        && nowMs - session.lastHeardMs() < suspectAfterMs
        && nowMs >= avoidUntilMs;
  }
}
