package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.protocol.WorkerReport;
import java.util.List;
import java.util.function.UnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** State transitions of a worker's session, and the conclusions drawn from them. */
class MachineSessionTest {
  private static final double LEASE_MS = 10_000;
  private static final long OUR_FENCE = 7;

  private final MachineSession session = owned();

  private static MachineSession owned() {
    MachineSession session = new MachineSession(0);
    session.onOwned(OUR_FENCE);
    return session;
  }

  private static WorkerReport report(long sessionNumber, long counter, long fence) {
    return new WorkerReport(
        "host-1",
        "host-1:80",
        "small",
        "zone-a",
        false,
        sessionNumber,
        counter,
        fence,
        -1,
        List.of());
  }

  private static MachineSession.State after(String event, MachineSession.State state) {
    UnaryOperator<MachineSession.State> transition =
        switch (event) {
          case "report" -> MachineSession.State::onReport;
          case "answer" -> MachineSession.State::onAnswer;
          case "missed answer" -> MachineSession.State::onMissedAnswer;
          case "no answer" -> MachineSession.State::onNoAnswer;
          default -> throw new IllegalArgumentException(event);
        };
    return transition.apply(state);
  }

  @ParameterizedTest
  @CsvSource({
    "UNREPORTED, report, REACHABLE",
    "UNREPORTED, answer, UNREPORTED",
    "UNREPORTED, missed answer, UNREPORTED",
    "UNREPORTED, no answer, UNREPORTED",
    "REACHABLE, report, REACHABLE",
    "REACHABLE, answer, REACHABLE",
    "REACHABLE, missed answer, UNCERTAIN",
    "REACHABLE, no answer, REACHABLE",
    "UNCERTAIN, report, REACHABLE",
    "UNCERTAIN, answer, REACHABLE",
    "UNCERTAIN, missed answer, UNCERTAIN",
    "UNCERTAIN, no answer, UNREACHABLE",
    "UNREACHABLE, report, REACHABLE",
    "UNREACHABLE, answer, REACHABLE",
    "UNREACHABLE, missed answer, UNREACHABLE",
    "UNREACHABLE, no answer, UNREACHABLE",
  })
  void eachEventLeadsToOneState(
      MachineSession.State from, String event, MachineSession.State expected) {
    assertThat(after(event, from)).isEqualTo(expected);
  }

  @Test
  void aWorkerIsUnreachableSinceTheFirstUnansweredQuery() {
    session.onReport(report(1, 1, OUR_FENCE), 100);
    assertThat(session.onNoAnswer(200)).isFalse();
    session.onMissedAnswer();
    assertThat(session.onNoAnswer(300)).isTrue();
    assertThat(session.onNoAnswer(400)).isFalse();
    assertThat(session.unreachableSinceMs()).isEqualTo(300);
    session.onAnswer();
    assertThat(session.isReachable()).isTrue();
    assertThat(session.unreachableSinceMs()).isNegative();
  }

  @Test
  void silenceIsReportedOnceUntilTheNextReport() {
    assertThat(session.onSilence()).as("it has not reported yet").isFalse();
    session.onReport(report(1, 1, OUR_FENCE), 100);
    assertThat(session.onSilence()).isTrue();
    assertThat(session.onSilence()).isFalse();
    session.onReport(report(1, 2, OUR_FENCE), 200);
    assertThat(session.onSilence()).isTrue();
  }

  @Test
  void aLocalPauseDoesNotCountAsSilenceAndIsCappedAtNow() {
    session.onReport(report(1, 1, OUR_FENCE), 100);
    session.onPause(30, 1000);
    assertThat(session.lastHeardMs()).isEqualTo(130);
    session.onPause(5000, 1000);
    assertThat(session.lastHeardMs()).isEqualTo(1000);
  }

  @Test
  void aReportShowsWhetherItsWorkerReceivedOurAnswer() {
    session.onReport(report(1, 1, OUR_FENCE), 100);
    assertThat(hasMissed(report(1, 3, 0))).as("nothing was answered yet").isFalse();
    session.onAnswered(OUR_FENCE, false, 100);
    assertThat(hasMissed(report(1, 2, OUR_FENCE))).isFalse();
    assertThat(hasMissed(report(1, 2, OUR_FENCE - 1))).as("it has not seen the fence").isTrue();
    assertThat(hasMissed(report(1, 3, OUR_FENCE)))
        .as("it has reported to another controller")
        .isTrue();
    assertThat(hasMissed(report(2, 1, OUR_FENCE))).as("its lease has ended").isTrue();
    session.setCommandInFlight(true);
    assertThat(hasMissed(report(1, 3, OUR_FENCE))).as("it answers a command").isFalse();
  }

  private boolean hasMissed(WorkerReport report) {
    return session.hasMissedOurAnswer(report, 200, LEASE_MS);
  }

