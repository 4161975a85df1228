package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigInteger;
import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StopRun;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A step of three service tasks on three executors, of which one may be unavailable at a time. */
class EvictionTest {
    private static final long NOW_MS = 10_000;
    private static final int TASKS = 3;
    private static final Resources CORE = Resources.of(1_000, 100, 0);
    private static final StepKey STEP = new StepKey("0000000000000001", 0, 0);

    private final SchedulerWorld mWorld =
            SchedulerWorld.create(
                    new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
    private final SchedulerTick mTick =
            new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(), () -> 7);

    @BeforeEach
    void setUp() {
        StepSpec step =
                new StepSpec(
                        TASKS, CORE, 0, List.of(), false, false, false, "", "", 1, false, true,
                        "image", 0, false, 1);
        JobSpec spec = JobSpec.once("run", List.of(step));
        mWorld.jobs()
                .put(
                        STEP.jobId(),
                        new JobRow(
                                new StoredRecord.Job(
                                        STEP.jobId(),
                                        new JobPolicy("q", "pool", 0, 2, 1, 500, false),
                                        JobAddress.UNKNOWN,
                                        "team",
                                        spec,
                                        0),
                                0,
                                JobState.RUNNING,
                                true,
                                JobState.QUEUED,
                                0,
                                0,
                                0,
                                1,
                                false,
                                0));
        mWorld.steps().put(STEP, new StepRow(STEP, BigInteger.ZERO, TASKS, 0));
        for (int i = 0; i < TASKS; i++) {
            addExecutor("x" + i);
            mWorld.runs().put(STEP.task(i), run(i));
        }
    }

    private void addExecutor(String id) {
        ExecutorReport report =
                new ExecutorReport(id, "pool", id + ":1", "z", "h", List.of(), CORE, false, 0, 1);
        mWorld.executors().put(id, new ExecutorRow(report, 0, 0, false, true, false, 0));
        mWorld.executorSessions()
                .put(
                        id,
                        ExecutorSessionRow.initial(id, 0)
                                .withHeartbeatSent(1, 1, NOW_MS - 200, 0)
                                .withHeartbeatAnswered(1, 1, NOW_MS - 100));
    }

    private static RunRow run(int index) {
        return new RunRow(
                STEP.task(index),
                1,
                "x" + index,
                "team",
                CORE,
                CORE,
                RunStage.RUNNING,
                StopReason.NONE,
                0,
                0,
                1,
                "",
                100,
                -1,
                100,
                0);
    }

    private boolean isStopped() {
        Eviction.evict(mTick, "x0", NOW_MS);
        return mTick.outputs().stream().anyMatch(StopRun.class::isInstance);
    }

    @Nested
    class Stops {
        @Test
        void taskWhileAllOthersAreAvailable() {
            assertThat(isStopped()).isTrue();
        }

        @Test
        void noTaskWhileAnotherStarts() {
            mWorld.runs()
                    .update(
                            STEP.task(1),
                            r ->
                                    r.withReport(
                                            new ReportedRun(STEP.task(1), 1, "", 40, -1), NOW_MS));
            assertThat(isStopped()).isFalse();
        }

        /**
         * The last response of a silent executor does not show that its task is still available.
         */
        @Test
        void noTaskWhileExecutorOfAnotherIsSilent() {
            mWorld.executorSessions().update("x1", c -> c.withHeartbeatFailed(NOW_MS));
            assertThat(isStopped()).isFalse();
        }

        @Test
        void noTaskWhileLastResponseForAnotherIsOld() {
            mWorld.executorSessions()
                    .put(
                            "x1",
                            ExecutorSessionRow.initial("x1", 0)
                                    .withHeartbeatSent(1, 1, NOW_MS - 3_000, 0)
                                    .withHeartbeatAnswered(1, 1, NOW_MS - 2_900));
            assertThat(isStopped()).isFalse();
        }
    }
}
