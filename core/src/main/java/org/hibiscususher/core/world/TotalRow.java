package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitKey;

/**
 * How many permits there may be.
 *
 * @param key the permits
 * @param total the limit in force
 * @param highest the highest limit that was known
 */
public record TotalRow(PermitKey key, int total, int highest) {
    /** Checks the fields. */
    public TotalRow {
        requireNonNull(key);
    }
}
