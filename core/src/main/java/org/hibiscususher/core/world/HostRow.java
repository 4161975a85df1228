package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.HostSpec;

/**
 * A target host as known to this entry.
 *
 * @param spec its declaration
 * @param pool the pool that it serves now
 * @param stage whether it accepts work
 * @param consecutiveFaults number of its latest attempts in a row that failed by the host's fault
 * @param quarantinedUntilMs time on the tick clock before which the host is quarantined, in
 *     milliseconds
 */
public record HostRow(
        HostSpec spec,
        String pool,
        HostStage stage,
        int consecutiveFaults,
        long quarantinedUntilMs) {
    /** Rejects null components. */
    public HostRow {
        requireNonNull(spec);
        requireNonNull(pool);
        requireNonNull(stage);
    }

    /** Returns a copy with another declaration. */
    public HostRow withSpec(HostSpec value) {
        return new HostRow(value, pool, stage, consecutiveFaults, quarantinedUntilMs);
    }

    /** Returns a copy with the given number of faults and end of quarantine. */
    public HostRow withFaults(int faults, long untilMs) {
        return new HostRow(spec, pool, stage, faults, untilMs);
    }

    /** Returns a copy that serves a pool in the given stage. */
    public HostRow withService(String inPool, HostStage inStage) {
        return new HostRow(spec, inPool, inStage, consecutiveFaults, quarantinedUntilMs);
    }
}
