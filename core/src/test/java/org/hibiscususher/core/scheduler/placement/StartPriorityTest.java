package org.hibiscususher.core.scheduler.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StartPriorityTest {
    private static final int SLOTS = 20;

    private static StartPriority priority(
            boolean canMeetDeadline, long remainingCoreMs, long arrivedMs) {
        return new StartPriority(false, 0, canMeetDeadline, false, remainingCoreMs, arrivedMs);
    }

    @Nested
    class Comparison {
        @Test
        void putsServicesAndUrgentQueuesFirst() {
            StartPriority service = new StartPriority(true, 0, true, false, 0, 9);
            StartPriority urgent = new StartPriority(false, 0, false, false, 9, 9);
            StartPriority other = new StartPriority(false, 1, true, false, 1, 1);
            assertThat(service).isLessThan(urgent);
            assertThat(urgent).isLessThan(other);
        }

        @Test
        void putsLeastRemainingWorkFirstAmongJobsThatCanMeetTheirDeadline() {
            assertThat(priority(true, 10, 5)).isLessThan(priority(true, 20, 1));
        }

        @Test
        void putsOldestFirstAmongJobsThatMissTheirDeadline() {
            assertThat(priority(false, 20, 1)).isLessThan(priority(false, 10, 5));
            assertThat(priority(true, 100, 9)).isLessThan(priority(false, 1, 1));
        }
    }

    /** Two jobs of different queues, whose estimates are the same. */
    @Nested
    class LearnedRunTimes {
        private static final long NOW_MS = 50_000;

        private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

        private JobRow job(String queue) {
            StepSpec step = StepSpec.of(4, Resources.of(1_000, 1, 0), 500, List.of());
            JobPolicy policy = new JobPolicy(queue, "p", 0, 3, 1.6, 600, false);
            JobSpec spec = JobSpec.once("x", List.of(step));
            return JobRow.received(
                    new StoredRecord.Job(queue, policy, JobAddress.UNKNOWN, "t", spec, 0), NOW_MS);
        }

        private StartPriority of(JobRow job) {
            return StartPriority.of(mWorld, job, TeamShares.of(mWorld, "p"), NOW_MS);
        }

        /** Jobs that take twice as long as estimated held up those that don't. */
        @Test
        void putTheJobLastThatTakesLonger() {
            assertThat(of(job("a"))).isEqualByComparingTo(of(job("b")));
            SchedulerWorlds.addRunTimes(mWorld, job("a"), 1_000);
            assertThat(of(job("a"))).isGreaterThan(of(job("b")));
            assertThat(of(job("a")).remainingCoreMs()).isEqualTo(4_000);
            assertThat(of(job("a")).canMeetDeadline()).isTrue();
        }

        /** A job that can't end in time took the place of one that could. */
        @Test
        void tellThatADeadlineCannotBeMet() {
            SchedulerWorlds.addRunTimes(mWorld, job("a"), 2_000);
            assertThat(of(job("a")).canMeetDeadline()).isFalse();
            assertThat(of(job("b")).canMeetDeadline()).isTrue();
        }
    }

    /** Jobs that demand four times the capacity of their pool, for 4.5 seconds. */
    @Nested
    class Overload {
        /**
         * Returns how many jobs meet their deadline when they run one after another.
         *
         * @param jobs arrival time and duration of each job, in milliseconds
         * @param byPriority whether they start by priority instead of first come, first served
         */
        private int countInTime(List<long[]> jobs, boolean byPriority) {
            long nowMs = 0;
            int inTime = 0;
            List<long[]> waiting = new ArrayList<>();
            int next = 0;
            while (next < jobs.size() || !waiting.isEmpty()) {
                while (next < jobs.size() && jobs.get(next)[0] <= nowMs) {
                    waiting.add(jobs.get(next++));
                }
                if (waiting.isEmpty()) {
                    nowMs = jobs.get(next)[0];
                    continue;
                }
                long[] first = waiting.get(0);
                if (byPriority) {
                    long now = nowMs;
                    first =
                            Collections.min(
                                    waiting,
                                    (a, b) -> priorityOf(a, now).compareTo(priorityOf(b, now)));
                }
                waiting.remove(first);
                nowMs += first[1];
                inTime += nowMs <= first[0] + objectiveMs(first) ? 1 : 0;
            }
            return inTime;
        }

        /** Returns the time from the arrival of a job to its deadline. */
        private long objectiveMs(long[] job) {
            return job[1] * SLOTS * 16 / 10 / SLOTS + 600;
        }

        private StartPriority priorityOf(long[] job, long nowMs) {
            return priority(nowMs + job[1] <= job[0] + objectiveMs(job), job[1], job[0]);
        }

        @Test
        void meetsMoreThanTwiceTheDeadlinesOfFirstComeFirstServed() {
            Random random = new Random(7);
            List<long[]> jobs = new ArrayList<>();
            for (long atMs = 0; atMs < 4_500; atMs += 25) {
                jobs.add(new long[] {atMs, 20 + random.nextInt(160)});
            }
            assertThat(countInTime(jobs, true)).isGreaterThan(2 * countInTime(jobs, false));
        }
    }
}
