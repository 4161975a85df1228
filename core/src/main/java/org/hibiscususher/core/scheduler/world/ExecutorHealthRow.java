package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * How runs on an executor finish.
 *
 * <p>An executor on which several runs fail in a row is quarantined; one on which nothing has run
 * for a while is idle, and its host may be moved.
 *
 * @param executor executor id
 * @param consecutiveFailures runs that failed since the last one that completed its task
 * @param completedRuns number of runs that completed their task
 * @param lastFinishedMs when a run last finished, whatever its outcome, in milliseconds of the
 *     steady clock; 0 for never
 */
public record ExecutorHealthRow(
        String executor, int consecutiveFailures, long completedRuns, long lastFinishedMs) {
    /** Rejects null components. */
    public ExecutorHealthRow {
        requireNonNull(executor);
    }

    /** Returns the health of an executor on which no run has finished. */
    public static ExecutorHealthRow initial(String executor) {
        return new ExecutorHealthRow(executor, 0, 0, 0);
    }
}
