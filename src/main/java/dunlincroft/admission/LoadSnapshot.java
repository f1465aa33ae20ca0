package dunlincroft.admission;

import dunlincroft.Constants;
import dunlincroft.transport.Beat.Flowing;
import dunlincroft.transport.Beat.Load;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What all controllers have told of their load lately, in seconds' worth. Of one that is not heard
 * nothing is counted: each side of a split link shares out its own part alone.
 */
final class LoadSnapshot {
  private record Report(Load load, long receivedMs) {}

  private final Map<String, Report> reports = new TreeMap<>();

  /** A controller tells its load; ours is told like any other. */
  void update(String node, Load load, long nowMs) {
    reports.put(node, new Report(load, nowMs));
  }

  void expire(long nowMs) {
    reports.values().removeIf(each -> nowMs - each.receivedMs > Constants.PICTURE_MS);
  }

  /** What was heard is as old as our standstill: it is not believed until it is heard anew. */
  void reset() {
    reports.clear();
  }

  /** Acceptances a second that all can bear together. */
  double capacity() {
    return reports.values().stream().mapToDouble(each -> each.load.admits()).sum();
  }

  /** What each flow asks for of all controllers, in acceptances a second. */
  Map<TrafficClass, Double> demand() {
    Map<TrafficClass, Double> sum = new HashMap<>();
    for (Report each : reports.values()) {
      for (Flowing trafficClass : each.load.flows()) {
        sum.merge(
            new TrafficClass(trafficClass.team(), trafficClass.jobclass(), trafficClass.prod()),
            trafficClass.asked(),
            Double::sum);
      }
    }
    return sum;
  }

  /** What a flow asks for of all controllers. */
  double demand(TrafficClass trafficClass) {
    return reports.keySet().stream().mapToDouble(node -> demand(node, trafficClass)).sum();
  }

  /** What one controller tells of a flow; 0: nothing. */
  double demand(String node, TrafficClass trafficClass) {
    Report report = reports.get(node);
    if (report != null) {
      for (Flowing each : report.load.flows()) {
        if (each.team().equals(trafficClass.team())
            && each.jobclass().equals(trafficClass.jobclass())
            && each.prod() == trafficClass.prod()) {
          return each.asked();
        }
      }
    }
    return 0;
  }
}
