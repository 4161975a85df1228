package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hibiscususher.core.scheduler.job.JobOwner.JOB;
import static org.hibiscususher.core.scheduler.job.JobOwner.queue;
import static org.hibiscususher.core.scheduler.job.JobOwner.request;
import static org.hibiscususher.core.scheduler.job.JobOwner.requestFor;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a job that runs although its caller has read, on cancelling it, that there is no
 * such job: its submission waited at an entry that was suspended or that knew no owner.
 */
class JobCancellationTest {
    private static final String PATH = "/q/" + JOB;
    private static final String OTHER = "0000000000000002";
    private static final RecordName RECORD = RecordName.of(RecordKind.CANCELLATION, JOB);

    private final JobOwner mOwner = JobOwner.create();

    private Optional<JobResponseKind> responseTo(long callId) {
        return mOwner.responseTo(callId);
    }

    /** Cancels a job of which the owner knows nothing. */
    private void cancelUnknown(long callId) {
        mOwner.tick(10, request(callId, JobRequestKind.CANCEL, PATH));
        mOwner.storeCommits(10);
        assertThat(responseTo(callId)).contains(JobResponseKind.NO_JOB);
    }

    /** Asserts that a submission of the job is rejected for good, and that nothing starts. */
    private static void assertRejectsSubmission(JobOwner owner, long callId, String path) {
        assertThat(owner.ask(callId, JobRequestKind.SUBMIT, path).kind())
                .isEqualTo(JobResponseKind.NO_JOB);
        owner.tick(1_000);
        assertThat(owner.world().jobs().size()).isZero();
        assertThat(owner.startsRuns()).isFalse();
    }

    @Nested
    class SubmissionReadAfterTheCancellation {
        @BeforeEach
        void cancel() {
            cancelUnknown(1);
        }

        @Test
        void isRejected() {
            assertRejectsSubmission(mOwner, 2, PATH);
        }

        @Test
        void isRejectedEachTime() {
            assertRejectsSubmission(mOwner, 2, PATH);
            mOwner.tick(60_000);
            assertRejectsSubmission(mOwner, 3, PATH);
        }

        @Test
        void isRejectedByTheNextOwners() {
            JobOwner second = JobOwner.takeOver(queue("q", "/q/"), mOwner.writtenRecords());
            JobOwner third = JobOwner.takeOver(queue("q", "/q/"), mOwner.writtenRecords());
            assertRejectsSubmission(second, 2, PATH);
            assertRejectsSubmission(third, 2, PATH);
        }

        @Test
        void isRejectedAfterTheQueueWasReplaced() {
            mOwner.configure(queue("other", "/q/"));
            assertRejectsSubmission(mOwner, 2, PATH);
            mOwner.configure(queue("q", "/new/"));
            assertRejectsSubmission(mOwner, 3, "/new/" + JOB);
        }

        @Test
        void isUnknownToQueriesAndFurtherCancellations() {
            assertThat(mOwner.ask(2, JobRequestKind.QUERY, PATH).kind())
                    .isEqualTo(JobResponseKind.NO_JOB);
            assertThat(mOwner.ask(3, JobRequestKind.CANCEL, PATH).kind())
                    .isEqualTo(JobResponseKind.NO_JOB);
        }
    }

    @Nested
    class CancellationThatIsNotStoredYet {
        @BeforeEach
        void cancel() {
            mOwner.tick(10, requestFor(1, JobRequestKind.CANCEL, JOB));
            assertThat(responseTo(1)).isEmpty();
        }

        @Test
        void keepsASubmissionWaiting() {
            mOwner.tick(10, requestFor(2, JobRequestKind.SUBMIT, JOB));
            assertThat(responseTo(2)).isEmpty();
            mOwner.storeCommits(10);
            assertThat(responseTo(1)).contains(JobResponseKind.NO_JOB);
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
            assertThat(mOwner.world().jobs().size()).isZero();
        }

        @Test
        void isOfUnknownOutcomeIfTheStoreStaysSilent() {
            mOwner.tick(1_300);
            assertThat(responseTo(1)).contains(JobResponseKind.UNKNOWN);
            mOwner.storeCommits(10);
            assertRejectsSubmission(mOwner, 2, PATH);
        }

        @Test
        void isStoredByTheNextCommitAfterOneThatFailed() {
            mOwner.tick(10, new CommitFailed(mOwner.lastCommit().callId(), false, false));
            mOwner.tick(160);
            mOwner.storeCommits(10);
            assertThat(responseTo(1)).contains(JobResponseKind.NO_JOB);
        }

        @Test
        void isAnsweredIfALostResponseTurnsOutToHaveBeenASuccess() {
            mOwner.tick(10, new CommitFailed(mOwner.lastCommit().callId(), true, false));
            mOwner.tick(
                    10,
                    new CommitConflict(
                            mOwner.lastCommit().callId(),
                            List.of(new LoadedRecord(RECORD, 40, Optional.empty()))));
            assertThat(responseTo(1)).contains(JobResponseKind.NO_JOB);
            assertRejectsSubmission(mOwner, 2, PATH);
        }

        @Test
        void isLeftToTheNextOwnerAsOneThatMayHaveTakenEffect() {
            mOwner.tick(
                    10,
                    new CommitConflict(
                            mOwner.lastCommit().callId(),
                            List.of(new LoadedRecord(RecordName.TERM, 99, Optional.empty()))));
            assertThat(responseTo(1)).isEmpty();
            mOwner.tick(600);
            assertThat(responseTo(1)).contains(JobResponseKind.UNKNOWN);
        }
    }

