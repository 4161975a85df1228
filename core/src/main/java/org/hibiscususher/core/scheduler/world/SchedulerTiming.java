package org.hibiscususher.core.scheduler.world;

/**
 * Times of the scheduler, all in milliseconds.
 *
 * @param ownerTtlMs lease of the ownership
 * @param renewalIntervalMs time between two renewals of it
 * @param ownerGraceMs how long an owner whose lease could not be renewed goes on
 * @param executorLeaseMs lease of executors, extended again and again
 * @param startValidMs how long an order to start a run is valid
 * @param hostOrderGapMs rest before a new owner gives orders for hosts that the earlier one may
 *     have ordered
 * @param unavailableAfterMs absence after which a lasting task counts as away
 */
public record SchedulerTiming(
        long ownerTtlMs,
        long renewalIntervalMs,
        long ownerGraceMs,
        long executorLeaseMs,
        long startValidMs,
        long hostOrderGapMs,
        long unavailableAfterMs) {
    /** The usual times. */
    public static final SchedulerTiming DEFAULT =
            new SchedulerTiming(1_500, 400, 5_000, 4_000, 1_500, 3_200, 4_500);
}
