package dunlincroft.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import dunlincroft.conditions.Condition.CutOffAction;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How the tasks of a job are stopped, and how its changes are recorded. */
class JobRunTest {
  private static final int TASKS = 4;
  private static final int PAGE_TASKS = 2;
  private static final double FLUSH_S = 8;

  private final JobRun job = new JobRun("run-1", spec(), "shard", PAGE_TASKS, 0);
  private final Machine machine = new Machine("host-1", "shard", "t", "a", false, 0, 0);

  private static JobSpec spec() {
    return new JobSpec(
        "run-1",
        "batch",
        "team",
        false,
        JobSpec.Rank.NORMAL,
        TASKS,
        new Resources(1000, 0, 1000),
        "image",
        1,
        null,
        null,
        false,
        false,
        false,
        100,
        10,
        FLUSH_S,
        JobSpec.NO_DEADLINE);
  }

  private Placement place(int task) {
    Placement placement = new Placement(job, task, machine, 1, 0);
    job.place(placement);
    job.markDirty(task, 5, true);
    return placement;
  }

  @Test
  void tasksMaySaveUnlessTheConditionStopsThem() {
    Placement placement = place(0);
    assertThat(placement.stopGraceS()).isEqualTo(FLUSH_S);
    job.applyConditionEnd(CutOffAction.STOP);
    assertThat(job.stopMode()).isEqualTo(JobRun.StopMode.WITHOUT_SAVING);
    assertThat(placement.stopGraceS()).isZero();
    job.applyConditionEnd(CutOffAction.SAVE);
    assertThat(placement.stopGraceS()).isEqualTo(FLUSH_S);
    job.applyConditionEnd(CutOffAction.STOP);
    job.applyConditionEnd(null);
    assertThat(placement.stopGraceS()).isEqualTo(FLUSH_S);
  }

  @Test
  void aCancelledJobStaysCancelledWhateverItsConditionSays() {
    Placement placement = place(0);
    job.cancel();
    job.applyConditionEnd(null);
    job.applyConditionEnd(CutOffAction.SAVE);
    assertThat(job.cancelled).isTrue();
    assertThat(placement.stopRequested).isTrue();
    assertThat(placement.stopGraceS()).isZero();
  }

  @Test
  void aReportedCancellationStopsTasksBeforeItsRecordIsRead() {
    Placement placement = place(0);
    job.abandon();
    assertThat(job.stopMode()).isEqualTo(JobRun.StopMode.ABANDON);
    assertThat(job.cancelled).isFalse();
    assertThat(placement.stopRequested).isTrue();
  }

  @Test
  void aPlacementMayStartOnceItIsRecorded() {
    Placement placement = place(1);
    JobUpdate update = job.record.nextUpdate(Integer.MAX_VALUE);
    assertThat(update.hasStarts()).isTrue();
    job.record.beginUpdate(update);
    assertThat(job.record.hasUpdateInFlight()).isTrue();
    assertThat(job.record.isClean(1)).isFalse();
    assertThat(job.record.commitUpdate(9)).containsExactly(placement);
    assertThat(placement.recorded).isTrue();
    assertThat(job.record.isClean(1)).isTrue();
    assertThat(job.record.oldestUncoveredEntry()).isEqualTo(9);
    assertThat(job.record.knownPages()).hasSize(1);
  }

  @Test
  void anAbortedUpdateIsRetried() {
    place(1);
    job.record.beginUpdate(job.record.nextUpdate(Integer.MAX_VALUE));
    job.record.abortUpdate(50);
    assertThat(job.record.hasUpdateInFlight()).isFalse();
    assertThat(job.record.dirtySince).isEqualTo(50);
    assertThat(job.record.urgent).isTrue();
    assertThat(job.record.nextUpdate(Integer.MAX_VALUE).tasks.get(1)).isTrue();
  }

  @Test
  void aTaskIsChargedUntilNoRecordNamesAMachineForIt() {
    Placement placement = place(2);
    job.record.beginUpdate(job.record.nextUpdate(Integer.MAX_VALUE));
    job.record.commitUpdate(1);
    job.removePlacement(placement);
    job.markDirty(2, 60, false);
    assertThat(job.chargedTaskCount()).isEqualTo(1);
    assertThat(machine.recordedJobs).containsExactly(job);
    job.record.beginUpdate(job.record.nextUpdate(Integer.MAX_VALUE));
    assertThat(job.record.commitUpdate(2)).isEqualTo(List.of());
    assertThat(job.chargedTaskCount()).isZero();
    assertThat(machine.recordedJobs).isEmpty();
  }
}
