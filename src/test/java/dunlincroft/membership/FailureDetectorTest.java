package dunlincroft.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.Constants;
import dunlincroft.membership.HeartbeatHistories.Kind;
import dunlincroft.membership.HeartbeatHistories.Verdicts;
import dunlincroft.membership.Succession.Candidate;
import dunlincroft.transport.PeerHeartbeat;
import dunlincroft.transport.PeerHeartbeat.PeerObservation;
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

  /**
   * No running peer is condemned, and a crash is detected in half of the time of a fixed timeout.
   */
  @ParameterizedTest
  @EnumSource(Kind.class)
  void condemnsOnlyCrashedPeersAndSoonerThanAFixedTimeout(Kind kind) {
    long graded = 0;
    long fixed = 0;
    for (long seed = 1; seed <= 6; seed++) {
      List<Verdicts> verdicts = HeartbeatHistories.simulate(kind, seed, 300);
      assertThat(verdicts.get(0).wrong).as("wrongly condemned, seed %d", seed).isZero();
      assertThat(verdicts.get(0).right).as("condemned by the four others").isEqualTo(4);
      graded += verdicts.get(0).firstMs;
      fixed += verdicts.get(HeartbeatHistories.FIXED_TIMEOUTS_MS.size()).firstMs;
    }
    assertThat(2 * graded).isLessThanOrEqualTo(fixed);
  }

  /** The given peers send heartbeats at regular intervals. */
  private static long heartbeatsFrom(
      FailureDetector detector, List<String> nodes, long from, long until) {
    long now = from;
    for (; now < until; now += Constants.PEER_HEARTBEAT_MS) {
      for (String node : nodes) {
        detector.heartbeatReceived(new PeerHeartbeat(node, 1, 0, 0, 0, 0, List.of()), now);
      }
      detector.tick(now);
    }
    return now;
  }

  private static PeerObservation observation(
      String node, long silentMs, long count, boolean suspected) {
    return new PeerObservation(node, silentMs, count, suspected, suspected, false);
  }

  /** Peers c, d and e send an observation of b with each heartbeat. */
  private static long relay(
      FailureDetector detector, PeerObservation observed, long from, long until) {
    long now = from;
    for (; now < until; now += 100) {
      for (String node : List.of("c", "d", "e")) {
        detector.heartbeatReceived(new PeerHeartbeat(node, 1, 0, 0, 0, 0, List.of(observed)), now);
      }
      detector.tick(now);
    }
    return now;
  }

  /**
   * After a partition delayed heartbeats arrive all at once. Taken as intervals they made a regular
   * peer look late, and it was suspected before its next heartbeat.
   */
  @Test
  void delayedHeartbeatsDoNotChangeTheEstimate() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    for (int i = 0; i < Constants.HEARTBEAT_WINDOW; i++) {
      detector.heartbeatReceived(new PeerHeartbeat("b", 1, 0, 0, 0, 0, List.of()), now);
    }
    detector.tick(now + 3 * Constants.PEER_HEARTBEAT_MS / 2);
    assertThat(detector.state("b")).isEqualTo(PeerState.TRUSTED);
  }

  /**
   * Heartbeats of an earlier incarnation can arrive after a restart within a fraction of a second.
   * They must not keep the new incarnation alive if that ends.
   */
  @Test
  void heartbeatsOfAnEarlierIncarnationAreIgnored() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    detector.heartbeatReceived(new PeerHeartbeat("b", 2, 0, 0, 0, 0, List.of()), now);
    for (int i = 0; i < 30; i++) {
      detector.heartbeatReceived(new PeerHeartbeat("b", 1, 0, 0, 0, 0, List.of()), now);
      now = relay(detector, observation("b", 100, 0, false), now, now + 100);
    }
    assertThat(detector.state("b")).isEqualTo(PeerState.SUSPECTED);
    detector.heartbeatReceived(new PeerHeartbeat("b", 0, 0, 0, 0, 0, List.of()), now);
    assertThat(detector.state("b"))
        .as("a third incarnation, before its session lease")
        .isEqualTo(PeerState.TRUSTED);
  }

  @Test
  void aSuspectedPeerRefutesThroughAnotherPeer() {
    FailureDetector detector = new FailureDetector("a", OTHERS, 0);
    long now = heartbeatsFrom(detector, OTHERS, 0, 20_000);
    now = relay(detector, observation("b", 100, 0, false), now, now + 1500);
    assertThat(detector.state("b"))
        .as("observations with the old number of refutations")
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
    PeerObservation unreachable = new PeerObservation("b", 3000, 0, true, true, true);
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
    // The partition of this node ends: b is heard a moment later than the others and has not
    // failed.
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

  /**
   * For any failure: all compute the same order, every candidate is in it once, and shards are
   * spread over candidates.
   */
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
