package dunlincroft.coordination;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.Settings;
import dunlincroft.bookkeeping.BlockIndex;
import dunlincroft.bookkeeping.JobIndex;
import dunlincroft.membership.Membership;
import dunlincroft.protocol.BlockClass;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.Fields;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MachineType;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Resources;
import dunlincroft.protocol.Wire;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines for the demand of all jobs, as the leader, evenly across all zones that have
 * capacity.
 */
final class MachineProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);

  /**
   * Numbers of machines of a type. The first two include machines that are booting or requested and
   * exclude those that do not serve; {@code leasedCount} counts all machines in block records.
   */
  record MachineCounts(int onDemandCount, int preemptibleCount, int leasedCount) {}

  private final ClusterState cluster;
  private final Membership membership;
  private final CloudClient cloud;
  private final Demand demand;
  private final MachineDiscovery discovery;
  private final ZoneOutageDetector zoneOutages;

  /** Until when no machines of a class are requested again, after the cloud has refused some. */
  private final Map<BlockClass, Long> refusedUntil = new HashMap<>();

  private final Map<String, Progress> progress = new HashMap<>();

  /** Machines requested from the cloud that has not answered yet, by class. */
  private final Map<BlockClass, Integer> requested = new HashMap<>();

  private final ReplicaHeadroom replicaHeadroom;

  /** Machines of other owners that are silent. */
  private Set<String> silentOnPeers = Set.of();

  /** Services whose replicas did not fit on any machine at the last check. */
  private Set<String> unplacedAtLastCheck = Set.of();

  /** Zones that had no headroom left at the last check. */
  private Set<String> fullZonesAtLastCheck = Set.of();

  MachineProvisioner(
      ClusterState cluster,
      Membership membership,
      CloudClient cloud,
      Demand demand,
      MachineDiscovery discovery,
      ZoneOutageDetector zoneOutages) {
    this.cluster = cluster;
    this.membership = membership;
    this.cloud = cloud;
    this.demand = demand;
    this.discovery = discovery;
    this.zoneOutages = zoneOutages;
    this.replicaHeadroom = new ReplicaHeadroom(cluster, demand);
  }

  /** Counts the machines of a type, including those that are booting or requested. */
  MachineCounts countMachines(String type) {
    int onDemand = requestedCount(type, false) + discovery.pendingCount(type, false);
    int preemptible = requestedCount(type, true) + discovery.pendingCount(type, true);
    int leased = 0;
    for (BlockIndex.Block block : cluster.blocks.all()) {
      BlockClass blockClass = block.record().blockClass();
      if (!blockClass.machineType().equals(type)) {
        continue;
      }
      for (String host : block.record().hosts().keySet()) {
        leased++;
        Machine machine = cluster.machines.get(host);
        if (machine == null ? !silentOnPeers.contains(host) : isExpectedToServe(machine)) {
          preemptible += blockClass.preemptible() ? 1 : 0;
          onDemand += blockClass.preemptible() ? 0 : 1;
        }
      }
    }
    return new MachineCounts(onDemand, preemptible, leased);
  }

  /**
   * Refreshes the set of silent machines of other owners from their heartbeats; called once a
   * second.
   */
  void refreshSilentOnPeers() {
    silentOnPeers = membership.silentMachinesOfPeers();
  }

  /**
   * Machines of this node's shards that do not serve. The leader needs them: it may own none of
   * them and would otherwise rent replacements only after their blocks are removed.
   */
  List<String> silentMachines() {
    return cluster.machines.values().stream()
        .filter(machine -> machine.blockStamp > 0 && machine.session.hasReported())
        .filter(machine -> !isExpectedToServe(machine))
        .map(machine -> machine.host)
        .limit(Constants.MAX_SILENT_MACHINES_REPORTED)
        .toList();
  }

  /** Whether a machine serves or will soon. One that is overdue at boot may never come up. */
  private boolean isExpectedToServe(Machine machine) {
    if (machine.drainReason.isDraining() && machine.drainReason != DrainReason.SURPLUS) {
      return false;
    }
    if (machine.session.hasReported()) {
      return cluster.now() - machine.session.lastHeardMs()
          < cluster.reportIntervalsMs(Constants.SUSPECT_REPORT_INTERVALS);
    }
    double startupS = machine.type == null ? 0 : machine.type.startupS();
    long ageMs = cluster.env.wallMillis() - machine.rentedAtWallMs;
    return ageMs < startupS * 1000 * Constants.USUAL_BOOT_FACTOR + Constants.BOOT_EXTRA_MS;
  }

  // ---- provisioning ----

  /** Rents the machines by which supply falls short of demand. */
  void tick() {
    Map<String, Demand.MachineDemand> needs = demand.smoothedDemand();
    for (MachineType type : cluster.machineTypes.values()) {
      Demand.MachineDemand need = needs.get(type.label());
      if (need == null) {
        continue;
      }
      MachineCounts counts = countMachines(type.label());
      double onDemand = demand.onDemandTarget(type, need);
      int onDemandShortfall = (int) Math.ceil(onDemand) - counts.onDemandCount;
      // On-demand machines beyond what services need also serve work that could use preemptible
      // ones. Consolidation counts in the same way, so that no machine is rented and returned at
      // once.
      double spareOnDemand = Math.max(0, counts.onDemandCount - onDemand);
      int preemptibleShortfall =
          (int) Math.ceil(need.preemptible - counts.preemptibleCount - spareOnDemand);
      int headroom =
          cluster.policy.maxRentals(type) - counts.onDemandCount - counts.preemptibleCount;
      onDemandShortfall = Math.max(0, Math.min(onDemandShortfall, headroom));
      preemptibleShortfall = Math.min(preemptibleShortfall, headroom - onDemandShortfall);
      if (onDemandShortfall > 0) {
        rentAcrossZones(type, false, onDemandShortfall);
      }
      if (preemptibleShortfall > 0 && !rentAcrossZones(type, true, preemptibleShortfall)) {
        rentAcrossZones(type, false, preemptibleShortfall);
      }
    }
  }

  // ---- replicas without headroom ----

  /**
   * Determines which machines the waiting replicas need and how many are missing beyond those
   * already requested.
   */
  ReplicaHeadroom.Assessment assessReplicas() {
    Map<BlockClass, Integer> pending = new HashMap<>(requested);
    discovery.addPendingCounts(pending);
    return replicaHeadroom.assess(this::canKeepReplicas, silentOnPeers, pending, this::isRefused);
  }

  /**
   * Whether replicas are expected to stay on a machine. At the first sign that its worker does not
   * receive answers, capacity is sought elsewhere, long before the machine is released.
   */
  private boolean canKeepReplicas(Machine machine) {
    boolean isUncertain = machine.session.hasReported() && !machine.session.isReachable();
    return isExpectedToServe(machine) && !isUncertain;
  }

  /**
   * Rents for replicas that fit on no machine, even if the total counts suffice. Only shortages
   * that two consecutive checks find are acted on: at the first check, starts may not be recorded
   * yet.
   */
  void provisionForReplicas() {
    ReplicaHeadroom.Assessment assessment = assessReplicas();
    boolean isConfirmed =
        assessment.unplacedServices().stream().anyMatch(unplacedAtLastCheck::contains)
            || assessment.fullZones().stream().anyMatch(fullZonesAtLastCheck::contains);
    unplacedAtLastCheck = assessment.unplacedServices();
    fullZonesAtLastCheck = assessment.fullZones();
    if (!isConfirmed) {
      return;
    }
    assessment
        .shortages()
        .forEach(
            (shortage, number) -> {
              BlockClass machineClass = shortage.blockClass();
              MachineType type = cluster.machineTypes.get(machineClass.machineType());
              MachineCounts counts = countMachines(type.label());
              int headroom =
                  cluster.policy.maxRentals(type) - counts.onDemandCount - counts.preemptibleCount;
              int missing = Math.min(number, headroom);
              if (missing > 0 && !requested.containsKey(machineClass)) {
                LOG.info(
                    "replicas of {} services do not fit, zones {} have no headroom: renting {} more {}",
                    assessment.unplacedServices().size(),
                    assessment.fullZones(),
                    missing,
                    machineClass);
                rentInZone(machineClass, missing, shortage.shard());
              }
            });
  }

  /** Whether the cloud has recently refused machines of this class, or its zone is cut off. */
  private boolean isRefused(BlockClass machineClass) {
    return refusedUntil.getOrDefault(machineClass, 0L) > cluster.now()
        || zoneOutages.isCutOff(machineClass.zone());
  }

  /**
   * Rents in all zones that have not refused recently, evenly, so that the loss of one zone affects
   * few machines. Returns false if every zone has refused.
   */
  private boolean rentAcrossZones(MachineType type, boolean preemptible, int number) {
    Map<String, Integer> machinesPerZone = new HashMap<>();
    type.zones().forEach(zone -> machinesPerZone.put(zone, 0));
    for (BlockIndex.Block block : cluster.blocks.all()) {
      if (block.record().blockClass().preemptible() == preemptible) {
        int more = block.record().hosts().size();
        machinesPerZone.computeIfPresent(block.record().blockClass().zone(), (zone, n) -> n + more);
      }
    }
    List<String> availableZones =
        type.zones().stream()
            .filter(zone -> !isRefused(new BlockClass(type.label(), zone, preemptible)))
            .sorted(Comparator.comparingInt(machinesPerZone::get))
            .toList();
    int remaining = number;
    for (int i = 0; i < availableZones.size() && remaining > 0; i++) {
      BlockClass machineClass = new BlockClass(type.label(), availableZones.get(i), preemptible);
      int batch = (remaining + availableZones.size() - i - 1) / (availableZones.size() - i);
      remaining -= batch;
      if (!requested.containsKey(machineClass)) {
        rentInZone(machineClass, batch, null);
      }
    }
    return !availableZones.isEmpty();
  }

  /** Rents in one zone. The blocks are leased to the shard, if one is given. */
  private void rentInZone(BlockClass machineClass, int number, String shard) {
    requested.put(machineClass, number);
    ObjectNode body =
        Cbor.map()
            .put("hire", membership.nextName())
            .put("flavour", machineClass.machineType())
            .put("hall", machineClass.zone())
            .put("lendable", machineClass.preemptible())
            .put("number", Math.min(Constants.MAX_RENTAL_MACHINES, number));
    send(body, machineClass, shard, 0);
  }

  // ---- starved work ----

  /**
   * Number of tasks of a job that were done or placed when that number last changed, and the time
   * of that change.
   */
  private record Progress(int startedTasks, long sinceMs) {}

  /**
   * Rents one more machine for each job that has made no progress for too long. The number of
   * machines may suffice and yet be of no use to a job, because they are in other zones than it
   * requires or all machines of a class belong to another shard.
   */
  void provisionForStarved() {
    progress.keySet().retainAll(cluster.jobIndex.all().keySet());
    for (Map.Entry<String, JobIndex.Job> entry : cluster.jobIndex.all().entrySet()) {
      JobIndex.Job job = entry.getValue();
      int startedTasks = job.doneCount() + job.placedCount();
      Progress last = progress.get(entry.getKey());
      if (last == null
          || last.startedTasks != startedTasks
          || (job.placedCount() >= job.runnableTasks() && cluster.misplacedReplicas(job) == 0)
          || job.faulty()) {
        progress.put(entry.getKey(), new Progress(startedTasks, cluster.now()));
      } else if (cluster.now() - last.sinceMs > Constants.STARVATION_MS) {
        progress.put(entry.getKey(), new Progress(startedTasks, cluster.now()));
        provisionFor(job);
      }
    }
  }

  /**
   * Rents one machine for a job, if the total number of machines suffices (otherwise the regular
   * provisioning rents more) and the limits of its team and of rentals allow it.
   */
  private void provisionFor(JobIndex.Job job) {
    JobSpec spec = job.spec;
    MachineType type = demand.cheapestType(spec);
    Settings.Team team = cluster.settings.teams().get(spec.team());
    if (type == null || team == null || demand.isCancelled(spec) || !cluster.needsMachines(spec)) {
      return;
    }
    Resources used = spec.resources();
    for (JobIndex.Job other : cluster.jobIndex.all().values()) {
      if (other.spec.team().equals(spec.team())) {
        used = used.plus(other.spec.resources().times(other.placedCount()));
      }
    }
    Demand.MachineDemand need =
        demand.smoothedDemand().getOrDefault(type.label(), new Demand.MachineDemand());
    MachineCounts counts = countMachines(type.label());
    int total = counts.onDemandCount + counts.preemptibleCount;
    boolean isEnough = total >= demand.onDemandTarget(type, need) + need.preemptible;
    if (!isEnough || !used.fitsInto(team.limit()) || total >= cluster.policy.maxRentals(type)) {
      return;
    }
    List<String> candidateZones = cluster.zonesFor(job, type);
    String zone = candidateZones.get(cluster.env.random().nextInt(candidateZones.size()));
    boolean preemptible =
        cluster.allowsSpot(spec) && !isRefused(new BlockClass(type.label(), zone, true));
    BlockClass machineClass = new BlockClass(type.label(), zone, preemptible);
    if (!requested.containsKey(machineClass) && !isRefused(machineClass)) {
      LOG.info(
          "job {} makes no progress: renting one more {} in {} for it",
          spec.ref(),
          type.label(),
          zone);
      rentInZone(machineClass, 1, job.shard);
    }
  }

  /** Machines requested from the cloud that has not answered yet. */
  private int requestedCount(String type, boolean preemptible) {
    return requested.entrySet().stream()
        .filter(entry -> entry.getKey().machineType().equals(type))
        .filter(entry -> entry.getKey().preemptible() == preemptible)
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private void send(ObjectNode body, BlockClass machineClass, String shard, int retries) {
    cloud.call(
        false,
        "POST",
        Wire.MACHINES,
        body,
        (status, answer) -> {
          if (status == 0 && retries < Constants.MAX_RENTAL_RETRIES) {
            // The request may have been executed although there was no response: only the same
            // request name makes the retry idempotent.
            cluster.env.after(
                Constants.RENTAL_RETRY_MS, () -> send(body, machineClass, shard, retries + 1));
            return;
          }
          requested.remove(machineClass);
          if (status != 200 || answer == null) {
            LOG.info(
                "cloud refused {} of {}: status {}", body.path("number"), machineClass, status);
            boolean isOutOfCapacity =
                answer != null && answer.path("error").asText().equals("no capacity");
            refusedUntil.put(
                machineClass,
                cluster.now()
                    + (isOutOfCapacity
                        ? Constants.REFUSED_RENTAL_PAUSE_MS
                        : Constants.AUTOSCALING_INTERVAL_MS));
            return;
          }
          try {
            List<String> hosts = Fields.textsOrNull(answer, "hosts");
            List<String> rented = hosts == null ? List.of() : hosts;
            LOG.info(
                "hired {} of {} {}: {}", rented.size(), body.path("number"), machineClass, rented);
            discovery.adopt(rented, machineClass, cluster.env.wallMillis(), shard);
            discovery.tick();
          } catch (MalformedException e) {
            LOG.info("response to rental {} is malformed: {}", body.path("hire"), e.getMessage());
          }
        });
  }
}
