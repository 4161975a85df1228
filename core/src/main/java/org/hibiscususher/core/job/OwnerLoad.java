package org.hibiscususher.core.job;

/**
 * The load of the owner when it decided on a forwarded request, by which other entries limit what
 * they forward.
 *
 * @param queueMs age of the oldest submission in the owner's request queue, in milliseconds
 * @param rejectMs time for which submissions of the same team to the same queue are refused too, in
 *     milliseconds; 0 if the refusal concerns this submission alone
 * @param minWorkCoreMs least work of the submissions that are refused too, in core-milliseconds
 */
public record OwnerLoad(long queueMs, long rejectMs, long minWorkCoreMs) {
    /** Longest time for which an owner extends a refusal to other submissions, in milliseconds. */
    public static final long MAX_REJECT_MS = 250;

    /** Rejects negative components, which another build may have sent. */
    public OwnerLoad {
        if (queueMs < 0 || rejectMs < 0 || minWorkCoreMs < 0) {
            throw new IllegalArgumentException("negative load");
        }
    }

    /** Returns the load of an owner whose refusal, if any, concerns one submission alone. */
    public static OwnerLoad ofQueue(long queueMs) {
        return new OwnerLoad(queueMs, 0, 0);
    }

    /**
     * Returns this load with a refusal that concerns further submissions.
     *
     * @param forMs time for which they are refused, in milliseconds; at most {@link #MAX_REJECT_MS}
     *     of it counts
     * @param workCoreMs least work of these submissions, in core-milliseconds
     */
    public OwnerLoad rejecting(long forMs, long workCoreMs) {
        return new OwnerLoad(
                queueMs, Math.max(0, Math.min(MAX_REJECT_MS, forMs)), Math.max(0, workCoreMs));
    }
}
