package dunlincroft.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

class VanishedKeysTest {
  /** Exactly the known keys that the listing lacks have vanished, in their order. */
  @Property
  void vanishedKeysAreThoseThatAreKnownAndNotListed(
      @ForAll @Size(max = 30) Set<@AlphaChars @StringLength(min = 1, max = 2) String> known,
      @ForAll @Size(max = 30) Set<@AlphaChars @StringLength(min = 1, max = 2) String> listed) {
    VanishedKeys vanished = new VanishedKeys(List.copyOf(new TreeSet<>(known)));
    new TreeSet<>(listed).forEach(vanished::onListed);
    TreeSet<String> expected = new TreeSet<>(known);
    expected.removeAll(listed);
    assertThat(vanished.onEnd()).containsExactlyElementsOf(expected);
  }
}
