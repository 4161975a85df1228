package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitKey;

/**
 * Permits that this entry holds.
 *
 * @param key the permits
 * @param epoch the epoch of the counters
 * @param granted count granted since the epoch began
 * @param returned count returned since the epoch began
 * @param inUse how many of those held are in use by requests
 * @param target how many to keep; idle ones above that go back
 */
public record HoldingRow(
        PermitKey key, long epoch, long granted, long returned, int inUse, int target) {
    /** Checks that no more are in use than are held. */
    public HoldingRow {
        requireNonNull(key);
        if (inUse < 0 || inUse > granted - returned) {
            throw new IllegalArgumentException(
                    key + ": " + inUse + " in use of " + (granted - returned));
        }
    }

    /** Returns how many are held. */
    public int held() {
        return (int) (granted - returned);
    }

    /** Returns how many are held and not in use. */
    public int idle() {
        return held() - inUse;
    }

    /** Returns a copy with more, or with a negative number fewer, in use. */
    public HoldingRow withInUse(int change) {
        return new HoldingRow(key, epoch, granted, returned, inUse + change, target);
    }
}
