package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * A member that was home of idempotency keys and, by the membership record, is so no more.
 *
 * @param id member id
 * @param epoch epoch of the record that showed it
 * @param stoppedMs since when it is known to grant no keys, in milliseconds, -1 if it is not known
 */
public record FormerCoordinatorRow(String id, long epoch, long stoppedMs) {
    /** Checks the fields. */
    public FormerCoordinatorRow {
        requireNonNull(id);
    }

    /** Returns whether the member is known to grant no more keys. */
    public boolean hasStopped() {
        return stoppedMs >= 0;
    }
}
