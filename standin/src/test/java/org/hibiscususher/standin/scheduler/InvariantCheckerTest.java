package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Shows that each check of the site finds what breaks its promise. */
class InvariantCheckerTest {
    private static final String JOB = "0000000000000001";
    private static final TaskKey FIRST = new StepKey(JOB, 0, 0).task(0);
    private static final TaskKey SECOND = new StepKey(JOB, 0, 1).task(0);

    private final InvariantChecker mWatch = new InvariantChecker();

    @BeforeEach
    void submit() {
        mWatch.recordSubmission(JOB, Jobs.twoSteps(1, 100), "team", 2);
    }

    private void start(TaskKey task, String executor, long nowMs) {
        mWatch.recordStart(task, executor, false, nowMs);
    }

    private void end(TaskKey task, String executor, RunOutcome kind) {
        mWatch.recordEnd(task, executor, Optional.of(kind));
    }

    private void assertBroken(SchedulerInvariant promise) {
        assertThat(mWatch.violations()).extracting(InvariantViolation::invariant).contains(promise);
    }

    @Nested
    class Order {
        @Test
        void isKeptByARunAfterAnother() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            start(SECOND, "x", 2);
            end(SECOND, "x", RunOutcome.DONE);
            mWatch.checkReportedState(JOB, JobState.DONE, 3);
            assertThat(mWatch.violations()).isEmpty();
        }

        @Test
        void isBrokenByAStepBeforeItsTurn() {
            start(SECOND, "x", 1);
            assertBroken(SchedulerInvariant.STEP_DEPENDENCIES);
        }
    }

    @Nested
    class Runs {
        @Test
        void atTheSameTimeAreFound() {
            start(FIRST, "x", 1);
            start(FIRST, "y", 2);
            assertBroken(SchedulerInvariant.ONE_RUN_AT_A_TIME);
        }

        @Test
        void afterANotedEndAreFound() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            mWatch.recordAcknowledgment(FIRST);
            start(FIRST, "x", 2);
            assertBroken(SchedulerInvariant.FINISHED_TASK_NOT_RERUN);
        }

        @Test
        void beyondTheAttemptsAreFound() {
            for (int i = 0; i < 3; i++) {
                start(FIRST, "x", i);
                end(FIRST, "x", RunOutcome.FAILED);
            }
            assertBroken(SchedulerInvariant.ATTEMPT_LIMIT);
        }

        @Test
        void beyondATeamsLimitAreFound() {
            mWatch.setTeamLimit("team", Resources.of(500, 0, 0));
            start(FIRST, "x", 1);
            assertBroken(SchedulerInvariant.TEAM_LIMIT);
        }

        @Test
        void beyondAnExecutorsCapacityAreFound() {
            mWatch.checkReservation("x", Resources.of(2, 0, 0), Resources.of(1, 0, 0), 1);
            assertBroken(SchedulerInvariant.EXECUTOR_CAPACITY);
        }

        @Test
        void onADrainingExecutorAreFound() {
            mWatch.recordStart(FIRST, "x", true, 1);
            assertBroken(SchedulerInvariant.NO_START_ON_DRAINING_EXECUTOR);
        }

        @Test
        void longAfterACancellationAreFound() {
            mWatch.recordCancellation(JOB, 1_000);
            start(FIRST, "x", 4_001);
            assertBroken(SchedulerInvariant.NO_START_AFTER_CANCELLATION);
        }

        @Test
        void ofARefusedJobAreFound() {
            mWatch.recordResponse(JOB, JobResponseKind.UNAVAILABLE);
            start(FIRST, "x", 1);
            assertBroken(SchedulerInvariant.REJECTED_JOB_NEVER_RUNS);
        }
    }

    @Nested
    class Answers {
        @Test
        void thatShowAnUnfinishedJobAsDoneAreFound() {
            mWatch.checkReportedState(JOB, JobState.DONE, 1);
            assertBroken(SchedulerInvariant.REPORTED_DONE_IS_DONE);
        }

        @Test
        void thatDoNotKnowAnAcceptedJobAreFound() {
            mWatch.recordResponse(JOB, JobResponseKind.ACCEPTED);
            mWatch.checkUnknownJob(JOB, 1);
            assertBroken(SchedulerInvariant.ACCEPTED_JOB_NOT_LOST);
        }
    }

    @Nested
    class Waves {
        @Test
        void beyondTheirCapAreFound() {
            mWatch.checkHostsOutOfService(3, 2, 1);
            assertBroken(SchedulerInvariant.WAVE_HOST_LIMIT);
        }

        @Test
        void orderedByTwoEntriesInTurnAreFound() {
            mWatch.recordHostOrder("h", "n0", 1_000);
            mWatch.recordHostOrder("h", "n0", 1_500);
            mWatch.recordHostOrder("h", "n1", 4_600);
            assertThat(mWatch.violations()).isEmpty();
            mWatch.recordHostOrder("h", "n0", 5_000);
            assertBroken(SchedulerInvariant.ONE_COORDINATOR_PER_HOST);
        }
    }
}
