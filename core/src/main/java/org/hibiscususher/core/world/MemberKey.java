package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * Identifies one process of a member.
 *
 * @param id member id
 * @param incarnation tells the processes of one member id apart; grows with each start
 */
public record MemberKey(String id, long incarnation) {
    /** Rejects null components. */
    public MemberKey {
        requireNonNull(id);
    }
}
