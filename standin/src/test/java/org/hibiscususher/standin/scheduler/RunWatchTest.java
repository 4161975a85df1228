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

/** Tests that {@link RunWatch} reports a breach of each {@link SchedulerPromise}. */
class RunWatchTest {
    private static final String JOB = "0000000000000001";
    private static final TaskKey FIRST = new StepKey(JOB, 0, 0).task(0);
    private static final TaskKey SECOND = new StepKey(JOB, 0, 1).task(0);

    private final RunWatch mWatch = new RunWatch();

    @BeforeEach
    void submitJob() {
        mWatch.submitted(JOB, JobSpecs.twoSteps(1, 100), "team", 2);
    }

    private void start(TaskKey task, String executor, long nowMs) {
        mWatch.started(task, executor, false, nowMs);
    }

    private void end(TaskKey task, String executor, RunOutcome outcome) {
        mWatch.ended(task, executor, Optional.of(outcome));
    }

    private void assertBreached(SchedulerPromise promise) {
        assertThat(mWatch.breaches()).extracting(Breach::promise).contains(promise);
    }

    @Nested
    class StepOrder {
        @Test
        void isKeptWhenStepsRunInSequence() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            start(SECOND, "x", 2);
            end(SECOND, "x", RunOutcome.DONE);
            mWatch.shown(JOB, JobState.DONE, 3);
            assertThat(mWatch.breaches()).isEmpty();
        }

        @Test
        void isBrokenWhenStepStartsBeforeItsDependency() {
            start(SECOND, "x", 1);
            assertBreached(SchedulerPromise.STEP_ORDER);
        }
    }

    @Nested
    class Runs {
        @Test
        void ofOneTaskAtTheSameTimeAreReported() {
            start(FIRST, "x", 1);
            start(FIRST, "y", 2);
            assertBreached(SchedulerPromise.ONE_RUN_AT_A_TIME);
        }

        @Test
        void afterAcknowledgedCompletionAreReported() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            mWatch.noted(FIRST);
            start(FIRST, "x", 2);
            assertBreached(SchedulerPromise.DONE_STAYS_DONE);
        }

        @Test
        void beyondTheAttemptLimitAreReported() {
            for (int i = 0; i < 3; i++) {
                start(FIRST, "x", i);
                end(FIRST, "x", RunOutcome.FAILED);
            }
            assertBreached(SchedulerPromise.ATTEMPTS);
        }

        @Test
        void beyondTheTeamLimitAreReported() {
            mWatch.limit("team", Resources.of(500, 0, 0));
            start(FIRST, "x", 1);
            assertBreached(SchedulerPromise.TEAM_LIMIT);
        }

        @Test
        void beyondTheExecutorCapacityAreReported() {
            mWatch.reserved("x", Resources.of(2, 0, 0), Resources.of(1, 0, 0), 1);
            assertBreached(SchedulerPromise.CAPACITY);
        }

        @Test
        void onDrainingExecutorAreReported() {
            mWatch.started(FIRST, "x", true, 1);
            assertBreached(SchedulerPromise.DRAINING_GETS_NOTHING);
        }

        @Test
        void laterThanTheCancellationGraceAreReported() {
            mWatch.cancelled(JOB, 1_000);
            start(FIRST, "x", 4_001);
            assertBreached(SchedulerPromise.CANCELLED_STAYS_CANCELLED);
        }

        @Test
        void ofRefusedJobAreReported() {
            mWatch.answered(JOB, JobResponseKind.UNAVAILABLE);
            start(FIRST, "x", 1);
            assertBreached(SchedulerPromise.REFUSED_NEVER_RUNS);
        }
    }

    @Nested
    class Responses {
        @Test
        void thatShowUnfinishedJobAsDoneAreReported() {
            mWatch.shown(JOB, JobState.DONE, 1);
            assertBreached(SchedulerPromise.SHOWN_DONE_IS_DONE);
        }

        @Test
        void withoutAnAcceptedJobAreReported() {
            mWatch.answered(JOB, JobResponseKind.ACCEPTED);
            mWatch.unknown(JOB, 1);
            assertBreached(SchedulerPromise.ACCEPTED_IS_KEPT);
        }
    }

    @Nested
    class MaintenanceWaves {
        @Test
        void beyondTheirHostLimitAreReported() {
            mWatch.away(3, 2, 1);
            assertBreached(SchedulerPromise.WAVE_CAP);
        }

        @Test
        void orderedByTwoEntriesWithinOneLeaseAreReported() {
            mWatch.hostOrdered("h", "n0", 1_000);
            mWatch.hostOrdered("h", "n0", 1_500);
            mWatch.hostOrdered("h", "n1", 4_600);
            assertThat(mWatch.breaches()).isEmpty();
            mWatch.hostOrdered("h", "n0", 5_000);
            assertBreached(SchedulerPromise.ONE_HOLDER_A_HOST);
        }
    }
}
