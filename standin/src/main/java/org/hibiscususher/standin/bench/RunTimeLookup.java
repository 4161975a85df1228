package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;
import org.hibiscususher.core.scheduler.estimate.RunTimes;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunTimeRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** Measures how long a look-up of an expected run time takes in a full table. */
final class RunTimeLookup {
    private static final int ROUNDS = 5;
    private static final int LOOKUPS = 2_000_000;

    private RunTimeLookup() {}

    /** Returns the time of a look-up in nanoseconds, in the best of some rounds. */
    static long bestNanos() {
        SchedulerWorld world =
                SchedulerWorld.create(
                        new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
        List<JobRow> jobs = new ArrayList<>();
        List<RunTimeSample> samples =
                IntStream.range(0, RunTimeRow.MAX_SAMPLES)
                        .mapToObj(i -> new RunTimeSample("e" + i % 8, 900, 300))
                        .toList();
        for (int i = 0; i < RunTimes.MAX_ROWS; i++) {
            JobRow job = job("q" + i);
            jobs.add(job);
            RunTimeKey key = RunTimeKey.of(job, 0);
            world.runTimes().put(key, RunTimeRow.of(key, samples, 0));
        }
        long best = Long.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            best = Math.min(best, nanos(world, jobs));
        }
        return best;
    }

    private static JobRow job(String queue) {
        StepSpec step = StepSpec.of(8, Resources.of(1_000, 100, 0), 300, List.of());
        JobPolicy policy = new JobPolicy(queue, "p", 0, 2, 1, 500, false);
        JobSpec spec = JobSpec.once("run", List.of(step));
        return JobRow.received(
                new StoredRecord.Job(queue, policy, JobAddress.UNKNOWN, "team", spec, 0), 0);
    }

    private static long nanos(SchedulerWorld world, List<JobRow> jobs) {
        long startedNanos = System.nanoTime();
        long sum = 0;
        for (int i = 0; i < LOOKUPS; i++) {
            sum += RunTimes.expect(world, jobs.get(i % jobs.size()), 0).medianMs();
        }
        if (sum != 900L * LOOKUPS) {
            throw new IllegalStateException("a look-up missed its row");
        }
        return (System.nanoTime() - startedNanos) / LOOKUPS;
    }
}
