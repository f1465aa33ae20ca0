package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Hashing;
import it.unimi.dsi.fastutil.longs.LongArrays;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;

/**
 * Consistent hashing: machines and images are hashed onto one ring, and an image prefers the
 * machines clockwise from its hash.
 */
final class Ring {
  private final List<Machine> machines;

  /** Points in ascending order, and the index of the machine that each belongs to. */
  private final long[] ringPoints;

  private final long[] machineIndexAt;

  Ring(Collection<Machine> machines) {
    this.machines = List.copyOf(machines);
    ringPoints = new long[this.machines.size() * Constants.RING_POINTS_PER_MACHINE];
    machineIndexAt = new long[ringPoints.length];
    int next = 0;
    for (int machineIndex = 0; machineIndex < this.machines.size(); machineIndex++) {
      for (long point : this.machines.get(machineIndex).ringPoints) {
        ringPoints[next] = point;
        machineIndexAt[next++] = machineIndex;
      }
    }
    LongArrays.radixSort(ringPoints, machineIndexAt);
  }

  /**
   * Points of a machine. They depend on its name alone, so that other machines' points never move.
   */
  static long[] pointsOf(String host) {
    long[] points = new long[Constants.RING_POINTS_PER_MACHINE];
    for (int i = 0; i < points.length; i++) {
      points[i] = Hashing.of(host + "#" + i);
    }
    return points;
  }

  /** All machines, each once, clockwise from the hash of {@code image}. */
  List<Machine> preferenceList(String image) {
    int found = Arrays.binarySearch(ringPoints, Hashing.of(image));
    int start = found < 0 ? -found - 1 : found;
    BitSet seen = new BitSet(machines.size());
    List<Machine> order = new ArrayList<>(machines.size());
    for (int i = 0; i < ringPoints.length && order.size() < machines.size(); i++) {
      int machineIndex = (int) machineIndexAt[(start + i) % ringPoints.length];
      if (!seen.get(machineIndex)) {
        seen.set(machineIndex);
        order.add(machines.get(machineIndex));
      }
    }
    return order;
  }
}
