package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * A host that is rebooted in a maintenance wave and in service again.
 *
 * @param host the host
 * @param wave the wave
 * @param sinceMs when this entry learned of it, in milliseconds of the caller's clock
 */
public record RebootedHostRow(String host, String wave, long sinceMs) {
    /** Checks the fields. */
    public RebootedHostRow {
        requireNonNull(host);
        requireNonNull(wave);
    }
}
