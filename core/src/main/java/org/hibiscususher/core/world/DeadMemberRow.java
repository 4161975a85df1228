package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.Member;

/**
 * A process that has ended but is still listed in the membership record, until its permits are
 * reclaimed.
 *
 * @param member the member as listed
 * @param sinceMs when this entry first saw it listed as dead, in milliseconds of the tick clock
 * @param reclaimDelayMs least time for which it stays listed: the longest run of any queue when it
 *     was first seen dead, plus a margin, in milliseconds
 */
public record DeadMemberRow(Member member, long sinceMs, long reclaimDelayMs) {
    /** Rejects null components. */
    public DeadMemberRow {
        requireNonNull(member);
    }

    /**
     * Identifies an ended process.
     *
     * @param id member id
     * @param incarnation tells the processes of one member id apart
     */
    public record Key(String id, long incarnation) {
        /** Rejects null components. */
        public Key {
            requireNonNull(id);
        }

        /** Returns the key of a member's process. */
        public static Key of(Member member) {
            return new Key(member.id(), member.incarnation());
        }
    }
}
