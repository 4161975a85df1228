package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * How the runs on an executor end.
 *
 * @param executor executor
 * @param consecutiveFailures failed runs since the last one that was done
 * @param completedRuns runs that were done
 * @param lastFinishedMs when a run there last ended; 0 for never
 */
public record ExecutorHealthRow(
        String executor, int consecutiveFailures, long completedRuns, long lastFinishedMs) {
    /** Checks the parts. */
    public ExecutorHealthRow {
        requireNonNull(executor);
    }

    /** Returns the standing of an executor on which nothing has run yet. */
    public static ExecutorHealthRow initial(String executor) {
        return new ExecutorHealthRow(executor, 0, 0, 0);
    }
}
