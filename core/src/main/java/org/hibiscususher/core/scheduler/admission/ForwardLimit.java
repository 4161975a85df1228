package org.hibiscususher.core.scheduler.admission;

import org.hibiscususher.core.scheduler.world.ForwardLimitRow;

/**
 * Decides how many unanswered submissions an entry may have at the owner, and whose.
 *
 * <p>Protects the owner from submissions that come faster than it can decide on them. They would
 * wait in its queue until their callers give up, and the renewal of its lease behind them.
 */
final class ForwardLimit {
    /** Age of the owner's oldest request below which the limit grows, in milliseconds. */
    private static final long SHORT_QUEUE_MS = 50;

    /** Age of the owner's oldest request above which the limit is halved, in milliseconds. */
    private static final long LONG_QUEUE_MS = 150;

    /**
     * Time between two reductions, in milliseconds. Answers that the owner had queued before the
     * first reduction would otherwise bring the limit to its least.
     */
    private static final long REDUCTION_INTERVAL_MS = 100;

    /** Multiple of the limit up to which teams within their part of it pass. */
    private static final int MAX_TOTAL_FACTOR = 2;

    private ForwardLimit() {}

    /**
     * Returns whether a submission of a team may be forwarded: below the limit any, beyond it those
     * of teams that have fewer than an even part of it, so that a flood of one team is refused
     * first. What a team has beyond its part, as after a reduction, doesn't count against others.
     */
    static boolean admits(ForwardLimitRow row, UnansweredForwards unanswered, String team) {
        int evenPart = Math.max(1, row.limit() / unanswered.teamsWith(team));
        return unanswered.total() < row.limit()
                || unanswered.of(team) < evenPart
                        && unanswered.totalWithin(evenPart) < MAX_TOTAL_FACTOR * row.limit();
    }

    /**
     * Returns the limit after an answer of the owner.
     *
     * @param queueMs age of the oldest request in its queue, in milliseconds
     * @param unanswered number of unanswered submissions, with the answered one; the limit grows
     *     only if half of it is in use
     */
    static ForwardLimitRow afterAnswer(
            ForwardLimitRow row, long queueMs, int unanswered, long nowMs) {
        if (queueMs > LONG_QUEUE_MS) {
            return reduce(row, nowMs);
        }
        boolean inUse = 2 * unanswered >= row.limit();
        return queueMs < SHORT_QUEUE_MS && inUse ? row.increased() : row;
    }

    /** Returns the limit after a forwarded request that was not answered in time. */
    static ForwardLimitRow afterTimeout(ForwardLimitRow row, long nowMs) {
        return reduce(row, nowMs);
    }

    private static ForwardLimitRow reduce(ForwardLimitRow row, long nowMs) {
        boolean reducedLately =
                row.reducedMs() != 0 && nowMs - row.reducedMs() < REDUCTION_INTERVAL_MS;
        return reducedLately ? row : row.halved(nowMs);
    }
}
