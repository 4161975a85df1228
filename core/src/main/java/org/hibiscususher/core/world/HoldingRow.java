package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitKey;

/**
 * Permits that this entry holds.
 *
 * @param key the permits
 * @param claimed how many were held when the claim to the allocator was made
 * @param granted count granted since then
 * @param returned count returned since then
 * @param acknowledgedReturns count returned that the allocator has acknowledged
 * @param sentMs when the returned count was last sent, -1 if never
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
    /** Checks that no more are in use than are held. */
    public HoldingRow {
        requireNonNull(key);
        if (inUse < 0 || inUse > claimed + granted - returned) {
            throw new IllegalArgumentException(
                    key + ": " + inUse + " in use of " + (claimed + granted - returned));
        }
    }

    /** Returns the row of permits of which none are held. */
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

    /** Returns a copy with more, or with a negative number fewer, in use. */
    public HoldingRow plusInUse(int change) {
        return new HoldingRow(
                key, claimed, granted, returned, acknowledgedReturns, sentMs, inUse + change);
    }

    /** Returns a copy that counts from now on. */
    public HoldingRow withCountsRestarted() {
        return new HoldingRow(key, held(), 0, 0, 0, -1, inUse);
    }

    /** Returns a copy with at least the given count granted. */
    public HoldingRow withGranted(long count) {
        long grown = Math.max(granted, count);
        return new HoldingRow(key, claimed, grown, returned, acknowledgedReturns, sentMs, inUse);
    }

    /** Returns a copy with more returned. */
    public HoldingRow plusReturned(int more) {
        return new HoldingRow(
                key, claimed, granted, returned + more, acknowledgedReturns, -1, inUse);
    }

    /** Returns a copy with at least the given count acknowledged. */
    public HoldingRow withAcknowledgedReturns(long count) {
        long grown = Math.max(acknowledgedReturns, count);
        return new HoldingRow(key, claimed, granted, returned, grown, sentMs, inUse);
    }

    /** Returns a copy whose returned count was sent at a time. */
    public HoldingRow withSent(long nowMs) {
        return new HoldingRow(key, claimed, granted, returned, acknowledgedReturns, nowMs, inUse);
    }
}
