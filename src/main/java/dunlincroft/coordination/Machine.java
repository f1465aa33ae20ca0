package dunlincroft.coordination;

import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.Resources;
import dunlincroft.protocol.WorkerReport;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A machine of a shard that this node owns, with its placements and the state known from its
 * worker.
 */
final class Machine {
  /** How soon a task could start as far as its image is concerned, the fastest case first. */
  enum ImageState {
    /** The image is cached on the machine. */
    CACHED,
    /** The image is being fetched for another task. */
    FETCHING,
    /** The image is missing and no other fetch competes for the machine's download bandwidth. */
    MISSING,
    /**
     * The image is missing and would share the download bandwidth with other fetches, slowing them
     * down.
     */
    CONTENDED
  }

  /**
   * Most tasks in a report of a machine that gets new work: a report has at most 64 KiB, and an
   * entry with the longest job id and attempt takes some 230 bytes.
   */
  private static final int MAX_REPORTED_TASKS = 280;

  /** How long a job avoids a machine on which one of its tasks failed, in milliseconds. */
  private static final long DISTRUST_MS = 30_000;

  final String host;
  final String shard;
  final String typeLabel;
  final String zone;
  final boolean preemptible;
  final long rentedAtWallMs;
  final long[] ringPoints;
  String endpoint;
  MachineType type;

  /** Whether some waiting task may fit here in the current placement round. */
  boolean isCandidate;

  /**
   * Machine type for which {@code ClusterState} computed the CPU reservations below; they are
   * computed again when the type changes.
   */
  MachineType reservedCpuType;

  /** CPU in thousandths that no task may use, by the operators' load bound. */
  long baseReservedCpu;

  /** The same on a machine that runs services, including the reserve for further ones. */
  long reservedCpuWithServices;

  /**
   * Version stamp of its block record; 0 for a machine that only outdated records name, which is
   * released and not used.
   */
  long blockStamp;

  /**
   * A revision of the state service that this owner had read when it raised the machine's fence to
   * it without a write; 0: it has not done so.
   */
  long readFence;

  final MachineSession session;
  MachineLifecycle lifecycle = MachineLifecycle.IN_USE;

  /** Tasks in the worker's newest report. */
  List<WorkerReport.TaskReport> reportedTasks = List.of();

  /** Placements by task name. */
  final Map<String, Placement> placements = new Object2ObjectLinkedOpenHashMap<>();

  /** Sum of the resources of all placements, updated with every change. */
  private Resources allocated = Resources.NONE;

  /** Number of placements that belong to services. */
  private int serviceCount;

  /** Sum of the resources of the placements that belong to services. */
  private Resources allocatedToServices = Resources.NONE;

  /** Images from which a task has run here, as far as this owner has observed. */
  private final Set<String> cachedImages = new HashSet<>();

  /** Number of placements by image. */
  private final Object2IntOpenHashMap<String> placementsByImage = new Object2IntOpenHashMap<>();

  /** Number of images of placements that are not cached yet. */
  private int missingImages;

  /** Resources of orphaned tasks, which no record names; they are being stopped. */
  Resources orphanedResources = Resources.NONE;

  /** Whether orders have to be pushed again once the direct command in flight is answered. */
  boolean isPushPending;

  /** Whether a write that raises the fence is in flight. */
  boolean isRaisingFence;

  /**
   * Whether starts are deferred until this controller has read the change feed up to the machine's
   * fence.
   */
  boolean hasDeferredStarts;

  /** Why no new tasks are placed here. */
  DrainReason drainReason = DrainReason.NONE;

  /** The shard that gets the machine once it is empty, or null. */
  String targetShard;

  /** Whether the write that moves it to that shard was sent and its outcome is not known yet. */
  boolean isMoving;

  /** Jobs whose records may name this machine. */
  final Set<JobRun> recordedJobs = new HashSet<>();

  /** No new tasks are placed here before this time, after the worker refused a start. */
  long avoidUntilMs;

  /** Consecutive failures of tasks whose jobs have run elsewhere. */
  int consecutiveFailures;

