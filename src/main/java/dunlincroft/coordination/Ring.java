package dunlincroft.coordination;

import dunlincroft.Constants;
import dunlincroft.protocol.Hashing;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Consistent hashing: machines and images on one ring, walked clockwise from the image. */
final class Ring {
  private record Point(long at, int machine) {}

  private final List<Machine> machines;
  private final List<Point> points = new ArrayList<>();

  Ring(Collection<Machine> machines) {
    this.machines = List.copyOf(machines);
    for (int number = 0; number < this.machines.size(); number++) {
      for (long at : this.machines.get(number).points) {
        points.add(new Point(at, number));
      }
    }
    points.sort(
        Comparator.comparingLong(Point::at)
            .thenComparing(point -> this.machines.get(point.machine).host));
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
    long from = Hashing.of(image);
    int low = 0;
    int high = points.size();
    while (low < high) {
      int mid = (low + high) >>> 1;
      if (points.get(mid).at < from) {
        low = mid + 1;
      } else {
        high = mid;
      }
    }
    BitSet met = new BitSet(machines.size());
    List<Machine> order = new ArrayList<>(machines.size());
    for (int i = 0; i < points.size() && order.size() < machines.size(); i++) {
      int number = points.get((low + i) % points.size()).machine;
      if (!met.get(number)) {
        met.set(number);
        order.add(machines.get(number));
      }
    }
    return order;
  }
}
