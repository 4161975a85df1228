package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.control.Scheduler;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StartRun;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests about a job to an owner that has one executor. */
class JobRequestDecisionTest {
    private static final long START_MS = 10_000;
    private static final long FENCE = 5;
    private static final String JOB = "0000000000000001";
    private static final RecordName RECORD = RecordName.of(RecordKind.JOB, JOB);
    private static final JobSpec SPEC =
            JobSpec.once("x", List.of(StepSpec.of(1, Resources.of(1, 1, 0), 100, List.of())));

    private final Scheduler mScheduler =
            Scheduler.create(
                    new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
    private final SchedulerWorld mWorld = mScheduler.world();
    private final List<SchedulerOutput> mOutputs = new ArrayList<>();
    private long mNowMs = START_MS;

    @BeforeEach
    void setUp() {
        setLeaseLeft(60_000);
        JobPolicy policy = new JobPolicy("q", "p", 0, 3, 2, 500, false);
        JobConfiguration configuration =
                new JobConfiguration(
                        1,
                        List.of(new JobQueue("host", "/q/", true, policy)),
                        List.of(new JobPool("p", true, false)),
                        List.of(new JobTeam("t", 1, Resources.NONE, Set.of("key"))));
        tick(0, new ConfigurationUpdated(configuration, 1));
        SchedulerWorlds.addExecutor(mWorld, "x", "p", Resources.of(9_000, 9, 0), mNowMs);
    }

    private void setLeaseLeft(long leftMs) {
        mWorld.term()
                .set(
                        new TermRow(
                                TermStage.OWNING,
                                2,
                                FENCE,
                                7,
                                mNowMs + leftMs,
                                START_MS,
                                0,
                                0,
                                0,
                                false,
                                true));
    }

    private void tick(long afterMs, SchedulerInput... inputs) {
        mNowMs += afterMs;
        mOutputs.addAll(mScheduler.tick(mNowMs, mNowMs, List.of(inputs)));
    }

    private static RequestReceived request(long callId, JobRequestKind kind, String job) {
        Optional<JobSpec> spec =
                kind == JobRequestKind.SUBMIT ? Optional.of(SPEC) : Optional.empty();
        return new RequestReceived(callId, JobRequest.of(kind, "host", "/q/" + job, "key", spec));
    }

    /** Returns the kind of the response to a call; empty if it has none yet. */
    private Optional<JobResponseKind> responseTo(long callId) {
        return mOutputs.stream()
                .filter(o -> o instanceof Respond respond && respond.callId() == callId)
                .map(o -> ((Respond) o).response())
                .map(JobResponse::kind)
                .findFirst();
    }

    private Commit lastCommit() {
        return mOutputs.stream()
                .filter(Commit.class::isInstance)
                .map(Commit.class::cast)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private boolean startsRuns() {
        return mOutputs.stream().anyMatch(StartRun.class::isInstance);
    }

    /** Guards against a job that runs although its cancellation was answered as unknown. */
    @Nested
    class JobWhoseCommitIsInFlight {
        private Commit mCommit;

        @BeforeEach
        void submit() {
            tick(10, request(1, JobRequestKind.SUBMIT, JOB));
            mCommit = lastCommit();
            tick(1_300);
            assertThat(responseTo(1)).contains(JobResponseKind.UNKNOWN);
        }

        @Test
        void isCancelledOnceItIsStored() {
            tick(10, request(2, JobRequestKind.CANCEL, JOB));
            assertThat(responseTo(2)).isEmpty();
            tick(50, new Committed(mCommit.callId(), 40));
            tick(50);
            assertThat(responseTo(2)).isEmpty();
            tick(50, new Committed(lastCommit().callId(), 41));
            assertThat(responseTo(2)).contains(JobResponseKind.CANCELLED);
            tick(1_000);
            assertThat(startsRuns()).isFalse();
        }

        @Test
        void doesNotRunIfTheCancellationWasAnsweredAsOfUnknownOutcome() {
            tick(10, request(2, JobRequestKind.CANCEL, JOB));
            tick(1_300);
            assertThat(responseTo(2)).contains(JobResponseKind.UNKNOWN);
            tick(3_000, new Committed(mCommit.callId(), 40));
            tick(1_000);
            assertThat(startsRuns()).isFalse();
        }

        @Test
        void isUnknownOnceItsCommitCertainlyHadNoEffect() {
            tick(10, request(2, JobRequestKind.CANCEL, JOB));
            tick(10, request(3, JobRequestKind.QUERY, JOB));
            tick(
                    10,
                    new CommitConflict(
                            mCommit.callId(),
                            List.of(new LoadedRecord(RECORD, 0, Optional.empty()))));
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
            assertThat(responseTo(3)).contains(JobResponseKind.NO_JOB);
            assertThat(mWorld.jobs().contains(JOB)).isFalse();
        }

        @Test
        void hasAStateOnceItIsStored() {
            tick(10, request(2, JobRequestKind.QUERY, JOB));
            assertThat(responseTo(2)).isEmpty();
            tick(50, new Committed(mCommit.callId(), 40));
            assertThat(responseTo(2)).contains(JobResponseKind.STATE);
        }
    }

    @Nested
    class JobThatIsRefused {
        @Test
        void isUnknownToACancellationThatWaits() {
            tick(10, request(1, JobRequestKind.SUBMIT, JOB));
            tick(10, request(2, JobRequestKind.CANCEL, JOB));
            for (int i = 0; i < 5; i++) {
                tick(200, new CommitFailed(lastCommit().callId(), false, false));
            }
            assertThat(responseTo(1)).contains(JobResponseKind.UNAVAILABLE);
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
        }
    }

    /** Guards against an owner that denies a job which a later owner has accepted. */
    @Nested
    class LeaseThatMayHaveRunOut {
        @BeforeEach
        void runOut() {
            tick(10);
            setLeaseLeft(-100);
        }

        @Test
        void leavesTheAnswerOpenUntilItIsRenewed() {
            tick(
                    10,
                    request(1, JobRequestKind.CANCEL, JOB),
                    request(2, JobRequestKind.QUERY, JOB),
                    request(3, JobRequestKind.QUERY, ""));
            assertThat(responseTo(1)).isEmpty();
            assertThat(responseTo(2)).isEmpty();
            assertThat(responseTo(3)).isEmpty();
            setLeaseLeft(1_000);
            tick(10);
            assertThat(responseTo(1)).contains(JobResponseKind.NO_JOB);
            assertThat(responseTo(2)).contains(JobResponseKind.NO_JOB);
            assertThat(responseTo(3)).contains(JobResponseKind.PENDING);
        }

        @Test
        void isNotWaitedForLong() {
            tick(10, request(1, JobRequestKind.CANCEL, JOB));
            tick(200);
            assertThat(responseTo(1)).contains(JobResponseKind.UNAVAILABLE);
        }

        @Test
        void doesNotMatterForAFinalStateThatIsStored() {
            setLeaseLeft(1_000);
            tick(10, request(1, JobRequestKind.SUBMIT, JOB));
            tick(30, new Committed(lastCommit().callId(), 40));
            tick(30, new Committed(lastCommit().callId(), 41));
            assertThat(responseTo(1)).contains(JobResponseKind.ACCEPTED);
            mWorld.jobs()
                    .update(
                            JOB,
                            j ->
                                    j.withState(JobState.DONE, mNowMs)
                                            .withStoredVersion(1, JobState.DONE, mNowMs));
            setLeaseLeft(-100);
            tick(10, request(2, JobRequestKind.CANCEL, JOB));
            assertThat(responseTo(2)).contains(JobResponseKind.CANCELLED);
        }
    }
}
