package dunlincroft.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.membership.HeartbeatHistories.Kind;
import dunlincroft.membership.HeartbeatHistories.Verdicts;
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
  void condemnsOnlyCrashedPeersAndSoonerThanAFixedTimeout(Kind kind) {
    long graded = 0;
    long fixed = 0;
    for (long seed = 1; seed <= 6; seed++) {
      List<Verdicts> verdicts = HeartbeatHistories.simulate(kind, seed, 300);
      assertThat(verdicts.get(0).wrong).as("wrong verdicts, seed %d", seed).isZero();
      assertThat(verdicts.get(0).right).as("verdicts of the four others").isEqualTo(4);
      graded += verdicts.get(0).firstMs;
      fixed += verdicts.get(HeartbeatHistories.FIXED_TIMEOUTS_MS.size()).firstMs;
    }
    assertThat(2 * graded).isLessThanOrEqualTo(fixed);
  }

  /** Everybody beats regularly for a while. */
  private static long heartbeatsFrom(
      FailureDetector detector, List<String> nodes, long from, long until) {
    long now = from;
    for (; now < until; now += Constants.LINK_BEAT_MS) {
      for (String node : nodes) {
        detector.heartbeatReceived(new Beat(node, 1, 0, 0, 0, 0, List.of()), now);
      }
      detector.tick(now);
    }
    return now;
  }

  private static Hearing observation(String node, long silentMs, long count, boolean suspected) {
    return new Hearing(node, silentMs, count, suspected, suspected, false);
  }

  /** c, d and e say what they hear of b, until then. */
  private static long relay(FailureDetector detector, Hearing observed, long from, long until) {
    long now = from;
    for (; now < until; now += 100) {
      for (String node : List.of("c", "d", "e")) {
        detector.heartbeatReceived(new Beat(node, 1, 0, 0, 0, 0, List.of(observed)), now);
      }
      detector.tick(now);
    }
    return now;
  }

  /** After a cut all beats come at once. They once made a regular peer suspect at its next one. */
  @Test
  void delayedHeartbeatsDoNotChangeTheEstimate() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    for (int i = 0; i < Constants.BEATS_KEPT; i++) {
      detector.heartbeatReceived(new Beat("b", 1, 0, 0, 0, 0, List.of()), now);
    }
    detector.tick(now + 3 * Constants.LINK_BEAT_MS / 2);
    assertThat(detector.state("b")).isEqualTo(PeerState.TRUSTED);
  }

  /**
   * A process that is back in a fraction of a second has beats of its former life still on their
   * way. They say nothing of the new one: if that ends, it is not kept alive by them.
   */
  @Test
  void heartbeatsOfAnEarlierIncarnationAreIgnored() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    detector.heartbeatReceived(new Beat("b", 2, 0, 0, 0, 0, List.of()), now);
    for (int i = 0; i < 30; i++) {
      detector.heartbeatReceived(new Beat("b", 1, 0, 0, 0, 0, List.of()), now);
      now = relay(detector, observation("b", 100, 0, false), now, now + 100);
    }
    assertThat(detector.state("b")).isEqualTo(PeerState.SUSPECTED);
    detector.heartbeatReceived(new Beat("b", 0, 0, 0, 0, 0, List.of()), now);
    assertThat(detector.state("b"))
        .as("a third life, before its hold")
        .isEqualTo(PeerState.TRUSTED);
  }

  @Test
  void aSuspectedPeerRefutesThroughAnotherPeer() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    now = relay(detector, observation("b", 100, 0, false), now, now + 1500);
    assertThat(detector.state("b"))
        .as("what others hear at the old count")
        .isEqualTo(PeerState.SUSPECTED);
    now = relay(detector, observation("b", 100, 1, false), now, now + 3000);
    assertThat(detector.state("b")).isEqualTo(PeerState.TRUSTED);
    relay(detector, observation("b", 4000, 1, true), now, now + 4000);
    assertThat(detector.state("b")).isEqualTo(PeerState.CONDEMNED);
  }

  @Test
  void onlyARecentRecordRefutesRefusedConnections() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    detector.connectionRefused("b", true);
    Hearing unreachable = new Hearing("b", 3000, 0, true, true, true);
    for (int i = 0; i < 20; i++) {
      now = relay(detector, unreachable, now, now + 300);
      detector.recordWritten("b", now);
      detector.tick(now);
      if (i > 3) {
        assertThat(detector.state("b")).isNotEqualTo(PeerState.CONDEMNED);
      }
    }
    now = relay(detector, unreachable, now, now + 1500);
    assertThat(detector.hasEnded("b")).isTrue();
  }

  @Test
  void anIsolatedNodeCondemnsNobody() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    OTHERS.forEach(other -> detector.connectionRefused(other, true));
    for (long end = now + 30_000; now < end; now += 200) {
      detector.tick(now);
    }
    assertThat(detector.isIsolated()).isTrue();
    OTHERS.forEach(other -> assertThat(detector.state(other)).isEqualTo(PeerState.SUSPECTED));
    // The cut was ours and ends: b, heard a moment later than the others, has not failed.
    now = heartbeatsFrom(detector, List.of("c", "d", "e"), now, now + 1000);
    assertThat(detector.state("b")).isEqualTo(PeerState.SUSPECTED);
    assertThat(detector.isIsolated()).isTrue();
    heartbeatsFrom(detector, List.of("c", "d", "e"), now, now + 3000);
    assertThat(detector.isIsolated()).isFalse();
  }

  @Test
  void localTroubleLengthensTheTimeout() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    detector.pauseDetected(2000, now);
    detector.tick(now + 900);
    assertThat(detector.state("b")).isEqualTo(PeerState.TRUSTED);
    detector.tick(now + 1500);
    assertThat(detector.state("b")).isEqualTo(PeerState.SUSPECTED);
  }

  /** Whatever fails: one order for all to compute, everybody in it once, shards spread out. */
  @Property(seed = "7", tries = 200)
  void successionIsDeterministicAndSpread(
      @ForAll @IntRange(min = 1, max = 5) int shards,
      @ForAll @IntRange(min = 1, max = 6) int candidates,
      @ForAll @IntRange(max = 4) int otherZone) {
    List<String> failedShards = new ArrayList<>();
    for (int i = 0; i < shards; i++) {
      failedShards.add("s" + i);
    }
    List<Candidate> available = new ArrayList<>();
    for (int i = 0; i < candidates; i++) {
      available.add(new Candidate("n" + i, i < otherZone ? "elsewhere" : "here", i % 2));
    }
    Map<String, List<String>> plan = Succession.plan(failedShards, "here", available);
    Collections.reverse(available);
    assertThat(Succession.plan(failedShards, "here", available)).isEqualTo(plan);
    assertThat(plan.keySet()).containsExactlyElementsOf(failedShards);
    plan.values().forEach(order -> assertThat(order).hasSize(candidates).doesNotHaveDuplicates());
    List<String> firsts = plan.values().stream().map(order -> order.get(0)).toList();
    int preferred = otherZone == 0 ? candidates : Math.min(otherZone, candidates);
    if (preferred >= 2 * shards) {
      assertThat(new HashSet<>(firsts)).as("one shard each").hasSize(shards);
    }
    if (otherZone > 0) {
      firsts.forEach(
          node -> assertThat(Integer.parseInt(node.substring(1))).as("zone").isLessThan(otherZone));
    }
  }
}
