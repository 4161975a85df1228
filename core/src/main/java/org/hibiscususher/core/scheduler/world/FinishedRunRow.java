package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * An end that is acknowledged once the store holds what follows from it.
 *
 * @param key key
 * @param job job
 * @param jobVersion version of the job that holds it
 */
public record FinishedRunRow(FinishedRunKey key, String job, long jobVersion) {
    /** Checks the parts. */
    public FinishedRunRow {
        requireNonNull(key);
        requireNonNull(job);
    }
}
