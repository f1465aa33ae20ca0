package dunlincroft.conditions;

/**
 * Division of a job's tasks and of the machines between the old and the new side of a migration.
 * Both follow from the migration's record, whose stamp guards every start.
 */
public interface MigrationSides {
  int OLD = 0;
  int NEW = 1;

  /** The side of a task, OLD or NEW. */
  int sideOf(int task);

  /** Whether a machine belongs to a side. */
  boolean contains(int side, String host, String type, String zone, boolean spot);
}
