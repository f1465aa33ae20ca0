package dunlincroft.coordination;

import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.Room;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Room that is free or becomes so and that a waiting job counts on. Without it all that wait count
 * on the same: room is made for one of them at a time, and hundreds of services of a lost zone wait
 * for each other. It binds nobody: who finds room first takes it.
 */
final class Reservations {
  private record Reservation(Machine machine, Room resources) {}

  private final Map<JobRun, List<Reservation>> byJob = new HashMap<>();
  private final Map<Machine, Room> byMachine = new HashMap<>();

  /** What is claimed of a machine. */
  Room reservedOn(Machine machine) {
    return byMachine.getOrDefault(machine, Room.NONE);
  }

  /** A job counts on room for so many of its tasks on a machine. */
  void reserve(JobRun job, Machine machine, int tasks) {
    if (tasks > 0) {
      Room resources = job.spec.room().times(tasks);
      byJob.computeIfAbsent(job, j -> new ArrayList<>()).add(new Reservation(machine, resources));
      byMachine.merge(machine, resources, Room::plus);
    }
  }

  /** A job counts on nothing any more, or looks anew. */
  void release(JobRun job) {
    List<Reservation> released = byJob.remove(job);
    if (released != null) {
      for (Reservation reservation : released) {
        Room remaining = reservedOn(reservation.machine).minus(reservation.resources);
        if (remaining.equals(Room.NONE)) {
          byMachine.remove(reservation.machine);
        } else {
          byMachine.put(reservation.machine, remaining);
        }
      }
    }
  }

  /** Only these jobs wait now; of a round over services alone, no others are spoken of. */
  void retainWaiting(Collection<JobRun> waiting, boolean servicesOnly) {
    if (!byJob.isEmpty()) {
      Set<JobRun> waitingJobs = new HashSet<>(waiting);
      for (JobRun job : List.copyOf(byJob.keySet())) {
        if (!waitingJobs.contains(job) && (!servicesOnly || job.spec.rank() == Rank.PROD)) {
          release(job);
        }
      }
    }
  }
}
