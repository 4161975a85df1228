package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hibiscususher.core.scheduler.job.JobOwner.JOB;
import static org.hibiscususher.core.scheduler.job.JobOwner.SPEC;
import static org.hibiscususher.core.scheduler.job.JobOwner.queue;
import static org.hibiscususher.core.scheduler.job.JobOwner.request;

import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against accepted jobs that nobody can reach after the routes have changed. */
class RouteChangeTest {
    private static final String PATH = "/q/" + JOB;

    private final JobOwner mOwner = JobOwner.create();

    @BeforeEach
    void accept() {
        mOwner.accept(1, PATH);
        assertThat(mOwner.responseTo(1)).contains(JobResponseKind.ACCEPTED);
    }

    /** Asserts that a job can be queried, submitted again and cancelled under a path. */
    private static void assertReachable(JobOwner owner, String path) {
        assertThat(owner.ask(10, JobRequestKind.QUERY, path).kind())
                .isEqualTo(JobResponseKind.STATE);
        assertThat(owner.ask(11, JobRequestKind.SUBMIT, path).kind())
                .isEqualTo(JobResponseKind.ACCEPTED);
        owner.tick(10, request(12, JobRequestKind.CANCEL, path));
        owner.storeCommits(10);
        assertThat(owner.responseTo(12)).contains(JobResponseKind.CANCELLED);
        assertThat(owner.world().jobs().find(JOB).orElseThrow().state())
                .isEqualTo(JobState.CANCELLED);
        assertThat(owner.world().jobs().size()).isEqualTo(1);
    }

    private static long pending(JobOwner owner, long callId, String path) {
        JobResponse response = owner.ask(callId, JobRequestKind.QUERY, path);
        assertThat(response.kind()).isEqualTo(JobResponseKind.PENDING);
        return response.pending();
    }

    @Nested
    class QueueWithAnotherName {
        @Test
        void hasTheJobsThatWereSubmittedUnderItsPrefix() {
            mOwner.configure(queue("other", "/q/"));
            assertReachable(mOwner, PATH);
        }

        @Test
        void countsTheJobsThatWereSubmittedUnderItsPrefix() {
            mOwner.configure(queue("other", "/q/"), queue("q", "/else/"));
            assertThat(pending(mOwner, 20, "/q/")).isEqualTo(1);
            assertThat(pending(mOwner, 21, "/else/")).isZero();
        }

        @Test
        void hasThemAfterATakeover() {
            JobOwner next = JobOwner.takeOver(queue("other", "/q/"), mOwner.writtenRecords());
            assertThat(pending(next, 20, "/q/")).isEqualTo(1);
            assertReachable(next, PATH);
        }
    }

    @Nested
    class QueueThatWasWithdrawn {
        @BeforeEach
        void withdraw() {
            mOwner.configure(queue("else", "/else/"));
            assertThat(mOwner.ask(2, JobRequestKind.QUERY, PATH).kind())
                    .isEqualTo(JobResponseKind.NO_QUEUE);
        }

        @Test
        void hasItsJobsOnceItIsBackUnderAnotherName() {
            mOwner.configure(queue("third", "/q/"));
            assertThat(pending(mOwner, 20, "/q/")).isEqualTo(1);
            assertReachable(mOwner, PATH);
        }
    }

    @Nested
    class QueueWithAnotherPrefix {
        @Test
        void hasItsJobsThere() {
            mOwner.configure(queue("q", "/new/"));
            assertThat(pending(mOwner, 20, "/new/")).isEqualTo(1);
            assertReachable(mOwner, "/new/" + JOB);
        }

        @Test
        void hasTheJobsOfAShorterPrefix() {
            mOwner.configure(queue("q", "/q/"), queue("longer", "/q/0"));
            assertReachable(mOwner, PATH);
        }

        @Test
        void hasTheJobsOfALongerPrefix() {
            mOwner.configure(queue("shorter", "/"));
            assertThat(pending(mOwner, 20, "/")).isEqualTo(1);
            assertReachable(mOwner, PATH);
        }

        @Test
        void rejectsANewJobWhoseIdItsPrefixCutsOff() {
            mOwner.configure(queue("longer", "/q/0"));
            assertThat(mOwner.ask(30, JobRequestKind.SUBMIT, "/q/0000000000000002").kind())
                    .isEqualTo(JobResponseKind.INVALID);
        }
    }

    @Nested
    class QueueWithAnotherPool {
        /** Its tasks start on executors of a pool that is no longer declared. */
        @Test
        void leavesItsJobsWhereTheyWereAccepted() {
            String second = "0000000000000002";
            mOwner.tick(10, request(2, JobRequestKind.SUBMIT, "/q/" + second));
            mOwner.configure(queue("q", "/q/", "other"));
            assertThat(mOwner.startsRunOf(second)).isFalse();
            mOwner.storeCommits(10);
            assertThat(mOwner.startsRunOf(second)).isTrue();
        }
    }

    /** Records of a version that kept the name of the queue alone. */
    @Nested
    class JobWithoutAnAddress {
        private JobOwner takeOver(JobQueue queue) {
            JobPolicy policy = queue("q", "/q/").policy();
            return JobOwner.takeOver(
                    queue,
                    List.of(
                            new StoredRecord.Job(
                                    JOB, policy, JobAddress.UNKNOWN, "t", SPEC, 10_000)));
        }

        @Test
        void isReachableUnderItsQueue() {
            JobOwner next = takeOver(queue("q", "/q/"));
            assertThat(pending(next, 20, "/q/")).isEqualTo(1);
            assertReachable(next, PATH);
        }

        @Test
        void isReachableUnderAQueueWithAnotherName() {
            assertReachable(takeOver(queue("other", "/q/")), PATH);
        }
    }

    @Test
    void leavesOtherIdsUnknown() {
        mOwner.configure(queue("other", "/q/"));
        assertThat(mOwner.ask(20, JobRequestKind.QUERY, "/q/0000000000000002").kind())
                .isEqualTo(JobResponseKind.NO_JOB);
        assertThat(mOwner.ask(21, JobRequestKind.QUERY, "/q/1").kind())
                .isEqualTo(JobResponseKind.NO_JOB);
    }
}
