package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PlatformHost;

/**
 * A host in the platform's newest list that contained it.
 *
 * @param host the host as listed
 * @param listed whether the newest list contains it
 */
public record PlatformHostRow(PlatformHost host, boolean listed) {
    /** Rejects null components. */
    public PlatformHostRow {
        requireNonNull(host);
    }

    /** Returns whether the host is no longer listed or is about to be removed. */
    public boolean goneOrLeaving() {
        return !listed || host.leaving();
    }
}
