package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hibiscususher.core.scheduler.job.JobOwner.JOB;
import static org.hibiscususher.core.scheduler.job.JobOwner.requestFor;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests about a job to an owner that has one executor. */
class JobRequestDecisionTest {
    private static final RecordName RECORD = RecordName.of(RecordKind.JOB, JOB);

    private final JobOwner mOwner = JobOwner.create();

    private void tick(long afterMs, SchedulerInput... inputs) {
        mOwner.tick(afterMs, inputs);
    }

    private Optional<JobResponseKind> responseTo(long callId) {
        return mOwner.responseTo(callId);
    }

    private Commit lastCommit() {
        return mOwner.lastCommit();
    }

    /** Guards against a job that runs although its cancellation was answered as unknown. */
    @Nested
    class JobWhoseCommitIsInFlight {
        private Commit mCommit;

        @BeforeEach
        void submit() {
            tick(10, requestFor(1, JobRequestKind.SUBMIT, JOB));
            mCommit = lastCommit();
            tick(1_300);
            assertThat(responseTo(1)).contains(JobResponseKind.UNKNOWN);
        }

        @Test
        void isCancelledOnceItIsStored() {
            tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            assertThat(responseTo(2)).isEmpty();
            tick(50, new Committed(mCommit.callId(), 40));
            tick(50);
            assertThat(responseTo(2)).isEmpty();
            tick(50, new Committed(lastCommit().callId(), 41));
            assertThat(responseTo(2)).contains(JobResponseKind.CANCELLED);
            tick(1_000);
            assertThat(mOwner.startsRuns()).isFalse();
        }

        @Test
        void doesNotRunIfTheCancellationWasAnsweredAsOfUnknownOutcome() {
            tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            tick(1_300);
            assertThat(responseTo(2)).contains(JobResponseKind.UNKNOWN);
            tick(3_000, new Committed(mCommit.callId(), 40));
            tick(1_000);
            assertThat(mOwner.startsRuns()).isFalse();
        }

        @Test
        void isUnknownOnceItsCommitCertainlyHadNoEffect() {
            tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            tick(10, requestFor(3, JobRequestKind.QUERY, JOB));
            tick(
                    10,
                    new CommitConflict(
                            mCommit.callId(),
                            List.of(new LoadedRecord(RECORD, 0, Optional.empty()))));
            assertThat(responseTo(2)).isEmpty();
            assertThat(responseTo(3)).contains(JobResponseKind.NO_JOB);
            assertThat(mOwner.world().jobs().contains(JOB)).isFalse();
            mOwner.storeCommits(10);
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
        }

        @Test
        void hasAStateOnceItIsStored() {
            tick(10, requestFor(2, JobRequestKind.QUERY, JOB));
            assertThat(responseTo(2)).isEmpty();
            tick(50, new Committed(mCommit.callId(), 40));
            assertThat(responseTo(2)).contains(JobResponseKind.STATE);
        }
    }

    @Nested
    class JobThatIsRefused {
        @Test
        void isNotCancelledForGoodWhileTheStoreIsAway() {
            tick(10, requestFor(1, JobRequestKind.SUBMIT, JOB));
            tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            for (int i = 0; i < 5; i++) {
                tick(200, new CommitFailed(lastCommit().callId(), false, false));
            }
            assertThat(responseTo(1)).contains(JobResponseKind.UNAVAILABLE);
            assertThat(responseTo(2)).isEmpty();
            tick(300);
            assertThat(responseTo(2)).contains(JobResponseKind.UNKNOWN);
        }

        @Test
        void isUnknownToACancellationThatWaitsOnceTheStoreHoldsThat() {
            tick(10, requestFor(1, JobRequestKind.SUBMIT, JOB));
            tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            for (int i = 0; i < 5; i++) {
                tick(160, new CommitFailed(lastCommit().callId(), false, false));
            }
            assertThat(responseTo(1)).contains(JobResponseKind.UNAVAILABLE);
            tick(160);
            mOwner.storeCommits(10);
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
        }
    }

    /** Guards against an owner that denies a job which a later owner has accepted. */
    @Nested
    class LeaseThatMayHaveRunOut {
        @BeforeEach
        void runOut() {
            tick(10);
            mOwner.setLeaseLeft(-100);
        }

        @Test
        void leavesTheAnswerOpenUntilItIsRenewed() {
            tick(
                    10,
                    requestFor(1, JobRequestKind.CANCEL, JOB),
                    requestFor(2, JobRequestKind.QUERY, JOB),
                    requestFor(3, JobRequestKind.QUERY, ""));
            assertThat(responseTo(1)).isEmpty();
            assertThat(responseTo(2)).isEmpty();
            assertThat(responseTo(3)).isEmpty();
            mOwner.setLeaseLeft(1_000);
            tick(10);
            assertThat(responseTo(1)).isEmpty();
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
            assertThat(responseTo(3)).contains(JobResponseKind.PENDING);
            mOwner.storeCommits(10);
            assertThat(responseTo(1)).contains(JobResponseKind.NO_JOB);
        }

        @Test
        void isNotWaitedForLong() {
            tick(10, requestFor(1, JobRequestKind.CANCEL, JOB));
            tick(200);
            assertThat(responseTo(1)).contains(JobResponseKind.UNAVAILABLE);
        }

        @Test
        void doesNotMatterForAFinalStateThatIsStored() {
            mOwner.setLeaseLeft(1_000);
            tick(10, requestFor(1, JobRequestKind.SUBMIT, JOB));
            tick(30, new Committed(lastCommit().callId(), 40));
            tick(30, new Committed(lastCommit().callId(), 41));
            assertThat(responseTo(1)).contains(JobResponseKind.ACCEPTED);
            mOwner.world()
                    .jobs()
                    .update(
                            JOB,
                            j ->
                                    j.withState(JobState.DONE, mOwner.nowMs())
                                            .withStoredVersion(1, JobState.DONE, mOwner.nowMs()));
            mOwner.setLeaseLeft(-100);
            tick(10, requestFor(2, JobRequestKind.CANCEL, JOB));
            assertThat(responseTo(2)).contains(JobResponseKind.CANCELLED);
        }
    }
}