  @Test
  void anExpiredLeaseDoesNotImplyAMissedAnswer() {
    session.onReport(report(1, 1, OUR_FENCE), 100);
    session.onAnswered(OUR_FENCE, false, 100);
    assertThat(session.hasMissedOurAnswer(report(2, 1, OUR_FENCE), 10_100, LEASE_MS)).isFalse();
  }

  @Test
  void absenceIsNotProvenWhileAnOrderMayBeInFlight() {
    assertThat(session.isAbsenceProven()).as("it has not seen our fence").isFalse();
    session.onReport(report(1, 1, OUR_FENCE), 100);
    assertThat(session.isAbsenceProven()).isTrue();
    session.setCommandInFlight(true);
    assertThat(session.isAbsenceProven()).as("a command is in flight").isFalse();
    session.setCommandInFlight(false);
    session.onAnswered(OUR_FENCE, true, 100);
    assertThat(session.isAbsenceProven()).as("starts are in flight").isFalse();
    assertThat(session.onAnswerSettled()).isTrue();
    assertThat(session.onAnswerSettled()).isFalse();
    assertThat(session.isAbsenceProven()).isTrue();
    session.onUnresolvedCommand(OUR_FENCE);
    session.onReport(report(1, 2, OUR_FENCE), 200);
    assertThat(session.isAbsenceProven()).as("a command may still be executed").isFalse();
    session.onReport(report(1, 3, OUR_FENCE + 1), 300);
    assertThat(session.isAbsenceProven()).isTrue();
  }

  @Test
  void afterARestartAbsenceIsNotProvenBeforeTheRaisedFenceWasSeen() {
    session.onReport(report(1, 9, OUR_FENCE), 100);
    session.onAnswered(OUR_FENCE, true, 100);
    session.onRestart(OUR_FENCE);
    session.onReport(report(1, 1, 0), 200);
    assertThat(session.hasSeenOurFence()).isFalse();
    assertThat(hasMissed(report(1, 5, 0))).as("the answer went to its former process").isFalse();
    session.onReport(report(1, 2, OUR_FENCE), 300);
    assertThat(session.isAbsenceProven()).isFalse();
    session.onReport(report(1, 3, OUR_FENCE + 1), 400);
    assertThat(session.isAbsenceProven()).isTrue();
  }

  /** Whatever events occur in between: only a higher fence resolves an unanswered command. */
  @Property
  void onlyAHigherFenceResolvesAnUnansweredCommand(
      @ForAll @Size(max = 30) List<@IntRange(max = 6) Integer> events) {
    MachineSession subject = owned();
    subject.onReport(report(1, 1, OUR_FENCE), 1);
    subject.onUnresolvedCommand(OUR_FENCE);
    long now = 2;
    for (int event : events) {
      applyEvent(subject, event, now++);
      assertThat(subject.isAbsenceProven()).isFalse();
      assertThat(subject.isUnreachable()).isEqualTo(subject.unreachableSinceMs() >= 0);
    }
    subject.setCommandInFlight(false);
    subject.onAnswerSettled();
    subject.onReport(report(1, now, OUR_FENCE + 1), now);
    assertThat(subject.isAbsenceProven()).isTrue();
  }

  private static void applyEvent(MachineSession session, int event, long now) {
    switch (event) {
      case 0 -> session.onReport(report(1, now, OUR_FENCE), now);
      case 1 -> session.onAnswer();
      case 2 -> session.onMissedAnswer();
      case 3 -> session.onNoAnswer(now);
      case 4 -> session.setCommandInFlight(now % 2 == 0);
      case 5 -> session.onAnswered(OUR_FENCE, now % 2 == 0, now);
      default -> session.onRestart(OUR_FENCE);
    }
  }

  /** A copy of an answered start stays valid until the worker has seen a higher fence. */
  @Test
  void anEndedAttemptIsKeptWhileACopyOfItsStartIsValid() {
    session.onReport(report(1, 1, OUR_FENCE), 0);
    session.onDirectStart("run-1/0", OUR_FENCE);
    session.onReport(report(1, 2, OUR_FENCE), 0);
    assertThat(session.isAbsenceProven()).isTrue();
    assertThat(session.canDiscard("run-1/0")).isFalse();
    assertThat(session.canDiscard("run-1/1")).isTrue();
    session.onReport(report(1, 3, OUR_FENCE + 1), 0);
    assertThat(session.canDiscard("run-1/0")).isTrue();
  }

  /** A start that is sent again under a higher fence stays valid under that one. */
  @Test
  void aRepeatedStartCountsUnderItsHighestFence() {
    session.onDirectStart("run-1/0", OUR_FENCE);
    session.onDirectStart("run-1/0", OUR_FENCE + 2);
    session.onReport(report(1, 1, OUR_FENCE + 1), 0);
    assertThat(session.canDiscard("run-1/0")).isFalse();
    session.onReport(report(1, 2, OUR_FENCE + 3), 0);
    assertThat(session.canDiscard("run-1/0")).isTrue();
  }
}
