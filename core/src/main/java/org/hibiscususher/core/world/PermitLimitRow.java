package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitKey;

/**
 * How many permits of one key may exist.
 *
 * @param key key of the permits
 * @param limit the limit in force
 * @param highestLimit the highest limit ever known; after the limit was lowered, members may still
 *     hold that many
 */
public record PermitLimitRow(PermitKey key, int limit, int highestLimit) {
    /** Rejects null components. */
    public PermitLimitRow {
        requireNonNull(key);
    }
}
