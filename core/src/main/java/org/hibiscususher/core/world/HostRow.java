package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.HostSpec;

/**
 * A target host as this entry sees it.
 *
 * @param spec its declaration
 * @param pool the pool that it serves now
 * @param stage whether it takes work
 * @param consecutiveFaults attempts in a row that failed through the host's fault
 * @param quarantinedUntilMs no attempt is sent before this time, in milliseconds of the caller's
 *     clock
 */
public record HostRow(
        HostSpec spec,
        String pool,
        HostStage stage,
        int consecutiveFaults,
        long quarantinedUntilMs) {
    /** Checks the fields. */
    public HostRow {
        requireNonNull(spec);
        requireNonNull(pool);
        requireNonNull(stage);
    }

    /** Returns a copy with another declaration. */
    public HostRow withSpec(HostSpec value) {
        return new HostRow(value, pool, stage, consecutiveFaults, quarantinedUntilMs);
    }

    /** Returns a copy with another record of faults. */
    public HostRow withFaults(int faults, long restUntil) {
        return new HostRow(spec, pool, stage, faults, restUntil);
    }

    /** Returns a copy that serves a pool in a stage. */
    public HostRow withService(String inPool, HostStage inStage) {
        return new HostRow(spec, inPool, inStage, consecutiveFaults, quarantinedUntilMs);
    }
}
