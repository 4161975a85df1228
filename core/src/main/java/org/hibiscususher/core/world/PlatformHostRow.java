package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PlatformHost;

/**
 * A host as the platform's list last showed it.
 *
 * @param host what the list showed
 * @param listed whether the newest list shows it
 */
public record PlatformHostRow(PlatformHost host, boolean listed) {
    /** Checks the fields. */
    public PlatformHostRow {
        requireNonNull(host);
    }

    /** Returns whether the host is gone or going. */
    public boolean goneOrLeaving() {
        return !listed || host.leaving();
    }
}
