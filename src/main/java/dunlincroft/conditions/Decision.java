package dunlincroft.conditions;

import java.util.Map;

/**
 * Decision of a condition on the starts of a job's tasks at one moment.
 *
 * @param startAllowed whether a task may start now
 * @param machinesWanted whether machines should be provisioned for the job: a start is due now or
 *     soon and leaves enough time before the deadline
 * @param deadlineMs wall clock time in milliseconds by which the job's tasks must have ended;
 *     Long.MAX_VALUE if there is no deadline
 * @param guards keys of the state service with the stamps that they must have for a start to be
 *     recorded: if a record that the decision depends on has changed, the start fails, whichever
 *     controller decided it
 * @param noLateStart whether a start must not be executed late: the start order is then sent only
 *     in answers to worker reports
 * @param sides side of a migration on which each task may run; null if the condition does not
 *     restrict machines
 */
public record Decision(
    boolean startAllowed,
    boolean machinesWanted,
    long deadlineMs,
    Map<String, Long> guards,
    boolean noLateStart,
    MigrationSides sides) {
  /** The condition does not restrict the job. */
  public static final Decision UNRESTRICTED =
      new Decision(true, true, Long.MAX_VALUE, Map.of(), false, null);

  /** Whether the job is restricted by a condition. */
  public boolean isRestricted() {
    return this != UNRESTRICTED;
  }
}
