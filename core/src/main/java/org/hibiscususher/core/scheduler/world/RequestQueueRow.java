package org.hibiscususher.core.scheduler.world;

/**
 * For how long requests wait until this process decides on them.
 *
 * <p>Time does not pass for the tables within a tick. Submissions that arrive together wait for
 * each other all the same, so the time that each needs is estimated: a request that arrived during
 * a tick waited for that tick's submissions.
 *
 * @param oldestMs age of the oldest request at the start of the tick, in milliseconds
 * @param decided number of submissions that the tick has decided on so far
 * @param costMicros estimated time that the decision on one submission takes, in microseconds
 */
public record RequestQueueRow(long oldestMs, int decided, long costMicros) {
    /** The queue of a process that has decided on nothing yet. */
    public static final RequestQueueRow EMPTY = new RequestQueueRow(0, 0, 0);

    /** Submissions in a tick from which on they account for most of its time. */
    private static final int MIN_SAMPLE = 16;

    /**
     * Greatest cost of a submission, in microseconds. A tick that took longer for each was delayed
     * by something else, such as a pause of the process.
     */
    private static final long MAX_COST_MICROS = 5_000;

    private static final long MICROS_PER_MS = 1_000;

    /**
     * Returns the queue at the start of the next tick. After a tick with few submissions, what a
     * submission costs is forgotten by half.
     *
     * @param newOldestMs age of the oldest request that arrived since the start of the last tick
     */
    public RequestQueueRow nextTick(long newOldestMs) {
        long cost =
                decided < MIN_SAMPLE
                        ? costMicros / 2
                        : Math.min(MAX_COST_MICROS, newOldestMs * MICROS_PER_MS / decided);
        return new RequestQueueRow(newOldestMs, 0, cost);
    }

    /** Returns the queue after the decision on one more submission. */
    public RequestQueueRow afterDecision() {
        return new RequestQueueRow(oldestMs, decided + 1, costMicros);
    }

    /** Returns the age of the oldest submission that the process has not decided on. */
    public long queueMs() {
        return oldestMs + decided * costMicros / MICROS_PER_MS;
    }
}
