package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * An entry host as the membership record shows it.
 *
 * @param id unique name of the process's place
 * @param incarnation grows each time the process starts
 * @param address IP number and port where it listens for other entries
 * @param zone availability zone
 * @param state whether it may allocate
 */
public record Member(String id, long incarnation, String address, String zone, MemberState state) {
    /** Checks the fields. */
    public Member {
        requireNonNull(id);
        requireNonNull(address);
        requireNonNull(zone);
        requireNonNull(state);
    }
}
