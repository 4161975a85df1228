package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.Member;

/**
 * An ended process that the membership record still shows.
 *
 * @param member the member
 * @param sinceMs when this entry first saw it as dead, in milliseconds of the caller's clock
 * @param reclaimDelayMs how long what it held rests, in milliseconds
 */
public record DeadMemberRow(Member member, long sinceMs, long reclaimDelayMs) {
    /** Checks the fields. */
    public DeadMemberRow {
        requireNonNull(member);
    }

    /**
     * Names an ended process.
     *
     * @param id the member id
     * @param incarnation the incarnation
     */
    public record Key(String id, long incarnation) {
        /** Checks the fields. */
        public Key {
            requireNonNull(id);
        }

        /** Returns the name of a member's process. */
        public static Key of(Member member) {
            return new Key(member.id(), member.incarnation());
        }
    }
}
