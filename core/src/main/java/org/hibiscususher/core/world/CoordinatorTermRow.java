package org.hibiscususher.core.world;

/**
 * Since when this entry may be the home of idempotency keys.
 *
 * @param epoch epoch of the membership record last looked at
 * @param requiredEpoch epoch that every other member must have known; 0 while this entry is no home
 * @param sinceMs when they all had, in milliseconds, -1 if they have not
 * @param sweptMs when old keys were last forgotten, in milliseconds
 */
public record CoordinatorTermRow(long epoch, long requiredEpoch, long sinceMs, long sweptMs) {
    /** The row before the membership record has been seen. */
    public static final CoordinatorTermRow NONE = new CoordinatorTermRow(0, 0, -1, 0);

    /** Returns a copy that has looked at a record. */
    public CoordinatorTermRow withEpoch(long value) {
        return new CoordinatorTermRow(value, requiredEpoch, sinceMs, sweptMs);
    }

    /** Returns a copy whose tenure is to begin anew at an epoch. */
    public CoordinatorTermRow withRequiredEpoch(long value) {
        return new CoordinatorTermRow(epoch, value, -1, sweptMs);
    }

    /** Returns a copy whose tenure has begun. */
    public CoordinatorTermRow withSince(long value) {
        return new CoordinatorTermRow(epoch, requiredEpoch, value, sweptMs);
    }

    /** Returns a copy after old keys were forgotten. */
    public CoordinatorTermRow withSwept(long value) {
        return new CoordinatorTermRow(epoch, requiredEpoch, sinceMs, value);
    }
}
