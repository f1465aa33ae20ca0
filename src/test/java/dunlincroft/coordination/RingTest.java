package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RingTest {
  private static List<Machine> machines(int n) {
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      machines.add(new Machine("host-" + i, "s", "t", "a", false, 0, 0));
    }
    return machines;
  }

  @Property(seed = "3", tries = 100)
  void preferenceListHasEachMachineOnceAndRemovingOneMovesOnlyItsImages(
      @ForAll @IntRange(min = 2, max = 40) int n, @ForAll @IntRange(min = 0, max = 39) int lost) {
    List<Machine> all = machines(n);
    Machine removed = all.get(lost % n);
    List<Machine> remaining = new ArrayList<>(all);
    remaining.remove(removed);
    Ring before = new Ring(all);
    Ring after = new Ring(remaining);
    for (int image = 0; image < 20; image++) {
      List<Machine> order = before.preferenceList("img-" + image);
      assertThat(order).hasSize(n).doesNotHaveDuplicates();
      List<Machine> expected = new ArrayList<>(order);
      expected.remove(removed);
      assertThat(after.preferenceList("img-" + image)).isEqualTo(expected);
    }
  }
}
