package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * How many hosts a pool is short of.
 *
 * @param pool the pool
 * @param hosts how many; negative if it has more than it needs
 * @param sinceMs since when it has been short or has had too many, in milliseconds
 * @param reportedMs when it was last heard, in milliseconds of the caller's clock
 */
public record PoolShortfallRow(String pool, int hosts, long sinceMs, long reportedMs) {
    /** Checks the fields. */
    public PoolShortfallRow {
        requireNonNull(pool);
    }
}
