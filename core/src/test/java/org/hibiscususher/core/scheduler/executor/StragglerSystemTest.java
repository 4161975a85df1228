package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigInteger;
import java.util.List;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
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
    /** Executors that take six times as long, among sound ones. */
    @Nested
    class IsSlow {
        @Test
        void findsARunThatTakesSixTimesItsEstimate() {
            assertThat(StragglerSystem.isSlow(1_000, 26, 640)).isTrue();
        }

        @Test
        void sparesARunThatIsALittleLate() {
            assertThat(StragglerSystem.isSlow(1_000, 70, 640)).isFalse();
        }

        @Test
        void sparesARunThatIsNearlyDone() {
            assertThat(StragglerSystem.isSlow(3_500, 90, 640)).isFalse();
        }

        @Test
        void judgesNoYoungRun() {
            assertThat(StragglerSystem.isSlow(200, 0, 640)).isFalse();
        }

        @Test
        void judgesNoRunWithoutAnEstimate() {
            assertThat(StragglerSystem.isSlow(9_000, 1, 0)).isFalse();
        }
    }

    /** Two jobs of one task each on an executor; they should take 500 ms and have run for 2 s. */
    @Nested
    class Judges {
        private static final long NOW_MS = 10_000;
        private static final long STARTED_MS = NOW_MS - 2_000;
        private static final long ESTIMATE_MS = 500;
        private static final Resources CORE = Resources.of(1_000, 100, 0);

        private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

        @BeforeEach
        void start() {
            mWorld.executorSessions()
                    .put(
                            "x",
                            ExecutorSessionRow.initial("x", 0).withHeartbeatAnswered(1, 1, NOW_MS));
        }

        private StepKey job(String id, int percent, long changedMs) {
            JobSpec spec =
                    JobSpec.once("run", List.of(StepSpec.of(1, CORE, ESTIMATE_MS, List.of())));
            JobPolicy terms = new JobPolicy("q", "p", 0, 2, 1, 500, false);
            mWorld.jobs()
                    .put(
                            id,
                            new JobRow(
                                    id,
                                    terms,
                                    "team",
                                    spec,
                                    0,
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
                                    changedMs));
            return step;
        }

        private List<StopReason> reasons() {
            SchedulerInput answer = new HeartbeatAnswered(1, "x", 1, 1, List.of(), List.of());
            StragglerSystem.run(
                    new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(answer), () -> 1));
            return mWorld.runs().rows().stream().map(RunRow::reason).toList();
        }

        private boolean isAside() {
            return mWorld.executorSessions().find("x").orElseThrow().quarantinedUntilMs() > NOW_MS;
        }

        @Test
        void theExecutorSlowIfRunsOfTwoJobsAre() {
            job("a", 20, NOW_MS);
            job("b", 30, NOW_MS);
            assertThat(reasons()).containsOnly(StopReason.STALLED);
            assertThat(isAside()).isTrue();
        }

        @Test
        void theJobSlowIfItIsTheOnlyOne() {
            job("a", 20, NOW_MS);
            job("b", 95, NOW_MS);
            assertThat(reasons()).containsOnly(StopReason.NONE);
            assertThat(isAside()).isFalse();
        }

        @Test
        void aRunHungThatMakesNoProgressAtAll() {
            job("a", 20, NOW_MS - 1_500);
            job("b", 95, NOW_MS);
            assertThat(reasons()).containsExactly(StopReason.STALLED, StopReason.NONE);
            assertThat(isAside()).isTrue();
        }

        @Test
        void noRunThatWasToldToWorkSlowly() {
            StepKey step = job("a", 20, NOW_MS - 1_500);
            mWorld.runs().update(step.task(0), r -> r.withSpeedLimit(50));
            assertThat(reasons()).containsOnly(StopReason.NONE);
        }
    }
}
