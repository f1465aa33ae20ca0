package dunlincroft.sim;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.operators.Policy;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.sim.SimCluster.Size;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against services that stay without capacity after the loss of a zone, when work of lower
 * rank uses all other machines.
 */
class ZoneLossPreemptionTest {
  private static final long CUT_MS = 60_000;

  /** A job that may not use preemptible machines. */
  private static JobSpec job(String ref, boolean service, int tasks, double cpus, double ramGb) {
    try {
      return JobSpec.parse(
          Cbor.map()
              .put("ref", ref)
              .put("jobclass", service ? "serve" : "copy")
              .put("owner", "blue")
              .put("shape", service ? "daemon" : "batch")
              .put("rank", service ? "prod" : "idle")
              .put("pieces", tasks)
              .put("cpus", cpus)
              .put("gpus", 0)
              .put("ramGb", ramGb)
              .put("bundle", "img-" + (service ? Math.floorMod(ref.hashCode(), 4) : 9))
              .put("imageGb", 1.0)
              .put("samePlace", false)
              .put("spread", service)
              .put("lendable", false)
              .put("expectS", service ? 0.0 : 15.0)
              .put("snapshotS", 0.0)
              .put("flushS", 0.0));
    } catch (MalformedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<SimWorker> machinesIn(SimCluster cluster, String zone) {
    return cluster.cloud.machines.values().stream().filter(each -> each.zone.equals(zone)).toList();
  }

  /** Number of replicas that do not run on a machine outside the excluded ones. */
  private static int missingReplicas(
      SimCluster cluster, List<JobSpec> services, List<SimWorker> excluded) {
    return services.stream()
        .mapToInt(spec -> spec.taskCount() - cluster.checks.runningElsewhere(spec.ref(), excluded))
        .sum();
  }

  /**
   * A zone is cut off, all other machines are full of work of lower rank, and no more can be
   * rented. Every service that has lost a replica preempts such work in a zone that may still take
   * the replica. Services once all counted on the same preempted capacity, so that it was freed for
   * one service at a time; services of two replicas also counted on capacity in the zone where
   * their other replica runs.
   */
  @Test
  void servicesOfALostZoneAllPreemptAtOnce() throws MalformedException {
    SimCluster cluster = new SimCluster(31, Policy.DEFAULT, Size.FLEET);
    for (int i = 0; i < 45; i++) {
      cluster.cloud.rent(SimCluster.ZONES.get(i % 3), false).start();
    }
    List<JobSpec> services = new ArrayList<>();
    for (int i = 0; i < 36; i++) {
      JobSpec spec = job("run-s" + i, true, 2 + i % 2, 4, 14);
      services.add(spec);
      cluster.clock.after(25_000 + 100L * i, () -> cluster.submitAndFollow(spec, 400_000));
    }
    JobSpec idleJob = job("run-many", false, 6000, 1, 0.5);
    cluster.clock.after(3000, () -> cluster.submitAndFollow(idleJob, 380_000));
    cluster.clock.runUntil(CUT_MS);
    assertThat(cluster.cloud.machines).hasSizeGreaterThan(Size.FLEET.machines() - 5);
    // A few services are held back by limits at that moment; only those with all replicas running
    // are considered.
    services.removeIf(spec -> cluster.checks.running(spec.ref()) < spec.taskCount());
    assertThat(services).hasSizeGreaterThan(20);
    // The zone with fewer machines of the two without the owner.
    String zone =
        SimCluster.ZONES.stream()
            .filter(each -> !each.equals(cluster.ownerZone()))
            .min(Comparator.comparingInt(each -> machinesIn(cluster, each).size()))
            .orElseThrow();
    cluster.cloud.zonesWithoutCapacity.addAll(SimCluster.ZONES);
    List<SimWorker> cutOff = machinesIn(cluster, zone);
    int lostReplicas = missingReplicas(cluster, services, cutOff);
    assertThat(lostReplicas).isGreaterThan(7);
    cluster.cutZone(zone, 80_000);
    // By the end of their lease all machines with services are released.
    cluster.clock.runUntil(CUT_MS + cluster.leaseMs);
    assertThat(missingReplicas(cluster, services, cutOff)).isZero();
    cluster.clock.runUntil(150_000);
    assertThat(cluster.checks.violations).isEmpty();
  }
}
