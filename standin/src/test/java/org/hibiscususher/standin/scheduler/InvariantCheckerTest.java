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

/** Tests that {@link InvariantChecker} reports a violation of each {@link SchedulerInvariant}. */
class InvariantCheckerTest {
    private static final String JOB = "0000000000000001";
    private static final TaskKey FIRST = new StepKey(JOB, 0, 0).task(0);
    private static final TaskKey SECOND = new StepKey(JOB, 0, 1).task(0);

    private final InvariantChecker mChecker = new InvariantChecker();

    @BeforeEach
    void submitJob() {
        mChecker.recordSubmission(JOB, JobSpecs.twoSteps(1, 100), "team", 2);
    }

    private void start(TaskKey task, String executor, long nowMs) {
        mChecker.recordStart(task, executor, false, nowMs);
    }

    private void end(TaskKey task, String executor, RunOutcome outcome) {
        mChecker.recordEnd(task, executor, Optional.of(outcome));
    }

    private void assertViolated(SchedulerInvariant invariant) {
        assertThat(mChecker.violations())
                .extracting(InvariantViolation::invariant)
                .contains(invariant);
    }

    @Nested
    class StepDependencies {
        @Test
        void areMetWhenStepsRunInSequence() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            start(SECOND, "x", 2);
            end(SECOND, "x", RunOutcome.DONE);
            mChecker.checkReportedState(JOB, JobState.DONE, 3);
            assertThat(mChecker.violations()).isEmpty();
        }

        @Test
        void areViolatedWhenStepStartsTooEarly() {
            start(SECOND, "x", 1);
            assertViolated(SchedulerInvariant.STEP_DEPENDENCIES);
        }
    }

    @Nested
    class EvacuatedZone {
        @Test
        void mayGetRunsUntilTheLimitAndAfterItsRestore() {
            mChecker.forbidStartsInZone("z", 5);
            mChecker.checkStartInZone(FIRST, "z", 5);
            mChecker.checkStartInZone(FIRST, "y", 6);
            mChecker.allowStartsInZone("z");
            mChecker.checkStartInZone(FIRST, "z", 7);
            assertThat(mChecker.violations()).isEmpty();
        }

        @Test
        void isReportedWithALaterStart() {
            mChecker.forbidStartsInZone("z", 5);
            mChecker.checkStartInZone(FIRST, "z", 6);
            assertViolated(SchedulerInvariant.NO_START_IN_EVACUATED_ZONE);
        }
    }

    @Nested
    class Runs {
        @Test
        void ofOneTaskAtTheSameTimeAreReported() {
            start(FIRST, "x", 1);
            start(FIRST, "y", 2);
            assertViolated(SchedulerInvariant.ONE_RUN_AT_A_TIME);
        }

        @Test
        void afterAcknowledgedCompletionAreReported() {
            start(FIRST, "x", 1);
            end(FIRST, "x", RunOutcome.DONE);
            mChecker.recordAcknowledgment(FIRST);
            start(FIRST, "x", 2);
            assertViolated(SchedulerInvariant.FINISHED_TASK_NOT_RERUN);
        }

        @Test
        void beyondTheAttemptLimitAreReported() {
            for (int i = 0; i < 3; i++) {
                start(FIRST, "x", i);
                end(FIRST, "x", RunOutcome.FAILED);
            }
            assertViolated(SchedulerInvariant.ATTEMPT_LIMIT);
        }

        @Test
        void beyondTheTeamLimitAreReported() {
            mChecker.setTeamLimit("team", Resources.of(500, 0, 0));
            start(FIRST, "x", 1);
            assertViolated(SchedulerInvariant.TEAM_LIMIT);
        }

        @Test
        void beyondTheExecutorCapacityAreReported() {
            mChecker.checkReservation("x", Resources.of(2, 0, 0), Resources.of(1, 0, 0), 1);
            assertViolated(SchedulerInvariant.EXECUTOR_CAPACITY);
        }

        @Test
        void onDrainingExecutorAreReported() {
            mChecker.recordStart(FIRST, "x", true, 1);
            assertViolated(SchedulerInvariant.NO_START_ON_DRAINING_EXECUTOR);
        }

        @Test
        void laterThanTheCancellationGraceAreReported() {
            mChecker.recordCancellation(JOB, 1_000);
            start(FIRST, "x", 4_001);
            assertViolated(SchedulerInvariant.NO_START_AFTER_CANCELLATION);
        }

        @Test
        void ofRejectedJobAreReported() {
            mChecker.recordResponse(JOB, JobResponseKind.UNAVAILABLE, 1);
            start(FIRST, "x", 1);
            assertViolated(SchedulerInvariant.REJECTED_JOB_NEVER_RUNS);
        }

        @Test
        void beforeARejectionAreReported() {
            mChecker.recordRequest(JOB);
            start(FIRST, "x", 1);
            mChecker.recordResponse(JOB, JobResponseKind.UNAVAILABLE, 2);
            assertViolated(SchedulerInvariant.REJECTED_JOB_NEVER_RUNS);
        }

        @Test
        void ofAJobThatIsSubmittedAgainAreNotReported() {
            mChecker.recordResponse(JOB, JobResponseKind.UNAVAILABLE, 1);
            mChecker.recordRequest(JOB);
            start(FIRST, "x", 2);
            mChecker.recordResponse(JOB, JobResponseKind.ACCEPTED, 3);
            assertThat(mChecker.violations()).isEmpty();
        }
    }

    @Nested
    class Responses {
        @Test
        void thatShowUnfinishedJobAsDoneAreReported() {
            mChecker.checkReportedState(JOB, JobState.DONE, 1);
            assertViolated(SchedulerInvariant.REPORTED_DONE_IS_DONE);
        }

        @Test
        void withoutAnAcceptedJobAreReported() {
            mChecker.recordResponse(JOB, JobResponseKind.ACCEPTED, 1);
            mChecker.checkUnknownJob(JOB, 1);
            assertViolated(SchedulerInvariant.ACCEPTED_JOB_NOT_LOST);
        }
    }

    @Nested
    class MaintenanceWaves {
        @Test
        void beyondTheirHostLimitAreReported() {
            mChecker.checkHostsOutOfService(3, 2, 1);
            assertViolated(SchedulerInvariant.WAVE_HOST_LIMIT);
        }

        @Test
        void orderedByTwoEntriesWithinOneLeaseAreReported() {
            mChecker.recordHostOrder("h", "n0", 1_000);
            mChecker.recordHostOrder("h", "n0", 1_500);
            mChecker.recordHostOrder("h", "n1", 4_600);
            assertThat(mChecker.violations()).isEmpty();
            mChecker.recordHostOrder("h", "n0", 5_000);
            assertViolated(SchedulerInvariant.ONE_COORDINATOR_PER_HOST);
        }
    }
}
