package dunlincroft.coordination;

import dunlincroft.protocol.JobSpec.Rank;
import dunlincroft.protocol.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Capacity, free now or soon, that waiting jobs count on. Without reservations all waiting jobs
 * would count on the same capacity: it would be freed for one of them at a time, and hundreds of
 * services of a lost zone would wait for each other. Reservations are advisory: whichever job finds
 * capacity first uses it.
 */
final class Reservations {
  private record Reservation(Machine machine, Resources resources) {}

  private final Map<JobRun, List<Reservation>> byJob = new HashMap<>();
  private final Map<Machine, Resources> byMachine = new HashMap<>();

  /** Resources reserved on a machine. */
  Resources reservedOn(Machine machine) {
    return byMachine.getOrDefault(machine, Resources.NONE);
  }

  /** Reserves resources for a number of a job's tasks on a machine. */
  void reserve(JobRun job, Machine machine, int tasks) {
    if (tasks > 0) {
      Resources resources = job.spec.resources().times(tasks);
      byJob.computeIfAbsent(job, j -> new ArrayList<>()).add(new Reservation(machine, resources));
      byMachine.merge(machine, resources, Resources::plus);
    }
  }

  /** Releases all reservations of a job, which no longer needs them or searches again. */
  void release(JobRun job) {
    List<Reservation> released = byJob.remove(job);
    if (released != null) {
      for (Reservation reservation : released) {
        Resources remaining = reservedOn(reservation.machine).minus(reservation.resources);
        if (remaining.equals(Resources.NONE)) {
          byMachine.remove(reservation.machine);
        } else {
          byMachine.put(reservation.machine, remaining);
        }
      }
    }
  }

  /**
   * Releases the reservations of jobs that no longer wait. If the round covered services alone,
   * reservations of other jobs stay.
   */
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
