package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * What an allocator knows of one member's holdings of a permit.
 *
 * @param member the member
 * @param claimEpoch the claimEpoch of the member's claim
 * @param claimed how many the member held then
 * @param granted count granted since then
 * @param returned count returned since then
 * @param acknowledgedGrants count granted that the member has acknowledged
 * @param sentMs when the granted count was last sent, -1 if never
 */
public record MemberAccount(
        MemberKey member,
        long claimEpoch,
        int claimed,
        long granted,
        long returned,
        long acknowledgedGrants,
        long sentMs) {
    /** Checks the fields. */
    public MemberAccount {
        requireNonNull(member);
    }

    /** Returns the account of a member that has just claimed. */
    public static MemberAccount of(MemberKey member, long claimEpoch, int claimed) {
        return new MemberAccount(member, claimEpoch, claimed, 0, 0, 0, -1);
    }

    /** Returns how many the member holds at most. */
    public int outstanding() {
        return (int) (claimed + granted - returned);
    }

    /** Returns whether the member has yet to acknowledge a grant. */
    public boolean hasUnacknowledgedGrant() {
        return granted > acknowledgedGrants;
    }

    /** Returns a copy with more granted. */
    public MemberAccount plusGranted(int more) {
        return new MemberAccount(
                member, claimEpoch, claimed, granted + more, returned, acknowledgedGrants, -1);
    }

    /** Returns a copy with at least the given count returned. */
    public MemberAccount withReturned(long count) {
        long grown = Math.max(returned, count);
        return new MemberAccount(
                member, claimEpoch, claimed, granted, grown, acknowledgedGrants, sentMs);
    }

    /** Returns a copy with at least the given count acknowledged. */
    public MemberAccount withAcknowledgedGrants(long count) {
        long grown = Math.max(acknowledgedGrants, count);
        return new MemberAccount(member, claimEpoch, claimed, granted, returned, grown, sentMs);
    }

    /** Returns a copy whose granted count was sent at a time. */
    public MemberAccount withSent(long nowMs) {
        return new MemberAccount(
                member, claimEpoch, claimed, granted, returned, acknowledgedGrants, nowMs);
    }
}
