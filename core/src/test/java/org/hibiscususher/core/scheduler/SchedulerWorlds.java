package org.hibiscususher.core.scheduler;

import java.util.List;
import java.util.stream.IntStream;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunTimeRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/** Creates the tables that tests of single systems start from. */
public final class SchedulerWorlds {
    private static final long FENCE = 50;
    private static final long LEASE_MS = 60_000;

    private SchedulerWorlds() {}

    /**
     * Returns the tables of an owner in generation 2, whose lease was granted at the given time.
     */
    public static SchedulerWorld ofOwner(long nowMs) {
        SchedulerWorld world =
                SchedulerWorld.create(
                        new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
        world.term()
                .set(
                        new TermRow(
                                TermStage.OWNING,
                                2,
                                FENCE,
                                7,
                                nowMs + LEASE_MS,
                                nowMs,
                                0,
                                0,
                                0,
                                false,
                                true));
        return world;
    }

    /**
     * Adds an executor that the store names among those in use.
     *
     * @param answeredMs when it last answered a heartbeat
     */
    public static void addExecutor(
            SchedulerWorld world, String id, String pool, Resources capacity, long answeredMs) {
        ExecutorReport report =
                new ExecutorReport(id, pool, id + ":1", "z", "h", List.of(), capacity, false, 0, 0);
        world.executors().put(id, new ExecutorRow(report, 1, 0, false, true, false, 0));
        world.executorSessions()
                .put(id, ExecutorSessionRow.initial(id, 0).withHeartbeatAnswered(1, 1, answeredMs));
    }

    /** Returns a stored job of one step that has started. One failed run fails it. */
    public static JobRow runningJob(String id, int tasks, long nowMs) {
        StepSpec step = StepSpec.of(tasks, Resources.of(1, 1, 0), 1, List.of());
        return new JobRow(
                new StoredRecord.Job(
                        id,
                        new JobPolicy("q", "p", 0, 1, 1, 500, false),
                        JobAddress.UNKNOWN,
                        "team",
                        JobSpec.once("x", List.of(step)),
                        nowMs),
                nowMs,
                JobState.RUNNING,
                true,
                JobState.RUNNING,
                0,
                0,
                nowMs,
                1,
                false,
                0);
    }

    /** Adds the run times of eight finished runs of a job's first step, on eight executors. */
    public static void addRunTimes(SchedulerWorld world, JobRow job, long durationMs) {
        RunTimeKey key = RunTimeKey.of(job, 0);
        long declaredMs = job.spec().steps().get(0).estimateMs();
        List<RunTimeSample> samples =
                IntStream.range(0, 8)
                        .mapToObj(i -> new RunTimeSample("e" + i, durationMs, declaredMs))
                        .toList();
        world.runTimes().put(key, RunTimeRow.of(key, samples, 0));
    }
}
