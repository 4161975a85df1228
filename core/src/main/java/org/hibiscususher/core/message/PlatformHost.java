package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * A host as the platform's list shows it; the list lags.
 *
 * @param id name of the host
 * @param leaving whether the platform is taking it away
 * @param bootId changes each time the host boots; empty if not known
 */
public record PlatformHost(String id, boolean leaving, String bootId) {
    /** Checks the fields. */
    public PlatformHost {
        requireNonNull(id);
        requireNonNull(bootId);
    }
}
