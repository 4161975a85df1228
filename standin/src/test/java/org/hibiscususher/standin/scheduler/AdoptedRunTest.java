package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.JobState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A new owner adopts the last run of a task whose earlier runs have failed. */
class AdoptedRunTest {
    private static final long TASK_MS = 800;

    private final SchedulerSite mSite = SchedulerSite.create(3, 4, 41);

    private String executorOfFirstRun() {
        String start = "event=start ";
        String line =
                mSite.logLines().stream()
                        .filter(l -> l.contains(start) && l.contains(" run=1 "))
                        .findFirst()
                        .orElseThrow();
        return line.replaceAll(".* executor=(\\S+) .*", "$1");
    }

    @Nested
    class Failure {
        /**
         * Guards against a run too many: the store is silent, so that no failure is stored, and the
         * executor with the first one answers the new owner last.
         */
        @ParameterizedTest
        @ValueSource(longs = {2_500, 3_000})
        void waitsForTheFailuresOfSilentExecutors(long silentMs) {
            mSite.run(1_500);
            List.of("x0", "x1", "x2", "x3").forEach(x -> mSite.failAllRuns(x, 60_000));
            String job = mSite.submit(JobSpecs.oneStep(1, TASK_MS));
            mSite.run(100);
            String owner = mSite.owner().orElseThrow();
            mSite.storeDown(1_950);
            mSite.run(TASK_MS + 100);
            mSite.silenceExecutor(executorOfFirstRun(), silentMs);
            mSite.run(TASK_MS + 150);
            mSite.kill(owner, 20_000);
            mSite.run(SiteJobs.DRAIN_MS);
            assertThat(mSite.invariants().violations()).isEmpty();
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.FAILED);
        }
    }
}
