package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.JobState;

/** Assertions on a simulated site. */
final class SiteAssertions {
    private SiteAssertions() {}

    /** Asserts that all jobs were accepted and have ended, and that no invariant was violated. */
    static void assertAllEnded(SchedulerSite site, List<String> jobs) {
        assertThat(site.invariants().violations()).isEmpty();
        assertThat(site.invariants().acceptedJobs()).containsAll(jobs);
        for (String job : jobs) {
            assertThat(site.stateOf(job)).as(job).isIn(JobState.DONE, JobState.FAILED);
        }
        assertThat(site.invariants().violations()).isEmpty();
    }
}
