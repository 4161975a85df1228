package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * How many hosts a pool lacks.
 *
 * @param pool the pool
 * @param hosts how many hosts the pool lacks; negative if it has hosts to spare
 * @param sinceMs when the sign of {@code hosts} last changed, in milliseconds
 * @param reportedMs when it was last computed here or received from another entry, in milliseconds
 *     of the tick clock
 */
public record PoolShortfallRow(String pool, int hosts, long sinceMs, long reportedMs) {
    /** Rejects null components. */
    public PoolShortfallRow {
        requireNonNull(pool);
    }
}