  /** All jobs of which a task failed here since the last success, and when each last failed. */
  final Map<String, Long> failedJobs = new HashMap<>();

  /** Since when the machine has had no tasks; -1 if it has some. */
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
    allocated = allocated.plus(placement.job.spec.resources());
    if (placement.job.spec.isService()) {
      serviceCount++;
      allocatedToServices = allocatedToServices.plus(placement.job.spec.resources());
    }
    String image = placement.job.spec.image();
    if (placementsByImage.addTo(image, 1) == 0 && !cachedImages.contains(image)) {
      missingImages++;
    }
  }

  void remove(Placement placement) {
    if (placements.remove(placement.taskName(), placement)) {
      allocated = allocated.minus(placement.job.spec.resources());
      if (placement.job.spec.isService()) {
        serviceCount--;
        allocatedToServices = allocatedToServices.minus(placement.job.spec.resources());
      }
      String image = placement.job.spec.image();
      if (placementsByImage.addTo(image, -1) == 1) {
        placementsByImage.removeInt(image);
        missingImages -= cachedImages.contains(image) ? 0 : 1;
      }
    }
  }

  /** Records that a task has run from this image, which is therefore cached. */
  void markImageCached(String image) {
    if (cachedImages.add(image) && placementsByImage.containsKey(image)) {
      missingImages--;
    }
  }

  /** How soon a task with this image could start. */
  ImageState imageState(String image) {
    if (cachedImages.contains(image)) {
      return ImageState.CACHED;
    }
    if (placementsByImage.containsKey(image)) {
      return ImageState.FETCHING;
    }
    return missingImages == 0 ? ImageState.MISSING : ImageState.CONTENDED;
  }

  /** Resources of all placements and orphaned tasks. */
  Resources used() {
    return allocated.plus(orphanedResources);
  }

  /** Resources that are not in use; none while the machine type is unknown. */
  Resources free() {
    return type == null ? Resources.NONE : type.resources().minus(used());
  }

  /** A quick check before the exact one: whether enough CPU can be free beyond the reservation. */
  boolean mayFit(Resources requested, long reserved) {
    return type != null
        && type.resources().cpu() - allocated.cpu() - orphanedResources.cpu() - reserved
            >= requested.cpu();
  }

  /** Whether nothing is placed here and the worker reports no task that has not ended. */
  boolean hasNoTasks() {
    return placements.isEmpty()
        && reportedTasks.stream().allMatch(WorkerReport.TaskReport::hasExited);
  }

  /**
   * Whether the machine, with one more such replica, could still take over the load of services of
   * a failed zone: with three zones, one third of the machine stays free for that, which other work
   * may use until then.
   */
  boolean leavesZoneFailoverCapacity(Resources replica) {
    int zoneCount = type.zones().size();
    return zoneCount < 2
        || allocatedToServices
            .plus(replica)
            .times(zoneCount)
            .fitsInto(type.resources().times(zoneCount - 1));
  }

  /** Whether a replica of a service is placed here. */
  boolean hasService() {
    return serviceCount > 0;
  }

  /** The class of blocks that the machine belongs to. */
  BlockClass blockClass() {
    return new BlockClass(typeLabel, zone, preemptible);
  }

  /** Whether a task of the job has failed here so recently that it should run elsewhere. */
  boolean isDistrustedBy(JobRun job, long nowMs) {
    Long failedAtMs = failedJobs.get(job.id);
    return failedAtMs != null && nowMs - failedAtMs < DISTRUST_MS;
  }

  /** Whether new tasks may be placed here. */
  boolean isUsable(long nowMs, long suspectAfterMs) {
    return session.isReachable()
        && lifecycle == MachineLifecycle.IN_USE
        && type != null
        && blockStamp > 0
        && !drainReason.isDraining()
        && reportedTasks.size() < MAX_REPORTED_TASKS
        && targetShard == null
        && !isMoving
        && nowMs - session.lastHeardMs() < suspectAfterMs
        && nowMs >= avoidUntilMs;
  }
}
