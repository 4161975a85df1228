package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** An executor reports runs of tasks that a job of one step and two tasks does not have. */
class OddRunsTest {
    private static final long NOW_MS = 10_000;
    private static final StepKey STEP = new StepKey("a", 0, 0);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    @BeforeEach
    void addJobAndExecutor() {
        Resources core = Resources.of(1_000, 100, 0);
        JobSpec spec = JobSpec.once("run", List.of(StepSpec.of(2, core, 500, List.of())));
        JobPolicy policy = new JobPolicy("q", "p", 0, 2, 1, 500, false);
        JobState state = JobState.RUNNING;
        mWorld.jobs()
                .put(
                        "a",
                        new JobRow(
                                new StoredRecord.Job(
                                        "a", policy, JobAddress.UNKNOWN, "team", spec, 0),
                                0,
                                state,
                                true,
                                state,
                                0,
                                0,
                                0,
                                1,
                                false,
                                0));
        mWorld.steps().put(STEP, new StepRow(STEP, BigInteger.ZERO, 2, 0));
        SchedulerWorlds.addExecutor(mWorld, "x", "p", core, NOW_MS);
        mWorld.executorSessions()
                .put("x", ExecutorSessionRow.initial("x", 0).withHeartbeatSent(5, 50, NOW_MS, 0));
    }

    private void answer(List<ReportedRun> runs, List<FinishedRun> finished) {
        HeartbeatAnswered answer = new HeartbeatAnswered(5, "x", 1, 1, runs, finished, true);
        ExecutorSystem.run(new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(answer), () -> 1));
    }

    private void assertOneTaskRemains() {
        assertThat(mWorld.steps().find(STEP).orElseThrow().remaining()).isEqualTo(1);
        assertThat(mWorld.jobs().find("a").orElseThrow().state()).isEqualTo(JobState.RUNNING);
        assertThat(mWorld.executorSessions().find("x").orElseThrow().appliedSequence())
                .isEqualTo(2);
    }

    private void finish(TaskKey odd, RunOutcome outcome) {
        FinishedRun good = new FinishedRun(2, STEP.task(0), 1, RunOutcome.DONE, "");
        answer(List.of(), List.of(new FinishedRun(1, odd, 1, outcome, ""), good));
        assertOneTaskRemains();
    }

    @Nested
    class Finished {
        /** The job counted as done although a task of it had never run. */
        @ParameterizedTest
        @CsvSource({"2", "7", "1000000000", "-1"})
        void beyondTheStepDoNotCompleteIt(int index) {
            finish(STEP.task(index), RunOutcome.DONE);
        }

        /** Each such answer ended the tick, with all inputs of that tick. */
        @ParameterizedTest
        @EnumSource(RunOutcome.class)
        void ofAStepThatTheJobLacksCostNoOtherRun(RunOutcome outcome) {
            finish(new StepKey("a", 0, 9).task(0), outcome);
        }

        @ParameterizedTest
        @EnumSource(RunOutcome.class)
        void ofANegativeStepCostNoOtherRun(RunOutcome outcome) {
            finish(new StepKey("a", 0, -1).task(0), outcome);
        }

        @ParameterizedTest
        @EnumSource(RunOutcome.class)
        void ofAnotherOccurrenceCostNoOtherRun(RunOutcome outcome) {
            finish(new StepKey("a", 3, 0).task(0), outcome);
        }
    }

    @Nested
    class Running {
        @Test
        void areOrderedToStop() {
            TaskKey odd = new StepKey("a", 0, 9).task(0);
            FinishedRun good = new FinishedRun(2, STEP.task(0), 1, RunOutcome.DONE, "");
            answer(
                    List.of(
                            new ReportedRun(odd, 1, "", 5, -1),
                            new ReportedRun(STEP.task(7), 1, "", 5, -1)),
                    List.of(good));
            assertOneTaskRemains();
        }
    }

    @Nested
    class LongChain {
        private static final int STEPS = 1_000;
        private static final long STACK_BYTES = 256 * 1024;

        /** A takeover finds a run of the last step; the control thread's stack is small. */
        @Test
        void ofStepsIsActivatedOnASmallStack() throws InterruptedException {
            List<StepSpec> steps = new ArrayList<>();
            for (int i = 0; i < STEPS; i++) {
                List<Integer> after = i == 0 ? List.of() : List.of(i - 1);
                steps.add(StepSpec.of(1, Resources.of(1, 1, 0), 1, after));
            }
            JobPolicy policy = new JobPolicy("q", "p", 0, 2, 1, 500, false);
            JobState state = JobState.RUNNING;
            mWorld.jobs()
                    .put(
                            "c",
                            new JobRow(
                                    new StoredRecord.Job(
                                            "c",
                                            policy,
                                            JobAddress.UNKNOWN,
                                            "team",
                                            JobSpec.once("run", steps),
                                            0),
                                    0,
                                    state,
                                    true,
                                    state,
                                    0,
                                    0,
                                    0,
                                    STEPS,
                                    true,
                                    0));
            TaskKey last = new StepKey("c", 0, STEPS - 1).task(0);
            ReportedRun run = new ReportedRun(last, 1, "", 5, -1);
            Thread thread =
                    new Thread(null, () -> answer(List.of(run), List.of()), "small", STACK_BYTES);
            thread.start();
            thread.join();
            assertThat(mWorld.runs().contains(last)).isTrue();
            assertThat(mWorld.jobs().find("c").orElseThrow().remainingSteps()).isEqualTo(1);
        }
    }
}
