package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.HostSpec;

/**
 * A target host as this entry sees it.
 *
 * @param spec its declaration
 * @param pool the pool that it serves now
 * @param consecutiveFaults attempts in a row that failed through the host's fault
 * @param restUntilMs no attempt is sent before this time, in milliseconds of the caller's clock
 */
public record HostRow(HostSpec spec, String pool, int consecutiveFaults, long restUntilMs) {
    /** Checks the fields. */
    public HostRow {
        requireNonNull(spec);
        requireNonNull(pool);
    }

    /** Returns a copy with another declaration. */
    public HostRow withSpec(HostSpec value) {
        return new HostRow(value, pool, consecutiveFaults, restUntilMs);
    }

    /** Returns a copy with another record of faults. */
    public HostRow withFaults(int faults, long restUntil) {
        return new HostRow(spec, pool, faults, restUntil);
    }
}
