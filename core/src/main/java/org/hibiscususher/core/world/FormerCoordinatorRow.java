package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * A member that is no longer active by the membership record but may still grant idempotency keys,
 * until it knows that record.
 *
 * @param id member id
 * @param epoch epoch of the record that first showed the member as not active
 * @param stoppedMs when the member was first known to grant no more keys, in milliseconds; -1 if
 *     that is not known
 */
public record FormerCoordinatorRow(String id, long epoch, long stoppedMs) {
    /** Rejects null components. */
    public FormerCoordinatorRow {
        requireNonNull(id);
    }

    /** Returns whether the member is known to grant no more keys. */
    public boolean hasStopped() {
        return stoppedMs >= 0;
    }
}
