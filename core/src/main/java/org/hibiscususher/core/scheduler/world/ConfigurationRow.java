package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobConfiguration;

/**
 * The configuration in force.
 *
 * @param configuration the configuration; version 0 until one has been read
 * @param revision revision of its record in the store
 */
public record ConfigurationRow(JobConfiguration configuration, long revision) {
    /** Rejects null components. */
    public ConfigurationRow {
        requireNonNull(configuration);
    }
}
