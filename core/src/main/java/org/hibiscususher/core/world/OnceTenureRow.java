package org.hibiscususher.core.world;

/**
 * Since when this entry may be the home of idempotency keys.
 *
 * @param epoch epoch of the membership record last looked at
 * @param basisEpoch epoch that every other member must have known; 0 while this entry is no home
 * @param sinceMs when they all had, in milliseconds, -1 if they have not
 * @param sweptMs when old keys were last forgotten, in milliseconds
 */
public record OnceTenureRow(long epoch, long basisEpoch, long sinceMs, long sweptMs) {
    /** The row before the membership record has been seen. */
    public static final OnceTenureRow NONE = new OnceTenureRow(0, 0, -1, 0);

    /** Returns a copy that has looked at a record. */
    public OnceTenureRow withEpoch(long value) {
        return new OnceTenureRow(value, basisEpoch, sinceMs, sweptMs);
    }

    /** Returns a copy whose tenure is to begin anew at an epoch. */
    public OnceTenureRow withBasis(long value) {
        return new OnceTenureRow(epoch, value, -1, sweptMs);
    }

    /** Returns a copy whose tenure has begun. */
    public OnceTenureRow withSince(long value) {
        return new OnceTenureRow(epoch, basisEpoch, value, sweptMs);
    }

    /** Returns a copy after old keys were forgotten. */
    public OnceTenureRow withSwept(long value) {
        return new OnceTenureRow(epoch, basisEpoch, sinceMs, value);
    }
}
