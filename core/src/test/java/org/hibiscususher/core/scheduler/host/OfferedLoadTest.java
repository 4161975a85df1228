package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OfferedLoadTest {
    private static final long START_MS = 50_000;
    private static final JobPolicy POLICY = new JobPolicy("q", "p", 0, 3, 1.6, 600, false);

    /** Jobs of one second on ten cores each, which begin to arrive at once. */
    @Nested
    class SurgeOnset {
        private static final long JOB_CORE_MILLIS = 10_000;

        private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(START_MS);
        private final List<JobRow> mJobs = new ArrayList<>();

        private long mArrivedMs = START_MS;

        private void arrive(int jobsPerSecond, long forMs) {
            for (long i = 0; i * 1_000 < forMs * jobsPerSecond; i++) {
                StepSpec step =
                        StepSpec.of(1, Resources.of(JOB_CORE_MILLIS, 1, 0), 1_000, List.of());
                long atMs = mArrivedMs + i * 1_000 / jobsPerSecond;
                mJobs.add(
                        new JobRow(
                                new StoredRecord.Job(
                                        "j" + mJobs.size(),
                                        POLICY,
                                        JobAddress.UNKNOWN,
                                        "t",
                                        JobSpec.once("x", List.of(step)),
                                        atMs),
                                atMs,
                                JobState.QUEUED,
                                true,
                                JobState.QUEUED,
                                0,
                                0,
                                atMs,
                                1,
                                false,
                                0));
            }
            mArrivedMs += forMs;
        }

        private double seenJobsPerSecond(long afterMs) {
            long cpuMillis =
                    OfferedLoad.byPool(mWorld, mJobs, START_MS + afterMs).getOrDefault("p", 0L);
            return (double) cpuMillis / JOB_CORE_MILLIS;
        }

        /** It was seen in full only after a second. */
        @Test
        void isSeenWithinAThirdOfASecondWhereJobsAreMany() {
            arrive(60, 300);
            assertThat(seenJobsPerSecond(300)).isBetween(50.0, 70.0);
        }

        /** Otherwise hosts stay that the surge of another queue needs. */
        @Test
        void isAveragedOverASecondAsSoonAsItNoLongerRises() {
            arrive(60, 700);
            arrive(90, 300);
            assertThat(seenJobsPerSecond(1_000)).isBetween(60.0, 75.0);
        }

        @Test
        void isAveragedOverASecondWhereJobsAreFew() {
            arrive(10, 300);
            assertThat(seenJobsPerSecond(300)).isBetween(2.0, 4.0);
        }

        /** Hosts came for half of the work if it took twice as long as estimated. */
        @Test
        void countsTheWorkThatIsLearned() {
            arrive(10, 300);
            SchedulerWorlds.addRunTimes(mWorld, mJobs.get(0), 2_000);
            assertThat(seenJobsPerSecond(300)).isBetween(5.0, 7.0);
        }

        @Test
        void isForgottenAfterASecond() {
            arrive(60, 300);
            assertThat(seenJobsPerSecond(1_400)).isZero();
        }
    }
}
