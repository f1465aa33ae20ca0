package dunlincroft.conditions;

import java.util.Map;

/**
 * What a condition says of the starts of a job at one moment.
 *
 * @param startAllowed whether a task may start now
 * @param machinesWanted whether machines should be there for it: a start is near, and would be in
 *     time
 * @param deadlineMs when its tasks must be over, in milliseconds of the time of day;
 *     Long.MAX_VALUE: whenever
 * @param guards keys of the state service and the stamps that they must have for a start to be
 *     recorded: if what the ruling rests on has changed, the start fails, whoever decided it
 * @param noLateStart whether a start may not be executed late, either: its order then goes into
 *     answers to reports alone
 * @param sides where each task may be; null: wherever its job allows
 */
public record Decision(
    boolean startAllowed,
    boolean machinesWanted,
    long deadlineMs,
    Map<String, Long> guards,
    boolean noLateStart,
    MigrationSides sides) {
  /** Nothing is said of the job. */
  public static final Decision UNRESTRICTED =
      new Decision(true, true, Long.MAX_VALUE, Map.of(), false, null);

  /** Whether anything is said of the job. */
  public boolean isRestricted() {
    return this != UNRESTRICTED;
  }
}
