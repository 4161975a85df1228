package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigInteger;
import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StragglerSystemTest {
    /** Runs with an estimate of 640 ms; a slow executor takes six times as long. */
    @Nested
    class IsSlow {
        @Test
        void flagsRunAtSixTimesItsEstimate() {
            assertThat(StragglerSystem.isSlow(1_000, 26, 640)).isTrue();
        }

        @Test
        void sparesSlightlyLateRun() {
            assertThat(StragglerSystem.isSlow(1_000, 70, 640)).isFalse();
        }

        @Test
        void sparesRunNearCompletion() {
            assertThat(StragglerSystem.isSlow(3_500, 90, 640)).isFalse();
        }

        @Test
        void ignoresYoungRun() {
            assertThat(StragglerSystem.isSlow(200, 0, 640)).isFalse();
        }

        @Test
        void ignoresRunWithoutEstimate() {
            assertThat(StragglerSystem.isSlow(9_000, 1, 0)).isFalse();
        }
    }

    /** Jobs of one task each on one executor; they are estimated at 500 ms and have run for 2 s. */
    @Nested
    class RunsOfExecutor {
        private static final long NOW_MS = 10_000;
        private static final long STARTED_MS = NOW_MS - 2_000;
        private static final long ESTIMATE_MS = 500;
        private static final Resources CORE = Resources.of(1_000, 100, 0);

        private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

        @BeforeEach
        void setUp() {
            mWorld.executorSessions()
                    .put(
                            "x",
                            ExecutorSessionRow.initial("x", 0).withHeartbeatAnswered(1, 1, NOW_MS));
        }

        private StepKey addJob(String id, int percent, long lastProgressMs) {
            JobSpec spec =
                    JobSpec.once("run", List.of(StepSpec.of(1, CORE, ESTIMATE_MS, List.of())));
            JobPolicy terms = new JobPolicy("q", "p", 0, 2, 1, 500, false);
            mWorld.jobs()
                    .put(
                            id,
                            new JobRow(
                                    new StoredRecord.Job(
                                            id, terms, JobAddress.UNKNOWN, "team", spec, 0),
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
            StepKey step = new StepKey(id, 0, 0);
            mWorld.steps().put(step, new StepRow(step, BigInteger.ZERO, 1, 0));
            mWorld.runs()
                    .put(
                            step.task(0),
                            new RunRow(
                                    step.task(0),
                                    1,
                                    "x",
                                    "team",
                                    CORE,
                                    CORE,
                                    RunStage.RUNNING,
                                    StopReason.NONE,
                                    0,
                                    STARTED_MS,
                                    STARTED_MS,
                                    "",
                                    percent,
                                    -1,
                                    100,
                                    lastProgressMs));
            return step;
        }

        private List<StopReason> stopReasons() {
            SchedulerInput answer = new HeartbeatAnswered(1, "x", 1, 1, List.of(), List.of(), true);
            StragglerSystem.run(
                    new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(answer), () -> 1));
            return mWorld.runs().rows().stream().map(RunRow::reason).toList();
        }

        private boolean isQuarantined() {
            return mWorld.executorSessions().find("x").orElseThrow().quarantinedUntilMs() > NOW_MS;
        }

        @Test
        void slowInTwoJobsAreStoppedWithQuarantine() {
            addJob("a", 20, NOW_MS);
            addJob("b", 30, NOW_MS);
            assertThat(stopReasons()).containsOnly(StopReason.STALLED);
            assertThat(isQuarantined()).isTrue();
        }

        @Test
        void slowInOneJobAreSpared() {
            addJob("a", 20, NOW_MS);
            addJob("b", 95, NOW_MS);
            assertThat(stopReasons()).containsOnly(StopReason.NONE);
            assertThat(isQuarantined()).isFalse();
        }

        @Test
        void hungAreStoppedWithQuarantine() {
            addJob("a", 20, NOW_MS - 1_500);
            addJob("b", 95, NOW_MS);
            assertThat(stopReasons()).containsExactly(StopReason.STALLED, StopReason.NONE);
            assertThat(isQuarantined()).isTrue();
        }

        @Test
        void throttledAreSpared() {
            StepKey step = addJob("a", 20, NOW_MS - 1_500);
            mWorld.runs().update(step.task(0), r -> r.withSpeedLimit(50));
            assertThat(stopReasons()).containsOnly(StopReason.NONE);
        }
    }
}
