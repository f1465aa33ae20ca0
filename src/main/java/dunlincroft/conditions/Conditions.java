package dunlincroft.conditions;

import dunlincroft.conditions.Condition.CutOffAction;
import dunlincroft.protocol.JobSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Combines all conditions: a start must be allowed by each and carries the guards of each. */
public final class Conditions {
  private final List<Condition> all;

  public Conditions(List<Condition> all) {
    this.all = List.copyOf(all);
  }

  /** Whether any condition restricts any job at present. */
  public boolean active() {
    for (Condition condition : all) {
      if (condition.active()) {
        return true;
      }
    }
    return false;
  }

  /** The combined decision of all active conditions on a job. */
  public Decision decide(JobSpec spec) {
    Decision combined = Decision.UNRESTRICTED;
    for (Condition condition : all) {
      Decision decision = condition.active() ? condition.decide(spec) : Decision.UNRESTRICTED;
      if (decision.isRestricted()) {
        Map<String, Long> guards = new HashMap<>(combined.guards());
        guards.putAll(decision.guards());
        combined =
            new Decision(
                combined.startAllowed() && decision.startAllowed(),
                combined.machinesWanted() && decision.machinesWanted(),
                Math.min(combined.deadlineMs(), decision.deadlineMs()),
                Map.copyOf(guards),
                combined.noLateStart() || decision.noLateStart(),
                combined.sides() == null ? decision.sides() : combined.sides());
      }
    }
    return combined;
  }

  /** The strictest action that any condition demands for a job's running tasks; null if none. */
  public CutOffAction cutOffAction(JobSpec spec) {
    CutOffAction strictest = null;
    for (Condition condition : all) {
      CutOffAction action = condition.active() ? condition.cutOffAction(spec) : null;
      strictest =
          action != null && (strictest == null || action.compareTo(strictest) > 0)
              ? action
              : strictest;
    }
    return strictest;
  }

  /** Called when a task of a job has completed, with its run time in seconds. */
  public void onTaskFinished(JobSpec spec, double seconds) {
    for (Condition condition : all) {
      if (condition.active()) {
        condition.onTaskFinished(spec, seconds);
      }
    }
  }
}
