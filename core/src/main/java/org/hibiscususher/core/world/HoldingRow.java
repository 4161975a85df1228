package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitKey;

/**
 * Permits of one key that this entry holds.
 *
 * <p>Grants and returns are counted from the claim, so that messages may be lost, repeated and
 * reordered without a permit being lost or counted twice.
 *
 * @param key key of the permits
 * @param claimed how many were held when the claim was made
 * @param granted how many were granted since the claim; never decreases under one claim
 * @param returned how many were returned since the claim; never decreases under one claim
 * @param acknowledgedReturns how many of the returned ones the allocator has acknowledged
 * @param sentMs when the count of returns was last sent, in milliseconds, -1 if it is yet to be
 *     sent
 * @param inUse how many of those held are in use by requests
 */
public record HoldingRow(
        PermitKey key,
        int claimed,
        long granted,
        long returned,
        long acknowledgedReturns,
        long sentMs,
        int inUse) {
    /** Rejects a null key, and more permits in use than are held. */
    public HoldingRow {
        requireNonNull(key);
        if (inUse < 0 || inUse > claimed + granted - returned) {
            throw new IllegalArgumentException(
                    key + ": " + inUse + " in use, " + (claimed + granted - returned) + " held");
        }
    }

    /** Returns the row of permits none of which are held. */
    public static HoldingRow none(PermitKey key) {
        return new HoldingRow(key, 0, 0, 0, 0, -1, 0);
    }

    /** Returns how many are held. */
    public int held() {
        return (int) (claimed + granted - returned);
    }

    /** Returns how many are held and not in use. */
    public int idle() {
        return held() - inUse;
    }

    /** Returns whether the allocator has yet to acknowledge a return. */
    public boolean hasUnacknowledgedReturn() {
        return returned > acknowledgedReturns;
    }

    /** Returns a copy with the given number more in use, or fewer if it is negative. */
    public HoldingRow plusInUse(int change) {
        return new HoldingRow(
                key, claimed, granted, returned, acknowledgedReturns, sentMs, inUse + change);
    }

    /** Returns a copy that counts from a new claim of those held now. */
    public HoldingRow withCountsRestarted() {
        return new HoldingRow(key, held(), 0, 0, 0, -1, inUse);
    }

    /**
     * Returns a copy after a message with a total of grants; a total no higher than known changes
     * nothing.
     */
    public HoldingRow withGranted(long count) {
        long total = Math.max(granted, count);
        return new HoldingRow(key, claimed, total, returned, acknowledgedReturns, sentMs, inUse);
    }

    /**
     * Returns a copy after returning the given number of permits; the new total is yet to be sent.
     */
    public HoldingRow plusReturned(int more) {
        return new HoldingRow(
                key, claimed, granted, returned + more, acknowledgedReturns, -1, inUse);
    }

    /**
     * Returns a copy after an acknowledgement of a total of returns; a total no higher than known
     * changes nothing.
     */
    public HoldingRow withAcknowledgedReturns(long count) {
        long total = Math.max(acknowledgedReturns, count);
        return new HoldingRow(key, claimed, granted, returned, total, sentMs, inUse);
    }

    /** Returns a copy whose count of returns was sent at the given time. */
    public HoldingRow withSent(long nowMs) {
        return new HoldingRow(key, claimed, granted, returned, acknowledgedReturns, nowMs, inUse);
    }
}
