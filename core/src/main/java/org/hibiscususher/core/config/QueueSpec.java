package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Declares a queue: a class of work that runs on one pool.
 *
 * @param id unique name of the queue; callers give it as the first segment of the path
 * @param pool id of the pool whose hosts run the work
 * @param kind whether the work is quick or long
 * @param openTeam id of the team that requests without a key count for; empty if a key is required
 * @param maxWaiting most requests that may wait in one entry, 1 or more
 * @param waitLimitMs longest wait for the first start, in milliseconds, 1 or more
 * @param runLimitMs longest time that a caller waits for an attempt, in milliseconds, 1 or more
 */
public record QueueSpec(
        String id,
        String pool,
        QueueKind kind,
        Optional<String> openTeam,
        int maxWaiting,
        int waitLimitMs,
        int runLimitMs) {
    /** Multiple of its limit that a run may last before it counts as over. */
    private static final int OVERRUN_FACTOR = 4;

    /** Checks that no field is null, and that every limit is 1 or more. */
    public QueueSpec {
        requireNonNull(id);
        requireNonNull(pool);
        requireNonNull(kind);
        requireNonNull(openTeam);
        if (maxWaiting < 1 || waitLimitMs < 1 || runLimitMs < 1) {
            throw new IllegalArgumentException("limits of a queue must be 1 or more");
        }
    }

    /** Returns the time after which a run of this queue counts as over, in milliseconds. */
    public int longestRunMs() {
        return longestRunMs(runLimitMs);
    }

    /**
     * Returns the time after which a run counts as over even if its target has not reported its
     * end, in milliseconds.
     *
     * <p>Run limits are estimates by people, and runs often exceed them. At the limit, only the
     * caller's wait ends. The permits stay in use until the target answers, or closes the
     * connection, or this time has passed; otherwise the host would get new work while the old run
     * still uses its slot.
     *
     * @param runLimitMs run limit of the queue, in milliseconds
     */
    public static int longestRunMs(int runLimitMs) {
        return (int) Math.min(Integer.MAX_VALUE, (long) OVERRUN_FACTOR * runLimitMs);
    }
}
