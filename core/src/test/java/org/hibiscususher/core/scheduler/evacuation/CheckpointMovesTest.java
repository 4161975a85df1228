package org.hibiscususher.core.scheduler.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigInteger;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ZoneEvacuationRequested;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StopRun;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tasks of one core each on an executor of the zone, and an executor outside with two cores. */
class CheckpointMovesTest {
    private static final long NOW_MS = 10_000;
    private static final int TASKS = 3;
    private static final Resources CORE = Resources.of(1_000, 100, 0);
    private static final StepKey STEP = new StepKey("0000000000000001", 0, 0);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    private void addExecutor(String id, String zone, int cores) {
        ExecutorReport report =
                new ExecutorReport(
                        id, "p", id + ":1", zone, "h", List.of(), CORE.times(cores), false, 0, 0);
        mWorld.executors().put(id, new ExecutorRow(report, 1, 0, false, true, false, 0));
        long fence = mWorld.term().get().fence();
        mWorld.executorSessions()
                .put(
                        id,
                        ExecutorSessionRow.initial(id, 0)
                                .withHeartbeatSent(1, fence, NOW_MS - 200, 0)
                                .withHeartbeatAnswered(1, 1, NOW_MS - 100));
    }

    private static StepSpec step(
            boolean checkpoints, boolean gang, int perExecutor, boolean service) {
        return new StepSpec(
                TASKS,
                CORE,
                9_000,
                List.of(),
                checkpoints,
                gang,
                false,
                "",
                "",
                perExecutor,
                false,
                service,
                "image",
                0,
                false,
                service ? 1 : 0);
    }

    /** Adds a job of one step whose tasks run in the zone. */
    private void addRuns(StepSpec spec, String checkpoint) {
        addExecutor("in", "z", TASKS);
        mWorld.jobs().put(STEP.jobId(), job(spec));
        mWorld.steps().put(STEP, new StepRow(STEP, BigInteger.ZERO, TASKS, 0));
        for (int i = 0; i < TASKS; i++) {
            mWorld.tasks().put(STEP.task(i), task(i, TaskState.ACTIVE, checkpoint));
            mWorld.runs().put(STEP.task(i), run(i, checkpoint));
        }
    }

    private static JobRow job(StepSpec spec) {
        JobPolicy policy = new JobPolicy("q", "p", 0, 2, 1, 500, false);
        return new JobRow(
                new StoredRecord.Job(
                        STEP.jobId(),
                        policy,
                        JobAddress.UNKNOWN,
                        "team",
                        JobSpec.once("run", List.of(spec)),
                        0),
                0,
                JobState.RUNNING,
                true,
                JobState.RUNNING,
                0,
                0,
                0,
                1,
                false,
                0);
    }

    private static TaskRow task(int index, TaskState state, String checkpoint) {
        return new TaskRow(STEP.task(index), "p", state, 1, Set.of(), checkpoint, 0, 0, "", false);
    }

    private static RunRow run(int index, String checkpoint) {
        return new RunRow(
                STEP.task(index),
                1,
                "in",
                "team",
                CORE,
                CORE,
                RunStage.RUNNING,
                StopReason.NONE,
                0,
                0,
                1,
                checkpoint,
                100,
                -1,
                100,
                0);
    }

    private long countStops(long nowMs) {
        SchedulerTick tick =
                new SchedulerTick(
                        mWorld, nowMs, nowMs, List.of(new ZoneEvacuationRequested("z")), () -> 7);
        ZoneEvacuationSystem.run(tick);
        return tick.outputs().stream().filter(StopRun.class::isInstance).count();
    }

    @Nested
    class TasksWithASavedCheckpoint {
        /** Stopping more than fit elsewhere would only delay them. */
        @Test
        void moveAsFarAsThereIsRoom() {
            addExecutor("out", "y", 2);
            addRuns(step(true, false, 0, false), "saved");
            assertThat(countStops(NOW_MS)).isEqualTo(2);
            assertThat(countStops(NOW_MS + 500)).isZero();
        }

        @Test
        void stayWithoutAnotherExecutor() {
            addExecutor("in2", "z", 5);
            addRuns(step(true, false, 0, false), "saved");
            assertThat(countStops(NOW_MS)).isZero();
        }

        @Test
        void leaveTheRoomToTasksThatWait() {
            addExecutor("out", "y", 2);
            addRuns(step(true, false, 0, false), "saved");
            mWorld.runs().remove(STEP.task(0));
            mWorld.tasks().put(STEP.task(0), task(0, TaskState.WAITING, ""));
            assertThat(countStops(NOW_MS)).isEqualTo(1);
        }

        @Test
        void moveOneAfterTheOtherIfExecutorsAreLimited() {
            addExecutor("out", "y", 2);
            addRuns(step(true, false, 1, false), "saved");
            assertThat(countStops(NOW_MS)).isEqualTo(1);
        }

        @Test
        void ofAServiceMoveWithinItsLimit() {
            addExecutor("out", "y", 3);
            addRuns(step(true, false, 0, true), "saved");
            assertThat(countStops(NOW_MS)).isEqualTo(1);
            assertThat(countStops(NOW_MS + 500)).isZero();
        }

        @Test
        void ofAGangStay() {
            addExecutor("out", "y", 3);
            addRuns(step(true, true, 0, false), "saved");
            assertThat(countStops(NOW_MS)).isZero();
        }
    }

    /** Guards against runs that lose their work, or services that lose their state. */
    @Nested
    class TasksWithoutACheckpoint {
        @Test
        void stay() {
            addExecutor("out", "y", 3);
            addRuns(step(true, false, 0, false), "");
            assertThat(countStops(NOW_MS)).isZero();
        }

        @Test
        void ofAServiceStay() {
            addExecutor("out", "y", 3);
            addRuns(step(false, false, 0, true), "");
            assertThat(countStops(NOW_MS)).isZero();
        }
    }
}
