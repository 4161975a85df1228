package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * An allocator's account of the permits of one key that a member holds.
 *
 * <p>It never shows less than the member holds: a grant is entered before it is sent, a return only
 * when it is received.
 *
 * @param member the member's process
 * @param claimEpoch epoch of the member's claim, from which grants and returns are counted
 * @param claimed how many the member held by its claim
 * @param granted how many were granted since the claim
 * @param returned how many were returned since the claim
 * @param acknowledgedGrants how many of the granted ones the member has acknowledged
 * @param sentMs when the count of grants was last sent, in milliseconds, -1 if it is yet to be sent
 */
public record MemberAccount(
        MemberKey member,
        long claimEpoch,
        int claimed,
        long granted,
        long returned,
        long acknowledgedGrants,
        long sentMs) {
    /** Rejects null components. */
    public MemberAccount {
        requireNonNull(member);
    }

    /** Returns the account of a member with a new claim. */
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

    /**
     * Returns a copy after granting the given number of permits; the new total is yet to be sent.
     */
    public MemberAccount plusGranted(int more) {
        return new MemberAccount(
                member, claimEpoch, claimed, granted + more, returned, acknowledgedGrants, -1);
    }

    /**
     * Returns a copy after a message with a total of returns; a total no higher than known changes
     * nothing.
     */
    public MemberAccount withReturned(long count) {
        long total = Math.max(returned, count);
        return new MemberAccount(
                member, claimEpoch, claimed, granted, total, acknowledgedGrants, sentMs);
    }

    /**
     * Returns a copy after an acknowledgement of a total of grants; a total no higher than known
     * changes nothing.
     */
    public MemberAccount withAcknowledgedGrants(long count) {
        long total = Math.max(acknowledgedGrants, count);
        return new MemberAccount(member, claimEpoch, claimed, granted, returned, total, sentMs);
    }

    /** Returns a copy whose count of grants was sent at the given time. */
    public MemberAccount withSent(long nowMs) {
        return new MemberAccount(
                member, claimEpoch, claimed, granted, returned, acknowledgedGrants, nowMs);
    }
}
