package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * What an entry holds of one permit, and the most that may exist.
 *
 * @param permit the permits
 * @param held how many the entry holds
 * @param highestLimit the highestLimit limit that the entry has known
 */
public record ClaimedPermit(PermitKey permit, int held, int highestLimit) {
    /** Checks the fields. */
    public ClaimedPermit {
        requireNonNull(permit);
    }
}
