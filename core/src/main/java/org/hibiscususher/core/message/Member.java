package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * An entry as listed in the membership record.
 *
 * @param id member id, which a restarted process keeps
 * @param incarnation grows each time the process starts
 * @param address IP address and port on which it listens for other entries
 * @param zone availability zone
 * @param state what the other members may assume of it
 */
public record Member(String id, long incarnation, String address, String zone, MemberState state) {
    /** Rejects null components. */
    public Member {
        requireNonNull(id);
        requireNonNull(address);
        requireNonNull(zone);
        requireNonNull(state);
    }
}
