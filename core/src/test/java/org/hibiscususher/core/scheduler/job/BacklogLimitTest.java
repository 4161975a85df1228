package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PoolBacklogRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BacklogLimitTest {
    private static final long MAX_WAIT_MS = 15_000;

    private static long retryAfterMs(long waitMs, int jitterSeed) {
        return new BacklogLimit.Decision(waitMs, MAX_WAIT_MS, false).retryAfterMs(jitterSeed);
    }

    @Nested
    class RetryAfterMs {
        @Test
        void isZeroWhileExpectedWaitIsBelowLimit() {
            assertThat(retryAfterMs(14_000, 5)).isZero();
        }

        @Test
        void growsWithBacklogWithinItsBounds() {
            assertThat(retryAfterMs(20_000, 0)).isEqualTo(5_000);
            assertThat(retryAfterMs(15_001, 0)).isEqualTo(1_000);
            assertThat(retryAfterMs(90_000, 0)).isEqualTo(10_000);
        }
    }

    /**
     * Guards against rejected callers that all retry at the same time and overload the pool again.
     */
    @Nested
    class Jitter {
        @Test
        void spreadsRetriesOfCallersRejectedTogether() {
            Set<Long> times = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                times.add(retryAfterMs(30_000, Integer.toHexString(i * 7919).hashCode()));
            }
            assertThat(times.size()).isGreaterThan(50);
        }
    }

    /**
     * A pool whose waiting work takes ten seconds, most of it in one large job. Before, a job was
     * accepted whenever all of that would have ended within 15 s, whatever its own deadline, and as
     * if services left the whole pool to it.
     */
    @Nested
    class FullPool {
        private static final long NOW_MS = 50_000;
        private static final long HOST_CPU_MILLIS = 10_000;

        private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);
        private long mNowMs = NOW_MS;

        FullPool() {
            Resources host = Resources.of(HOST_CPU_MILLIS, 100_000, 0);
            SchedulerWorlds.addExecutor(mWorld, "x", "p", host, NOW_MS);
            addWaiting(job("large", "team", 90, 1_000, false));
            addWaiting(job("small", "team", 10, 1_000, false));
        }

        private JobRow job(String id, String team, int tasks, long taskMs, boolean service) {
            StepSpec step =
                    new StepSpec(
                            tasks,
                            Resources.of(1_000, 1, 0),
                            taskMs,
                            List.of(),
                            false,
                            false,
                            false,
                            "",
                            "",
                            0,
                            false,
                            service,
                            "",
                            0,
                            false,
                            0);
            JobSpec spec = JobSpec.once("x", List.of(step));
            JobPolicy policy = new JobPolicy("q", "p", 0, 3, 1.6, 600, false);
            return new JobRow(
                    new StoredRecord.Job(id, policy, JobAddress.UNKNOWN, team, spec, NOW_MS),
                    NOW_MS,
                    JobState.QUEUED,
                    true,
                    JobState.QUEUED,
                    0,
                    0,
                    NOW_MS,
                    1,
                    false,
                    0);
        }

        private void addWaiting(JobRow job) {
            mWorld.jobs().put(job.id(), job);
            StepKey step = new StepKey(job.id(), 0, 0);
            int count = job.spec().steps().get(0).count();
            for (int i = 0; i < count; i++) {
                mWorld.tasks()
                        .put(
                                step.task(i),
                                new TaskRow(
                                        step.task(i),
                                        "p",
                                        TaskState.WAITING,
                                        0,
                                        Set.of(),
                                        "",
                                        NOW_MS,
                                        0,
                                        "",
                                        false));
            }
        }

        /** Decides on a job after the backlog that the last decision was based on has aged. */
        private boolean accepts(JobRow job) {
            mNowMs += PoolBacklogs.MAX_AGE_MS;
            return !BacklogLimit.decide(mWorld, job, mNowMs).rejects();
        }

        @Test
        void acceptsAJobThatStartsBeforeMostOfWhatWaits() {
            assertThat(accepts(job("new", "team", 20, 100, false))).isTrue();
        }

        @Test
        void rejectsAJobThatWouldEndTooLateToBeOfUse() {
            assertThat(accepts(job("new", "team", 950, 100, false))).isFalse();
        }

        @Test
        void countsTheCapacityThatServicesHold() {
            JobRow accepted = job("new", "team", 30, 400, false);
            assertThat(accepts(accepted)).isTrue();
            JobRow service = job("service", "team", 8, 0, true);
            mWorld.jobs().put(service.id(), service);
            for (int i = 0; i < 8; i++) {
                TaskKey task = new StepKey("service", 0, 0).task(i);
                Resources demand = Resources.of(1_000, 1, 0);
                mWorld.runs()
                        .put(
                                task,
                                new RunRow(
                                        task,
                                        1,
                                        "x",
                                        "team",
                                        demand,
                                        demand,
                                        RunStage.RUNNING,
                                        StopReason.NONE,
                                        1,
                                        NOW_MS,
                                        NOW_MS,
                                        "",
                                        0,
                                        -1,
                                        100,
                                        NOW_MS));
            }
            assertThat(accepts(accepted)).isFalse();
        }

        @Test
        void acceptsJobsThatStartAtSetTimes() {
            JobRow once = job("new", "team", 950, 100, false);
            JobSpec spec = new JobSpec("x", once.spec().steps(), 3, NOW_MS + 60_000, 1_000);
            JobRow scheduled =
                    new JobRow(
                            new StoredRecord.Job(
                                    "new", once.policy(), JobAddress.UNKNOWN, "team", spec, NOW_MS),
                            NOW_MS,
                            JobState.QUEUED,
                            true,
                            JobState.QUEUED,
                            0,
                            0,
                            NOW_MS,
                            3,
                            false,
                            0);
            assertThat(accepts(once)).isFalse();
            assertThat(accepts(scheduled)).isTrue();
        }

        @Test
        void countsJobsThatTheStoreDoesNotHoldYet() {
            assertThat(accepts(job("new", "team", 30, 400, false))).isTrue();
            for (int i = 0; i < 30; i++) {
                JobRow accepted = job("accepted" + i, "team", 20, 400, false);
                mWorld.jobs().put(accepted.id(), JobRow.received(accepted.record(), mNowMs));
            }
            assertThat(accepts(job("new", "team", 30, 400, false))).isFalse();
        }

        @Test
        void countsJobsAcceptedSinceTheBacklogWasDerived() {
            JobRow last = job("new", "team", 30, 400, false);
            assertThat(BacklogLimit.decide(mWorld, last, NOW_MS).rejects()).isFalse();
            PoolBacklogRow derived = mWorld.poolBacklogs().find("p").orElseThrow();
            for (int i = 0; i < 30; i++) {
                PoolBacklogs.add(mWorld, job("accepted" + i, "team", 20, 400, false), NOW_MS);
            }
            assertThat(BacklogLimit.decide(mWorld, last, NOW_MS).rejects()).isTrue();
            assertThat(mWorld.poolBacklogs().find("p").orElseThrow().takenMs())
                    .isEqualTo(derived.takenMs());
        }

        /** Callers were told to return while the work ahead of them took half as long again. */
        @Test
        void expectsTheWaitThatRunTimesShow() {
            JobRow job = job("new", "team", 40, 400, false);
            assertThat(BacklogLimit.decide(mWorld, job, NOW_MS).waitMs()).isEqualTo(1_000);
            SchedulerWorlds.addRunTimes(mWorld, job("small", "team", 10, 1_000, false), 1_550);
            long laterMs = NOW_MS + PoolBacklogs.MAX_AGE_MS;
            assertThat(BacklogLimit.decide(mWorld, job, laterMs).waitMs()).isEqualTo(1_550);
        }

        @Test
        void acceptsServices() {
            assertThat(accepts(job("new", "team", 950, 0, true))).isTrue();
        }
    }
}
