package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * How the runs on an executor end.
 *
 * @param executor executor
 * @param failuresInRow failed runs since the last one that was done
 * @param done runs that were done
 * @param endedMs when a run there last ended; 0 for never
 */
public record ExecutorHealthRow(String executor, int failuresInRow, long done, long endedMs) {
    /** Checks the parts. */
    public ExecutorHealthRow {
        requireNonNull(executor);
    }

    /** Returns the standing of an executor on which nothing has run yet. */
    public static ExecutorHealthRow initial(String executor) {
        return new ExecutorHealthRow(executor, 0, 0, 0);
    }
}
