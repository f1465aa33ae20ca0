package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Hashing;
import it.unimi.dsi.fastutil.longs.LongArrays;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;

/** Consistent hashing: machines and images on one ring, walked clockwise from the image. */
final class Ring {
  private final List<Machine> machines;

  /** Points in order, and the number of the machine that each belongs to. */
  private final long[] at;

  private final long[] machineAt;

  Ring(Collection<Machine> machines) {
    this.machines = List.copyOf(machines);
    at = new long[this.machines.size() * Constants.RING_POINTS];
    machineAt = new long[at.length];
    int next = 0;
    for (int number = 0; number < this.machines.size(); number++) {
      for (long point : this.machines.get(number).points) {
        at[next] = point;
        machineAt[next++] = number;
      }
    }
    LongArrays.radixSort(at, machineAt);
  }

  /** Where a machine stands: a matter of its name alone, so that others' places stay. */
  static long[] pointsOf(String host) {
    long[] points = new long[Constants.RING_POINTS];
    for (int i = 0; i < points.length; i++) {
      points[i] = Hashing.of(host + "#" + i);
    }
    return points;
  }

  /** All machines, each once, clockwise from where {@code image} lands. */
  List<Machine> walk(String image) {
    int found = Arrays.binarySearch(at, Hashing.of(image));
    int low = found < 0 ? -found - 1 : found;
    BitSet met = new BitSet(machines.size());
    List<Machine> order = new ArrayList<>(machines.size());
    for (int i = 0; i < at.length && order.size() < machines.size(); i++) {
      int number = (int) machineAt[(low + i) % at.length];
      if (!met.get(number)) {
        met.set(number);
        order.add(machines.get(number));
      }
    }
    return order;
  }
}
