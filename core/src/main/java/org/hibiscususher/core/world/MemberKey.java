package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * Names one process of a member.
 *
 * @param id the member id
 * @param incarnation the incarnation
 */
public record MemberKey(String id, long incarnation) {
    /** Checks the fields. */
    public MemberKey {
        requireNonNull(id);
    }
}
