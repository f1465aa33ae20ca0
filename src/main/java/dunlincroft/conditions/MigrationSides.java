package dunlincroft.conditions;

/**
 * Two sides that the tasks of a job are shared out over. Which side a task is on, and which
 * machines a side is, follow from a record that starts are guarded by.
 */
public interface MigrationSides {
  int OLD = 0;
  int NEW = 1;

  /** The side of a task, OLD or NEW. */
  int sideOf(int task);

  /** Whether a machine is of a side. */
  boolean contains(int side, String host, String type, String zone, boolean spot);
}
