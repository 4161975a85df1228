package org.hibiscususher.core.scheduler.job;

import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/**
 * Rejects new jobs of a pool whose backlog is too long.
 *
 * <p>Guards against demand beyond the capacity of all hosts, under which jobs would wait longer and
 * longer. The expected wait of a new job is the estimated work of the waiting tasks divided by the
 * processor capacity of the pool. Rejected callers are told to retry when the backlog should have
 * shrunk, with a jitter so that they don't all return at the same time.
 */
final class BacklogLimit {
    /** Longest expected wait with which jobs are accepted, in milliseconds. */
    private static final long MAX_WAIT_MS = 15_000;

    private static final long MAX_RETRY_AFTER_MS = 10_000;
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    /** Range of the jitter that is added to the retry time, in milliseconds. */
    private static final int RETRY_JITTER_MS = 2_000;

    private BacklogLimit() {}

    /**
     * Returns after how many milliseconds the caller of a job should retry, or 0 if the job is
     * accepted. Service tasks don't count towards the backlog, since they have no end.
     */
    static long retryAfterMs(SchedulerWorld world, String pool, String job) {
        long cpuMillis = 0;
        for (ExecutorRow row : world.executors().group(pool)) {
            cpuMillis += row.report().capacity().cpuMillis();
        }
        long workMillis = 0;
        for (TaskRow task : world.tasks().group(new TaskGroup(pool, TaskState.WAITING))) {
            StepSpec spec = JobLifecycle.findSpec(world, task.key().stepKey()).orElseThrow();
            workMillis += spec.service() ? 0 : spec.reserved().cpuMillis() * spec.estimateMs();
        }
        return cpuMillis == 0 ? 0 : retryAfterMs(workMillis / cpuMillis, job.hashCode());
    }

    /**
     * Returns after how many milliseconds a caller should retry, or 0 if its job is accepted.
     *
     * @param waitMs expected wait of a new job, in milliseconds
     * @param jitterSeed decides the jitter; should differ between callers
     */
    static long retryAfterMs(long waitMs, int jitterSeed) {
        if (waitMs <= MAX_WAIT_MS) {
            return 0;
        }
        long afterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs - MAX_WAIT_MS);
        return Math.min(MAX_RETRY_AFTER_MS, afterMs) + Math.floorMod(jitterSeed, RETRY_JITTER_MS);
    }
}
