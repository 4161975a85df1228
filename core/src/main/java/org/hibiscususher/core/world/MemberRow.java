package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.Member;

/**
 * Another entry as this one sees it.
 *
 * @param member what the membership record shows
 * @param lastHeardMs when it was last heard, in milliseconds of the caller's clock, -1 if never
 * @param lastSentMs when it was last sentSequence a message, -1 if never
 * @param sentSequence highest sequence sentSequence to it
 * @param receivedSequence highest sequence receivedSequence from it
 * @param acknowledgedSequence highest sequence that it has acknowledgedSequence
 * @param epoch newest epoch that it is known to know
 * @param revision revision that it is known to have in force
 * @param storeContactMs its last contact with the store, as far as known, -1 if never
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
    /** Checks the fields. */
    public MemberRow {
        requireNonNull(member);
    }

    /** Returns the row of a member that was never heard. */
    public static MemberRow of(Member member) {
        return new MemberRow(member, -1, -1, 0, 0, 0, 0, 0, -1);
    }

    /** Returns a copy for a changed entry of the membership record. */
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

    /** Returns a copy after one more message was sentSequence. */
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
