package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.Member;

/**
 * Another entry as known to this one.
 *
 * @param member the member as listed in the membership record
 * @param lastHeardMs when a message was last received from it, in milliseconds of the tick clock,
 *     -1 if never
 * @param lastSentMs when a message was last sent to it, in milliseconds of the tick clock, -1 if
 *     never
 * @param sentSequence highest sequence sent to it, 0 if none
 * @param receivedSequence highest sequence received from it, 0 if none
 * @param acknowledgedSequence highest sequence that it has acknowledged, 0 if none
 * @param epoch newest membership epoch that it is known to know
 * @param revision revision that it is known to have in force
 * @param storeContactMs its last contact with the store by its own reports, in milliseconds of this
 *     entry's tick clock, -1 if never
 */
public record MemberRow(
        Member member,
        long lastHeardMs,
        long lastSentMs,
        long sentSequence,
        long receivedSequence,
        long acknowledgedSequence,
        long epoch,
        long revision,
        long storeContactMs) {
    /** Rejects null components. */
    public MemberRow {
        requireNonNull(member);
    }

    /** Returns the row of a member from which no message was received. */
    public static MemberRow of(Member member) {
        return new MemberRow(member, -1, -1, 0, 0, 0, 0, 0, -1);
    }

    /** Returns a copy with a changed listing in the membership record. */
    public MemberRow withMember(Member value) {
        return new MemberRow(
                value,
                lastHeardMs,
                lastSentMs,
                sentSequence,
                receivedSequence,
                acknowledgedSequence,
                epoch,
                revision,
                storeContactMs);
    }

    /** Returns a copy after sending it the next message. */
    public MemberRow withSent(long nowMs) {
        return new MemberRow(
                member,
                lastHeardMs,
                nowMs,
                sentSequence + 1,
                receivedSequence,
                acknowledgedSequence,
                epoch,
                revision,
                storeContactMs);
    }
}
