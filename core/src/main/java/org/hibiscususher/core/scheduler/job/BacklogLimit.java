package org.hibiscususher.core.scheduler.job;

import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/**
 * Turns jobs away that a pool could not begin for a long time.
 *
 * <p>Answers demand beyond what all hosts can hold: the work that waits, against the processor time
 * of the pool, tells how long a new job would wait. Callers are told to come back when the backlog
 * has shrunk, each at another time, so that they do not come together.
 */
final class BacklogLimit {
    /** Longest time that the work of a pool may wait, in milliseconds. */
    private static final long MAX_WAIT_MS = 15_000;

    private static final long MAX_RETRY_AFTER_MS = 10_000;
    private static final long MIN_RETRY_AFTER_MS = 1_000;
    private static final int SPREAD_MS = 2_000;

    private BacklogLimit() {}

    /** Returns when the caller of a job should come back, or 0 if the job is taken now. */
    static long retryAfterMs(SchedulerWorld world, String pool, String job) {
        long cpu = 0;
        for (ExecutorRow row : world.executors().group(pool)) {
            cpu += row.report().capacity().cpuMillis();
        }
        long work = 0;
        for (TaskRow task : world.tasks().group(new TaskGroup(pool, TaskState.WAITING))) {
            StepSpec spec = JobLifecycle.findSpec(world, task.key().stepKey()).orElseThrow();
            work += spec.service() ? 0 : spec.reserved().cpuMillis() * spec.estimateMs();
        }
        return cpu == 0 ? 0 : retryAfterMs(work / cpu, job.hashCode());
    }

    /**
     * Returns when a caller should come back, or 0 if its job is taken now.
     *
     * @param waitMs how long the work that waits takes
     * @param seed spreads the times of several callers
     */
    static long retryAfterMs(long waitMs, int seed) {
        if (waitMs <= MAX_WAIT_MS) {
            return 0;
        }
        long afterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs - MAX_WAIT_MS);
        return Math.min(MAX_RETRY_AFTER_MS, afterMs) + Math.floorMod(seed, SPREAD_MS);
    }
}
