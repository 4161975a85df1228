package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hibiscususher.core.job.JobState;

/** The jobs that tests submit to a simulated site, and the check that all of them end. */
final class SiteJobs {
    /** Period in which jobs are submitted, in milliseconds. */
    static final long LOAD_MS = 20_000;

    /** Period after the load in which all jobs must end, in milliseconds. */
    static final long DRAIN_MS = 25_000;

    private SiteJobs() {}

    /**
     * Schedules the submission of jobs of several kinds over {@link #LOAD_MS}.
     *
     * @return the ids of the submitted jobs that are not cancelled, filled while the site runs
     */
    static List<String> submitLoad(SchedulerSite site, Random random) {
        List<String> jobs = new ArrayList<>();
        site.run(1_000);
        for (int i = 0; i < 60; i++) {
            long atMs = random.nextInt((int) LOAD_MS);
            int tasks = 1 + random.nextInt(6);
            long taskMs = 100 + random.nextInt(900);
            boolean hasTwoSteps = random.nextBoolean();
            site.schedule(
                    atMs,
                    () ->
                            jobs.add(
                                    site.submit(
                                            hasTwoSteps
                                                    ? JobSpecs.twoSteps(tasks, taskMs)
                                                    : JobSpecs.oneStep(tasks, taskMs))));
        }
        site.schedule(500, () -> cancelLater(site, site.submit(JobSpecs.service(3)), 9_000));
        site.schedule(2_500, () -> cancelLater(site, site.submit(JobSpecs.oneStep(4, 3_000)), 700));
        return jobs;
    }

    private static void cancelLater(SchedulerSite site, String job, long delayMs) {
        site.schedule(delayMs, () -> site.cancel(job));
    }

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
