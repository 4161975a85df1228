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
class RunWatchTest {
    private static final String JOB = "0000000000000001";
    private static final TaskKey FIRST = new StepKey(JOB, 0, 0).task(0);
    private static final TaskKey SECOND = new StepKey(JOB, 0, 1).task(0);

    private final RunWatch mWatch = new RunWatch();

    @BeforeEach
    void submit() {
        mWatch.submitted(JOB, Jobs.twoSteps(1, 100), "team", 2);
    }

    private void start(TaskKey task, String executor, long nowMs) {
        mWatch.started(task, executor, false, nowMs);
    }

    private void end(TaskKey task, String executor, RunOutcome kind) {
        mWatch.ended(task, executor, Optional.of(kind));
    }

    private void assertBroken(SchedulerPromise promise) {
        assertThat(mWatch.breaches()).extracting(Breach::promise).contains(promise);
    }

    @Nested
    class Order {
        @Test
        void isKeptByARunAfterAnother() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            start(SECOND, "x", 2);
            end(SECOND, "x", RunOutcome.DONE);
            mWatch.shown(JOB, JobState.DONE, 3);
            assertThat(mWatch.breaches()).isEmpty();
        }

        @Test
        void isBrokenByAStepBeforeItsTurn() {
            start(SECOND, "x", 1);
            assertBroken(SchedulerPromise.STEP_ORDER);
        }
    }

    @Nested
    class Runs {
        @Test
        void atTheSameTimeAreFound() {
            start(FIRST, "x", 1);
            start(FIRST, "y", 2);
            assertBroken(SchedulerPromise.ONE_RUN_AT_A_TIME);
        }

        @Test
        void afterANotedEndAreFound() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            mWatch.noted(FIRST);
            start(FIRST, "x", 2);
            assertBroken(SchedulerPromise.DONE_STAYS_DONE);
        }

        @Test
        void beyondTheAttemptsAreFound() {
            for (int i = 0; i < 3; i++) {
                start(FIRST, "x", i);
                end(FIRST, "x", RunOutcome.FAILED);
            }
            assertBroken(SchedulerPromise.ATTEMPTS);
        }

        @Test
        void beyondATeamsLimitAreFound() {
            mWatch.limit("team", Resources.of(500, 0, 0));
            start(FIRST, "x", 1);
            assertBroken(SchedulerPromise.TEAM_LIMIT);
        }

        @Test
        void beyondAnExecutorsCapacityAreFound() {
            mWatch.reserved("x", Resources.of(2, 0, 0), Resources.of(1, 0, 0), 1);
            assertBroken(SchedulerPromise.CAPACITY);
        }

        @Test
        void onADrainingExecutorAreFound() {
            mWatch.started(FIRST, "x", true, 1);
            assertBroken(SchedulerPromise.DRAINING_GETS_NOTHING);
        }

        @Test
        void longAfterACancellationAreFound() {
            mWatch.cancelled(JOB, 1_000);
            start(FIRST, "x", 4_001);
            assertBroken(SchedulerPromise.CANCELLED_STAYS_CANCELLED);
        }

        @Test
        void ofARefusedJobAreFound() {
            mWatch.answered(JOB, JobResponseKind.UNAVAILABLE);
            start(FIRST, "x", 1);
            assertBroken(SchedulerPromise.REFUSED_NEVER_RUNS);
        }
    }

    @Nested
    class Answers {
        @Test
        void thatShowAnUnfinishedJobAsDoneAreFound() {
            mWatch.shown(JOB, JobState.DONE, 1);
            assertBroken(SchedulerPromise.SHOWN_DONE_IS_DONE);
        }

        @Test
        void thatDoNotKnowAnAcceptedJobAreFound() {
            mWatch.answered(JOB, JobResponseKind.ACCEPTED);
            mWatch.unknown(JOB, 1);
            assertBroken(SchedulerPromise.ACCEPTED_IS_KEPT);
        }
    }

    @Nested
    class Waves {
        @Test
        void beyondTheirCapAreFound() {
            mWatch.away(3, 2, 1);
            assertBroken(SchedulerPromise.WAVE_CAP);
        }

        @Test
        void orderedByTwoEntriesInTurnAreFound() {
            mWatch.hostOrdered("h", "n0", 1_000);
            mWatch.hostOrdered("h", "n0", 1_500);
            mWatch.hostOrdered("h", "n1", 4_600);
            assertThat(mWatch.breaches()).isEmpty();
            mWatch.hostOrdered("h", "n0", 5_000);
            assertBroken(SchedulerPromise.ONE_HOLDER_A_HOST);
        }
    }
}
