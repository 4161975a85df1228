package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * A host that was rebooted in a maintenance wave and is back in service.
 *
 * @param host the host
 * @param wave id of the wave
 * @param sinceMs when this entry learned of it, in milliseconds of the tick clock
 */
public record RebootedHostRow(String host, String wave, long sinceMs) {
    /** Rejects null components. */
    public RebootedHostRow {
        requireNonNull(host);
        requireNonNull(wave);
    }
}
