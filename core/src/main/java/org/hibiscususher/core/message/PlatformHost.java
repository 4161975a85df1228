package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * A host in the platform's list, which lags behind the real state of the host.
 *
 * @param id name of the host
 * @param leaving whether the platform is about to remove the host
 * @param bootId changes each time the host boots; empty if not known
 */
public record PlatformHost(String id, boolean leaving, String bootId) {
    /** Rejects null components. */
    public PlatformHost {
        requireNonNull(id);
        requireNonNull(bootId);
    }
}
