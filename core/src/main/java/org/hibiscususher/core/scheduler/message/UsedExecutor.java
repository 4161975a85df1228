package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * An executor that may run tasks.
 *
 * @param id id
 * @param pool its pool
 */
public record UsedExecutor(String id, String pool) {
    /** Checks the parts. */
    public UsedExecutor {
        requireNonNull(id);
        requireNonNull(pool);
    }
}
