package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.Configuration;

/**
 * The configuration in force here.
 *
 * @param configuration the configuration
 * @param sinceMs when it came into force here, in milliseconds of the tick clock
 */
public record RevisionRow(Configuration configuration, long sinceMs) {
    /** Rejects null components. */
    public RevisionRow {
        requireNonNull(configuration);
    }
}
