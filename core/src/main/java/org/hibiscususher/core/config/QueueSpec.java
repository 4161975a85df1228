package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Declares a queue: a class of work that runs on one pool.
 *
 * @param id unique name; callers use it as the first segment of the path
 * @param pool where the work runs
 * @param kind how long the work runs
 * @param openTeam the team under whose share work without a key runs; empty if a key is needed
 * @param maxWaiting most requests waiting in one entry, 1 or more
 * @param waitLimitMs longest wait for a start, in milliseconds, 1 or more
 * @param runLimitMs longest that a caller waits for a run, in milliseconds, 1 or more
 */
public record QueueSpec(
        String id,
        String pool,
        QueueKind kind,
        Optional<String> openTeam,
        int maxWaiting,
        int waitLimitMs,
        int runLimitMs) {
    /** How many times its limit a run may last before it counts as over. */
    private static final int OVERRUN_FACTOR = 4;

    /** Checks the fields. */
    public QueueSpec {
        requireNonNull(id);
        requireNonNull(pool);
        requireNonNull(kind);
        requireNonNull(openTeam);
        if (maxWaiting < 1 || waitLimitMs < 1 || runLimitMs < 1) {
            throw new IllegalArgumentException("limits of a queue are 1 or more");
        }
    }

    /** Returns the time after which a run of this queue counts as over, in milliseconds. */
    public int longestRunMs() {
        return longestRunMs(runLimitMs);
    }

    /**
     * Returns the time after which a run counts as over whatever its target says, in milliseconds.
     *
     * <p>Run limits are declared by people and often passed: the caller is told at the limit, but
     * the permits stay in use until the target answers or closes, or this time is over.
     *
     * @param runLimitMs run limit of the queue, in milliseconds
     */
    public static int longestRunMs(int runLimitMs) {
        return (int) Math.min(Integer.MAX_VALUE, (long) OVERRUN_FACTOR * runLimitMs);
    }
}
