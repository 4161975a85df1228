package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobConfiguration;

/**
 * The configuration in force.
 *
 * @param configuration configuration; without a version until one was read
 * @param revision its revision in the store
 */
public record ConfigurationRow(JobConfiguration configuration, long revision) {
    /** Checks the parts. */
    public ConfigurationRow {
        requireNonNull(configuration);
    }
}
