package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * A member that was home of idempotency keys and, by the membership record, is so no more.
 *
 * @param id member id
 * @param epoch epoch of the record that showed it
 * @param sinceMs since when it is known to grant no keys, in milliseconds, -1 if it is not known
 */
public record FormerHomeRow(String id, long epoch, long sinceMs) {
    /** Checks the fields. */
    public FormerHomeRow {
        requireNonNull(id);
    }

    /** Returns whether the member is known to grant no more keys. */
    public boolean settled() {
        return sinceMs >= 0;
    }
}
