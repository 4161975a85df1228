package org.hibiscususher.core.scheduler.world;

/**
 * Times of the scheduler, all in milliseconds.
 *
 * @param ownerTtlMs lease of the ownership
 * @param renewMs time between two renewals of it
 * @param graceMs how long an owner whose lease could not be renewed goes on
 * @param holdMs lease of executors, extended again and again
 * @param startValidMs how long an order to start a run is valid
 * @param hostOrderGapMs rest before a new owner gives orders for hosts that the earlier one may
 *     have ordered
 * @param noticeMs absence after which a lasting task counts as away
 */
public record SchedulerTiming(
        long ownerTtlMs,
        long renewMs,
        long graceMs,
        long holdMs,
        long startValidMs,
        long hostOrderGapMs,
        long noticeMs) {
    /** The usual times. */
    public static final SchedulerTiming USUAL =
            new SchedulerTiming(1_500, 400, 5_000, 4_000, 1_500, 3_200, 4_500);
}
