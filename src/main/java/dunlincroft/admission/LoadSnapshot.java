package dunlincroft.admission;

import dunlincroft.Constants;
import dunlincroft.transport.PeerHeartbeat.ClassDemand;
import dunlincroft.transport.PeerHeartbeat.Load;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The loads that all controllers reported within the last {@link Constants#LOAD_REPORT_TTL_MS}. A
 * controller that is not heard does not count, so each side of a network partition distributes only
 * its own capacity.
 */
final class LoadSnapshot {
  private record Report(Load load, long receivedMs) {}

  private final Map<String, Report> reports = new TreeMap<>();

  /** Stores a controller's load; this controller's own load is stored the same way. */
  void update(String node, Load load, long nowMs) {
    reports.put(node, new Report(load, nowMs));
  }

  void expire(long nowMs) {
    reports.values().removeIf(each -> nowMs - each.receivedMs > Constants.LOAD_REPORT_TTL_MS);
  }

  /** Drops all reports after a pause of this process: they are out of date until received again. */
  void reset() {
    reports.clear();
  }

  /** Acceptances a second of all controllers together. */
  double capacity() {
    return reports.values().stream().mapToDouble(each -> each.load.acceptRate()).sum();
  }

  /** Demand of each class at all controllers, in acceptances a second. */
  Map<TrafficClass, Double> demand() {
    Map<TrafficClass, Double> sum = new HashMap<>();
    for (Report each : reports.values()) {
      for (ClassDemand trafficClass : each.load.classDemands()) {
        sum.merge(
            new TrafficClass(trafficClass.team(), trafficClass.jobclass(), trafficClass.prod()),
            trafficClass.demandRate(),
            Double::sum);
      }
    }
    return sum;
  }

  /** Demand of a class at all controllers. */
  double demand(TrafficClass trafficClass) {
    return reports.keySet().stream().mapToDouble(node -> demand(node, trafficClass)).sum();
  }

  /** Demand of a class at one controller; 0 if it reports none. */
  double demand(String node, TrafficClass trafficClass) {
    Report report = reports.get(node);
    if (report != null) {
      for (ClassDemand each : report.load.classDemands()) {
        if (each.team().equals(trafficClass.team())
            && each.jobclass().equals(trafficClass.jobclass())
            && each.prod() == trafficClass.prod()) {
          return each.demandRate();
        }
      }
    }
    return 0;
  }
}
