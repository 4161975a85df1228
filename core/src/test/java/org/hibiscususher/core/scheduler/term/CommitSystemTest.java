package org.hibiscususher.core.scheduler.term;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CommitSystemTest {
    private static final long START_MS = 10_000;
    private static final JobPolicy POLICY = new JobPolicy("q", "p", 0, 2, 1, 500, false);
    private static final JobSpec SPEC =
            JobSpec.once("x", List.of(StepSpec.of(1, Resources.of(1, 1, 0), 1, List.of())));

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(START_MS);
    private long mCallId = 100;
    private long mNowMs = START_MS;

    /** Adds jobs that wait to be stored. */
    private void submit(int first, int count) {
        for (int i = first; i < first + count; i++) {
            String id = "j" + i;
            JobRow job =
                    new JobRow(
                            new StoredRecord.Job(
                                    id, POLICY, JobAddress.UNKNOWN, "team", SPEC, mNowMs),
                            mNowMs,
                            JobState.QUEUED,
                            false,
                            JobState.QUEUED,
                            0,
                            0,
                            mNowMs,
                            1,
                            false,
                            0);
            mWorld.jobs().put(id, job);
            JobRequest request =
                    JobRequest.of(JobRequestKind.SUBMIT, "h", "/" + id, "", Optional.of(SPEC));
            mWorld.pendingRequests()
                    .put(
                            (long) i,
                            PendingRequestRow.received(i, request, mNowMs, mNowMs)
                                    .awaitingStore(id, mNowMs));
        }
    }

    private List<Commit> tick(long afterMs, SchedulerInput... inputs) {
        mNowMs += afterMs;
        SchedulerTick tick =
                new SchedulerTick(mWorld, mNowMs, mNowMs, List.of(inputs), () -> ++mCallId);
        CommitSystem.handleResults(tick);
        CommitSystem.send(tick);
        return tick.outputs().stream()
                .filter(Commit.class::isInstance)
                .map(Commit.class::cast)
                .toList();
    }

    private boolean isStored(String job) {
        return mWorld.jobs().find(job).filter(JobRow::stored).isPresent();
    }

    private static RecordName nameOf(String job) {
        return RecordName.of(RecordKind.JOB, job);
    }

    private static LoadedRecord current(RecordName name, long revision) {
        return new LoadedRecord(name, revision, Optional.empty());
    }

    @Nested
    class Overlap {
        @Test
        void sendsFurtherRecordsWhileTheStoreIsSlow() {
            submit(0, 10);
            assertThat(tick(0)).hasSize(1);
            submit(10, 10);
            assertThat(tick(5)).isEmpty();
            assertThat(tick(30)).hasSize(1);
            submit(20, 10);
            assertThat(tick(30)).hasSize(1);
        }

        /**
         * Guards against a surge of submissions of which each tick stores one batch, however many
         * wait.
         */
        @Test
        void sendsFullBatchesAtOnceUpToTheLimit() {
            submit(0, 30);
            List<Commit> commits = tick(0);
            assertThat(commits).extracting(c -> c.writes().size()).containsExactly(13, 13);
            assertThat(tick(5)).isEmpty();
            submit(30, 200);
            assertThat(tick(1)).hasSize(6);
            assertThat(tick(1)).isEmpty();
        }

        /** Guards against a store that fails and gets all that waits at the first attempt. */
        @Test
        void sendsOneBatchToAStoreThatFails() {
            submit(0, 60);
            mWorld.storeHealth().set(mWorld.storeHealth().get().withFailure(mNowMs - 1_000));
            assertThat(tick(0)).hasSize(1);
            assertThat(tick(5)).isEmpty();
        }

        @Test
        void namesEachRecordInOneCommitOnly() {
            submit(0, 40);
            Set<RecordName> names = new HashSet<>();
            List<RecordName> all = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                for (Commit commit : tick(30)) {
                    commit.writes().forEach(w -> all.add(w.record().name()));
                }
            }
            names.addAll(all);
            assertThat(all).hasSize(40);
            assertThat(names).hasSize(40);
        }

        @Test
        void storesTheOthersWhileTheAnswerToOneIsLost() {
            submit(0, 1);
            Commit lost = tick(0).get(0);
            submit(1, 1);
            Commit next = tick(30).get(0);
            tick(10, new Committed(next.callId(), 40));
            assertThat(isStored("j1")).isTrue();
            assertThat(isStored("j0")).isFalse();
            Commit again = tick(400, new CommitFailed(lost.callId(), true, false)).get(0);
            assertThat(again.writes()).isEqualTo(lost.writes());
            tick(
                    10,
                    new CommitConflict(
                            again.callId(),
                            List.of(
                                    current(RecordName.TERM, mWorld.term().get().fence()),
                                    current(nameOf("j0"), 39))));
            assertThat(isStored("j0")).isTrue();
        }

        @Test
        void leavesRecordsOfWavesToOneCommitAtATime() {
            mWorld.pendingRecords()
                    .put(RecordName.EXECUTORS, new StoredRecord.Executors(List.of()));
            assertThat(tick(0)).hasSize(1);
            StoredRecord status = new StoredRecord.WaveStatus(1, true);
            mWorld.pendingRecords().put(status.name(), status);
            assertThat(tick(30)).isEmpty();
        }

        @Test
        void waitsForAllBeforeTheOwnershipIsReleased() {
            submit(0, 1);
            Commit first = tick(0).get(0);
            TermRow term = mWorld.term().get();
            mWorld.term().set(term.withStage(TermStage.RELEASING));
            assertThat(tick(30)).isEmpty();
            assertThat(tick(30, new Committed(first.callId(), 40))).hasSize(1);
        }
    }

    @Nested
    class Conflict {
        /**
         * Guards against a job that callers are told is accepted although the store lacks it. Its
         * commit got no answer, and the owner claimed a new term and kept its tables before the
         * commit was repeated.
         */
        @Test
        void afterANewTermDoesNotMeanThatTheCommitTookEffect() {
            submit(0, 1);
            Commit lost = tick(0).get(0);
            TermRow term = mWorld.term().get();
            long newFence = term.fence() + 10;
            mWorld.term()
                    .set(
                            new TermRow(
                                    TermStage.OWNING,
                                    term.generation() + 1,
                                    newFence,
                                    term.leaseId(),
                                    term.validUntilMs(),
                                    term.startedAtMs(),
                                    0,
                                    0,
                                    0,
                                    false,
                                    true));
            mWorld.revisions().put(RecordName.TERM, newFence);
            Commit again = tick(400, new CommitFailed(lost.callId(), true, false)).get(0);
            tick(
                    10,
                    new CommitConflict(
                            again.callId(),
                            List.of(current(RecordName.TERM, newFence), current(nameOf("j0"), 0))));
            List<Commit> next = tick(200);
            assertThat(isStored("j0")).isFalse();
            assertThat(next).hasSize(1);
            assertThat(next.get(0).guards().get(0).revision()).isEqualTo(newFence);
        }
    }
}
