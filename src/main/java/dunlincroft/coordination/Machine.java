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
  enum Warmth {
    /** The image is there. */
    WARM,
    /** It is being fetched for another task. */
    COMING,
    /** It would be fetched alone. */
    COLD,
    /** It would share the machine's rate with other fetches, and slow them down. */
    CROWDED
  }

  final String host;
  final String shard;
  final String flavour;
  final String hall;
  final boolean lendable;
  final long hiredAtWall;
  final long[] points;
  String endpoint;
  MachineType type;

  /** Whether some waiting task may have room here, in the present round. */
  boolean open;

  /** What work leaves free here, worked out for this type; see World.kept. */
  MachineType keptFor;

  long keptAlways;
  long keptForServices;

  /** Stamp of its block; 0 for a machine that only old records name: it is released, not used. */
  long blockStamp;

  final MachineSession session;
  MachineLifecycle lifecycle = MachineLifecycle.IN_USE;
  List<WorkerReport.Piece> pieces = List.of();
  final Map<String, Placement> placed = new Object2ObjectLinkedOpenHashMap<>();

  /** What the placements take, and how many of them are services': kept with every change. */
  private Room booked = Room.NONE;

  private int daemons;

  /** What the services among them take. */
  private Room serving = Room.NONE;

  /** Images that a task ran from here, as far as this holder saw. */
  private final Set<String> images = new HashSet<>();

  /** Placements by image, and how many of these images are not there yet. */
  private final Object2IntOpenHashMap<String> byImage = new Object2IntOpenHashMap<>();

  private int fetching;

  /** Room of tasks that no record names; they are being stopped. */
  Room orphans = Room.NONE;

  boolean pushAgain;
  boolean raising;

  /** Starts wait until we have read up to its fence. */
  boolean startsSoon;

  /** Why no new work goes there, or null. */
  String draining;

  /** The shard that gets the block once the machine is empty, or null. */
  String moveTo;

  /** The block's move is asked for, and its outcome not known yet. */
  boolean moving;

  /** Jobs whose records may name this machine. */
  final Set<JobRun> named = new HashSet<>();

  long doubtUntil;

  /** Failures in a row of jobs that ran elsewhere; and all jobs that failed here meanwhile. */
  int failures;

  final Set<String> failedJobs = new HashSet<>();
  long idleSince = -1;

  Machine(
      String host,
      String shard,
      String flavour,
      String hall,
      boolean lendable,
      long hiredAtWall,
      long nowMs) {
    this.host = host;
    this.shard = shard;
    this.flavour = flavour;
    this.hall = hall;
    this.lendable = lendable;
    this.hiredAtWall = hiredAtWall;
    this.points = Ring.pointsOf(host);
    this.session = new MachineSession(nowMs);
  }

  void add(Placement p) {
    placed.put(p.taskName(), p);
    booked = booked.plus(p.job.spec.room());
    if (p.job.spec.daemon()) {
      daemons++;
      serving = serving.plus(p.job.spec.room());
    }
    String image = p.job.spec.bundle();
    if (byImage.addTo(image, 1) == 0 && !images.contains(image)) {
      fetching++;
    }
  }

  void remove(Placement p) {
    if (placed.remove(p.taskName(), p)) {
      booked = booked.minus(p.job.spec.room());
      if (p.job.spec.daemon()) {
        daemons--;
        serving = serving.minus(p.job.spec.room());
      }
      String image = p.job.spec.bundle();
      if (byImage.addTo(image, -1) == 1) {
        byImage.removeInt(image);
        fetching -= images.contains(image) ? 0 : 1;
      }
    }
  }

  /** A task runs from this image. */
  void imageThere(String image) {
    if (images.add(image) && byImage.containsKey(image)) {
      fetching--;
    }
  }

  /** How far the machine is from having an image, the nearest first. */
  Warmth warmth(String image) {
    if (images.contains(image)) {
      return Warmth.WARM;
    }
    if (byImage.containsKey(image)) {
      return Warmth.COMING;
    }
    return fetching == 0 ? Warmth.COLD : Warmth.CROWDED;
  }

  Room used() {
    return booked.plus(orphans);
  }

  Room free() {
    return type == null ? Room.NONE : type.room().minus(used());
  }

  /** A look before the exact one: whether so many processors can be free beyond those kept. */
  boolean mayHave(Room room, long kept) {
    return type != null && type.room().cpu() - booked.cpu() - orphans.cpu() - kept >= room.cpu();
  }

  boolean empty() {
    return placed.isEmpty() && pieces.stream().allMatch(WorkerReport.Piece::exited);
  }

  /**
   * Whether one more such replica leaves room for what services of a lost zone would bring: with
   * three zones, a third of the machine, which other work may use until then.
   */
  boolean leavesRoomForAZone(Room replica) {
    int zones = type.halls().size();
    return zones < 2 || serving.plus(replica).times(zones).fits(type.room().times(zones - 1));
  }

  boolean hasDaemon() {
    return daemons > 0;
  }

  BlockClass blockClass() {
    return new BlockClass(flavour, hall, lendable);
  }

  boolean usable(long nowMs, long suspectMs) {
    return session.hears()
        && lifecycle == MachineLifecycle.IN_USE
        && type != null
        && blockStamp > 0
        && draining == null
        && moveTo == null
        && !moving
        && nowMs - session.lastHeardMs() < suspectMs
        && nowMs >= doubtUntil;
  }
}
