package org.hibiscususher.core.scheduler.world;

/**
 * Intervals and time limits of the scheduler, all in milliseconds.
 *
 * @param ownerTtlMs duration of the owner's lease
 * @param renewalIntervalMs time between two renewals of it
 * @param ownerGraceMs how long an owner that can't renew its lease continues to send orders to
 *     executors; a later owner waits that long before it restarts runs of executors out of its
 *     reach
 * @param executorLeaseMs duration of an executor's lease, renewed by heartbeats
 * @param maxExecutorLeaseMs longest lease that an executor grants; it shortens longer ones
 * @param startValidMs how long an executor may carry out a start order after it was sent
 * @param hostOrderGapMs how long a new owner waits before it orders a host that the earlier owner
 *     may have ordered
 * @param unavailableAfterMs absence after which a service task counts as unavailable
 */
public record SchedulerTiming(
        long ownerTtlMs,
        long renewalIntervalMs,
        long ownerGraceMs,
        long executorLeaseMs,
        long maxExecutorLeaseMs,
        long startValidMs,
        long hostOrderGapMs,
        long unavailableAfterMs) {
    /**
     * Time for which a job can be queried after it has finished, and for which the cancellation of
     * an unknown job is kept, in milliseconds.
     */
    public static final long JOB_RETENTION_MS = 180_000;

    /** The default times. */
    public static final SchedulerTiming DEFAULT =
            new SchedulerTiming(1_500, 400, 5_000, 4_000, 6_000, 1_500, 3_200, 4_500);
}
