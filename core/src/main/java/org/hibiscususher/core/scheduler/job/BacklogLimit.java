package org.hibiscususher.core.scheduler.job;

import org.hibiscususher.core.scheduler.placement.StartPriority;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PoolBacklogRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Rejects a new job that would end too late to be of use.
 *
 * <p>Answers demand beyond the capacity of all hosts, under which jobs would wait longer and
 * longer. The expected wait is the estimated work of the waiting tasks that start before the job's,
 * divided by the processor capacity that services leave in the pool, with the hosts on their way to
 * it. So a team that floods a pool is rejected sooner than the others, whose jobs start before its
 * own. Rejected callers are told to retry when the backlog should have shrunk, with a jitter so
 * that they don't all return at the same time.
 */
final class BacklogLimit {
    /** Longest expected wait with which jobs are accepted, in milliseconds. */
    private static final long MAX_WAIT_MS = 15_000;

    /** Multiple of its objective after which the result of a job is of no use. */
    private static final int USEFUL_OBJECTIVES = 3;

    private static final long MAX_RETRY_AFTER_MS = 10_000;
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    /** Range of the jitter that is added to the retry time, in milliseconds. */
    private static final int RETRY_JITTER_MS = 2_000;

    private BacklogLimit() {}

    /**
     * Why a job is accepted or rejected.
     *
     * @param waitMs expected wait of the job, in milliseconds
     * @param maxWaitMs longest wait with which it is accepted, in milliseconds
     * @param overShare whether its team uses more than its share of the pool
     */
    record Decision(long waitMs, long maxWaitMs, boolean overShare) {
        /** Accepts a job whatever the backlog. */
        static final Decision ACCEPTED = new Decision(0, 0, false);

        /** Returns whether the job is rejected. */
        boolean rejects() {
            return waitMs > maxWaitMs;
        }

        /**
         * Returns after how many milliseconds the caller should retry, or 0 if the job is accepted.
         *
         * @param jitterSeed decides the jitter; should differ between callers
         */
        long retryAfterMs(int jitterSeed) {
            if (!rejects()) {
                return 0;
            }
            long afterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs - maxWaitMs);
            return Math.min(MAX_RETRY_AFTER_MS, afterMs)
                    + Math.floorMod(jitterSeed, RETRY_JITTER_MS);
        }
    }

    /**
     * Decides on a new job. Service tasks don't count towards the backlog, since they have no end;
     * the backlog at the times of a scheduled job isn't known yet.
     *
     * @param nowMs the time on the steady clock
     */
    static Decision decide(SchedulerWorld world, JobRow job, long nowMs) {
        if (!job.spec().isLimitedByBacklog()) {
            return Decision.ACCEPTED;
        }
        PoolBacklogRow backlog = PoolBacklogs.current(world, job.policy().pool(), nowMs);
        if (backlog.cpuMillis() == 0) {
            return Decision.ACCEPTED;
        }
        StartPriority priority = StartPriority.of(world, job, backlog.shares(), nowMs);
        long waitMs = backlog.coreMicrosAhead(priority) / backlog.cpuMillis();
        return new Decision(waitMs, maxWaitMs(job), backlog.shares().isOverShare(job.team()));
    }

    /** Returns the longest wait after which a job still ends in time to be of use. */
    private static long maxWaitMs(JobRow job) {
        long criticalPathMs = job.spec().criticalPathMs();
        long usefulMs = USEFUL_OBJECTIVES * job.policy().objectiveFor(criticalPathMs);
        return Math.max(0, Math.min(MAX_WAIT_MS, usefulMs - criticalPathMs));
    }
}
