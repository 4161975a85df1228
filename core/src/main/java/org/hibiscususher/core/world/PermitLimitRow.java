package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitKey;

/**
 * How many permits there may be.
 *
 * @param key the permits
 * @param limit the limit in force
 * @param highestLimit the highestLimit limit that was known
 */
public record PermitLimitRow(PermitKey key, int limit, int highestLimit) {
    /** Checks the fields. */
    public PermitLimitRow {
        requireNonNull(key);
    }
}
