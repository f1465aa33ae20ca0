package dunlincroft.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.membership.Histories.Kind;
import dunlincroft.membership.Histories.Verdicts;
import dunlincroft.membership.Succession.Candidate;
import dunlincroft.transport.Beat;
import dunlincroft.transport.Beat.Hearing;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FailureDetectorTest {
  private static final List<String> OTHERS = List.of("b", "c", "d", "e");

  /** Nobody who is there is condemned, and a crash is seen in half of the time of a fixed wait. */
  @ParameterizedTest
  @EnumSource(Kind.class)
  void condemnsCrashesAloneAndSoonerThanAFixedWait(Kind kind) {
    long ours = 0;
    long fixed = 0;
    for (long seed = 1; seed <= 6; seed++) {
      List<Verdicts> verdicts = Histories.play(kind, seed, 300);
      assertThat(verdicts.get(0).wrong).as("wrong verdicts, seed %d", seed).isZero();
      assertThat(verdicts.get(0).right).as("verdicts of the four others").isEqualTo(4);
      ours += verdicts.get(0).firstMs;
      fixed += verdicts.get(Histories.FIXED.size()).firstMs;
    }
    assertThat(2 * ours).isLessThanOrEqualTo(fixed);
  }

  /** Everybody beats regularly for a while. */
  private static long settled(FailureDetector detector, List<String> those, long from, long until) {
    long now = from;
    for (; now < until; now += Constants.LINK_BEAT_MS) {
      for (String node : those) {
        detector.heard(new Beat(node, 1, 0, 0, 0, 0, List.of()), now);
      }
      detector.tick(now);
    }
    return now;
  }

  private static Hearing of(String node, long silentMs, long count, boolean suspected) {
    return new Hearing(node, silentMs, count, suspected, suspected, false);
  }

  /** c, d and e say what they hear of b, until then. */
  private static long say(FailureDetector detector, Hearing of, long from, long until) {
    long now = from;
    for (; now < until; now += 100) {
      for (String node : List.of("c", "d", "e")) {
        detector.heard(new Beat(node, 1, 0, 0, 0, 0, List.of(of)), now);
      }
      detector.tick(now);
    }
    return now;
  }

  /** After a cut all beats come at once. They once made a regular peer suspect at its next one. */
  @Test
  void beatsThatWereHeldBackTeachNothing() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = settled(detector, OTHERS, 0, 20_000);
    for (int i = 0; i < Constants.BEATS_KEPT; i++) {
      detector.heard(new Beat("b", 1, 0, 0, 0, 0, List.of()), now);
    }
    detector.tick(now + 3 * Constants.LINK_BEAT_MS / 2);
    assertThat(detector.trust("b")).isEqualTo(Trust.TRUSTED);
  }

  /**
   * A process that is back in a fraction of a second has beats of its former life still on their
   * way. They say nothing of the new one: if that ends, it is not kept alive by them.
   */
  @Test
  void beatsOfAFormerLifeSayNothingOfThisOne() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = settled(detector, OTHERS, 0, 20_000);
    detector.heard(new Beat("b", 2, 0, 0, 0, 0, List.of()), now);
    for (int i = 0; i < 30; i++) {
      detector.heard(new Beat("b", 1, 0, 0, 0, 0, List.of()), now);
      now = say(detector, of("b", 100, 0, false), now, now + 100);
    }
    assertThat(detector.trust("b")).isEqualTo(Trust.SUSPECTED);
    detector.heard(new Beat("b", 0, 0, 0, 0, 0, List.of()), now);
    assertThat(detector.trust("b")).as("a third life, before its hold").isEqualTo(Trust.TRUSTED);
  }

  @Test
  void aSuspectRefutesByWayOfAnother() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = settled(detector, OTHERS, 0, 20_000);
    now = say(detector, of("b", 100, 0, false), now, now + 1500);
    assertThat(detector.trust("b"))
        .as("what others hear at the old count")
        .isEqualTo(Trust.SUSPECTED);
    now = say(detector, of("b", 100, 1, false), now, now + 3000);
    assertThat(detector.trust("b")).isEqualTo(Trust.TRUSTED);
    say(detector, of("b", 4000, 1, true), now, now + 4000);
    assertThat(detector.trust("b")).isEqualTo(Trust.CONDEMNED);
  }

  @Test
  void aRecordRefutesRefusedConnectionsButNotOneThatMayBeOld() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = settled(detector, OTHERS, 0, 20_000);
    detector.refused("b", true);
    Hearing gone = new Hearing("b", 3000, 0, true, true, true);
    for (int i = 0; i < 20; i++) {
      now = say(detector, gone, now, now + 300);
      detector.wrote("b", now);
      detector.tick(now);
      if (i > 3) {
        assertThat(detector.trust("b")).isNotEqualTo(Trust.CONDEMNED);
      }
    }
    now = say(detector, gone, now, now + 1500);
    assertThat(detector.gone("b")).isTrue();
  }

  @Test
  void whoHearsHardlyAnybodyCondemnsNobody() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = settled(detector, OTHERS, 0, 20_000);
    OTHERS.forEach(other -> detector.refused(other, true));
    for (long end = now + 30_000; now < end; now += 200) {
      detector.tick(now);
    }
    assertThat(detector.lonely()).isTrue();
    OTHERS.forEach(other -> assertThat(detector.trust(other)).isEqualTo(Trust.SUSPECTED));
    // The cut was ours and ends: b, heard a moment later than the others, has not failed.
    now = settled(detector, List.of("c", "d", "e"), now, now + 1000);
    assertThat(detector.trust("b")).isEqualTo(Trust.SUSPECTED);
    assertThat(detector.lonely()).isTrue();
    settled(detector, List.of("c", "d", "e"), now, now + 3000);
    assertThat(detector.lonely()).isFalse();
  }

  @Test
  void ourOwnTroublesLengthenOurPatience() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = settled(detector, OTHERS, 0, 20_000);
    detector.stoodStill(2000, now);
    detector.tick(now + 900);
    assertThat(detector.trust("b")).isEqualTo(Trust.TRUSTED);
    detector.tick(now + 1500);
    assertThat(detector.trust("b")).isEqualTo(Trust.SUSPECTED);
  }

  /** Whatever fails: one order for all to compute, everybody in it once, shards spread out. */
  @Property(seed = "7", tries = 200)
  void successionIsPlanned(
      @ForAll @IntRange(min = 1, max = 5) int shards,
      @ForAll @IntRange(min = 1, max = 6) int candidates,
      @ForAll @IntRange(max = 4) int other) {
    List<String> fallen = new ArrayList<>();
    for (int i = 0; i < shards; i++) {
      fallen.add("s" + i);
    }
    List<Candidate> there = new ArrayList<>();
    for (int i = 0; i < candidates; i++) {
      there.add(new Candidate("n" + i, i < other ? "elsewhere" : "here", i % 2));
    }
    Map<String, List<String>> plan = Succession.plan(fallen, "here", there);
    Collections.reverse(there);
    assertThat(Succession.plan(fallen, "here", there)).isEqualTo(plan);
    assertThat(plan.keySet()).containsExactlyElementsOf(fallen);
    plan.values().forEach(order -> assertThat(order).hasSize(candidates).doesNotHaveDuplicates());
    List<String> firsts = plan.values().stream().map(order -> order.get(0)).toList();
    int well = other == 0 ? candidates : Math.min(other, candidates);
    if (well >= 2 * shards) {
      assertThat(new HashSet<>(firsts)).as("one shard each").hasSize(shards);
    }
    if (other > 0) {
      firsts.forEach(
          node -> assertThat(Integer.parseInt(node.substring(1))).as("zone").isLessThan(other));
    }
  }
}