    /** The store can't take a record, so nothing may be promised. */
    @Nested
    class StoreThatIsAway {
        @Test
        void rejectsCancellationsAtOnce() {
            mOwner.tick(10, requestFor(1, JobRequestKind.SUBMIT, OTHER));
            mOwner.tick(900, requestFor(2, JobRequestKind.CANCEL, JOB));
            assertThat(responseTo(2)).contains(JobResponseKind.UNAVAILABLE);
            assertThat(mOwner.world().cancellations().size()).isZero();
        }
    }

    /** A commit that had no effect removes the job; a repeated submission may still come. */
    @Nested
    class JobThatWasCancelledButNeverStored {
        @Test
        void isRejectedWhenItIsSubmittedAgain() {
            mOwner.tick(10, requestFor(1, JobRequestKind.SUBMIT, JOB));
            long commit = mOwner.lastCommit().callId();
            mOwner.tick(1_300);
            mOwner.tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            mOwner.tick(10, new CommitConflict(commit, List.of()));
            mOwner.storeCommits(10);
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
            assertRejectsSubmission(mOwner, 3, PATH);
        }
    }

    @Nested
    class Retention {
        @Test
        void endsWithThatOfAFinishedJob() {
            cancelUnknown(1);
            mOwner.tick(SchedulerTiming.JOB_RETENTION_MS + 1);
            mOwner.tick(10);
            assertThat(mOwner.lastCommit().removals()).containsExactly(RECORD);
            mOwner.storeCommits(10);
            assertThat(mOwner.world().cancellations().size()).isZero();
            assertThat(mOwner.world().pendingRemovals().size()).isZero();
        }

        @Test
        void beginsAnewWithACancellationDuringTheRemoval() {
            cancelUnknown(1);
            mOwner.tick(SchedulerTiming.JOB_RETENTION_MS + 1);
            mOwner.tick(10);
            mOwner.tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            assertThat(responseTo(2)).isEmpty();
            mOwner.storeCommits(10);
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
            assertRejectsSubmission(mOwner, 3, PATH);
        }

        @Test
        void leavesRoomForALimitedNumber() {
            for (int i = 0; i < JobCancellations.MAX_KEPT; i++) {
                JobCancellations.restore(
                        mOwner.emptyTick(),
                        new StoredRecord.Cancellation("%016x".formatted(i + 100)));
            }
            assertThat(mOwner.ask(1, JobRequestKind.CANCEL, PATH).kind())
                    .isEqualTo(JobResponseKind.OVERLOADED);
            assertThat(mOwner.ask(2, JobRequestKind.CANCEL, "/q/0000000000000064").kind())
                    .isEqualTo(JobResponseKind.NO_JOB);
            mOwner.accept(3, PATH);
            assertThat(responseTo(3)).contains(JobResponseKind.ACCEPTED);
        }
    }

    /** Callers that cancel nothing must not notice anything. */
    @Nested
    class SoundCallers {
        @Test
        void submitAJobOnceHoweverOftenTheyRepeatIt() {
            mOwner.accept(1, PATH);
            mOwner.tick(5_000);
            assertThat(mOwner.ask(2, JobRequestKind.SUBMIT, PATH).kind())
                    .isEqualTo(JobResponseKind.ACCEPTED);
            JobOwner next = JobOwner.takeOver(queue("q", "/q/"), mOwner.writtenRecords());
            assertThat(next.ask(3, JobRequestKind.SUBMIT, PATH).kind())
                    .isEqualTo(JobResponseKind.ACCEPTED);
            assertThat(next.world().jobs().size()).isEqualTo(1);
        }

        @Test
        void submitAJobOfWhichAQueryKnewNothing() {
            assertThat(mOwner.ask(1, JobRequestKind.QUERY, PATH).kind())
                    .isEqualTo(JobResponseKind.NO_JOB);
            mOwner.accept(2, PATH);
            assertThat(responseTo(2)).contains(JobResponseKind.ACCEPTED);
        }

        @Test
        void submitAJobWhileAnotherOneIsCancelled() {
            cancelUnknown(1);
            mOwner.accept(2, "/q/" + OTHER);
            assertThat(responseTo(2)).contains(JobResponseKind.ACCEPTED);
            mOwner.tick(50);
            assertThat(mOwner.startsRuns()).isTrue();
        }

        @Test
        void cancelAnAcceptedJobAsBefore() {
            mOwner.accept(1, PATH);
            mOwner.tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            mOwner.storeCommits(10);
            assertThat(responseTo(2)).contains(JobResponseKind.CANCELLED);
            assertThat(mOwner.world().cancellations().size()).isZero();
            assertThat(mOwner.world().jobs().find(JOB).orElseThrow().state())
                    .isEqualTo(JobState.CANCELLED);
        }

        @Test
        void getAnAnswerAtOnceForWhatIsNoJobId() {
            assertThat(mOwner.ask(1, JobRequestKind.CANCEL, "/q/12").kind())
                    .isEqualTo(JobResponseKind.NO_JOB);
            assertThat(mOwner.world().cancellations().size()).isZero();
        }
    }
}
