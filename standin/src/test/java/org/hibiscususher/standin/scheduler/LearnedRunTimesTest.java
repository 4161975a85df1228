package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** All runs on a site of four executors take four times as long as estimated. */
class LearnedRunTimesTest {
    private final SchedulerSite mSite = SchedulerSite.create(3, 4, 5);

    /** One task of each is sampled. */
    private static final int JOBS = 16;

    private void runJobs() {
        for (ExecutorReport report : mSite.reports()) {
            mSite.executor(report.id()).setRunTimeFactor(4);
        }
        mSite.run(1_500);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add(mSite.submit(JobSpecs.spread(4, 100)));
            mSite.run(1_000);
        }
        assertThat(jobs).allMatch(job -> mSite.stateOf(job) == JobState.DONE);
    }

    private long countLines(String part) {
        return mSite.logLines().stream().filter(line -> line.contains(part)).count();
    }

    @Nested
    class Takeover {
        /** Each new owner began with an empty table, and learned the same anew. */
        @Test
        void keepsThem() {
            runJobs();
            assertThat(countLines("source=CORRECTED")).isPositive();
            mSite.kill(mSite.owner().orElseThrow(), 20_000);
            mSite.run(4_000);
            assertThat(mSite.owner()).isPresent();
            assertThat(countLines("restored=1")).isEqualTo(1);
            assertThat(mSite.invariants().violations()).isEmpty();
        }
    }
}
