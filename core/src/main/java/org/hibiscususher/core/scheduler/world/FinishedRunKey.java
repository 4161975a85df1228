package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * Names an end that is not acknowledged yet.
 *
 * @param executor executor
 * @param sequence its number there
 */
public record FinishedRunKey(String executor, long sequence) {
    /** Checks the parts. */
    public FinishedRunKey {
        requireNonNull(executor);
    }
}
