package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a finished run that an executor lists until it is acknowledged.
 *
 * @param executor executor id
 * @param sequence sequence number in that executor's list
 */
public record FinishedRunKey(String executor, long sequence) {
    /** Rejects null components. */
    public FinishedRunKey {
        requireNonNull(executor);
    }
}
