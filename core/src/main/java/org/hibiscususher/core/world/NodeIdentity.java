package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The identity of this process.
 *
 * @param id member id, from the settings
 * @param incarnation grows with each start; raised on joining if the membership record has a higher
 *     one
 * @param peerAddress IP address and port on which it listens for other entries
 * @param zone availability zone
 */
public record NodeIdentity(String id, long incarnation, String peerAddress, String zone) {
    /** Rejects null components. */
    public NodeIdentity {
        requireNonNull(id);
        requireNonNull(peerAddress);
        requireNonNull(zone);
    }
}
