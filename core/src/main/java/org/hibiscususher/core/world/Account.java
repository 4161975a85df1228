package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * What an allocator knows of one member's holdings of a permit.
 *
 * @param member the member
 * @param basis the basis of the member's claim
 * @param claimed how many the member held then
 * @param granted count granted since then
 * @param returned count returned since then
 * @param grantSeen count granted that the member has acknowledged
 * @param sentMs when the granted count was last sent, -1 if never
 */
public record Account(
        MemberKey member,
        long basis,
        int claimed,
        long granted,
        long returned,
        long grantSeen,
        long sentMs) {
    /** Checks the fields. */
    public Account {
        requireNonNull(member);
    }

    /** Returns the account of a member that has just claimed. */
    public static Account of(MemberKey member, long basis, int claimed) {
        return new Account(member, basis, claimed, 0, 0, 0, -1);
    }

    /** Returns how many the member holds at most. */
    public int outstanding() {
        return (int) (claimed + granted - returned);
    }

    /** Returns whether the member has yet to acknowledge a grant. */
    public boolean unseen() {
        return granted > grantSeen;
    }

    /** Returns a copy with more granted. */
    public Account withGranted(int more) {
        return new Account(member, basis, claimed, granted + more, returned, grantSeen, -1);
    }

    /** Returns a copy with at least the given count returned. */
    public Account withReturned(long count) {
        long grown = Math.max(returned, count);
        return new Account(member, basis, claimed, granted, grown, grantSeen, sentMs);
    }

    /** Returns a copy with at least the given count acknowledged. */
    public Account withGrantSeen(long count) {
        long grown = Math.max(grantSeen, count);
        return new Account(member, basis, claimed, granted, returned, grown, sentMs);
    }

    /** Returns a copy whose granted count was sent at a time. */
    public Account withSent(long nowMs) {
        return new Account(member, basis, claimed, granted, returned, grantSeen, nowMs);
    }
}
