package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * How the runs on an executor end.
 *
 * @param executor executor
 * @param failuresInRow failed runs since the last one that was done
 * @param done runs that were done
 */
public record StandingRow(String executor, int failuresInRow, long done) {
    /** Checks the parts. */
    public StandingRow {
        requireNonNull(executor);
    }
}
