package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * Who this process is, from its settings.
 *
 * @param id member id
 * @param incarnation grows each time the process starts
 * @param peerAddress IP number and port where it listens for other entries
 * @param zone availability zone
 */
public record NodeIdentity(String id, long incarnation, String peerAddress, String zone) {
    /** Checks the fields. */
    public NodeIdentity {
        requireNonNull(id);
        requireNonNull(peerAddress);
        requireNonNull(zone);
    }
}
