package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * An executor on which runs may be in progress.
 *
 * @param id executor id
 * @param pool name of its pool
 */
public record UsedExecutor(String id, String pool) {
    /** Rejects null components. */
    public UsedExecutor {
        requireNonNull(id);
        requireNonNull(pool);
    }
}
