package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * How many permits of one key an entry reports in a claim to their allocator.
 *
 * @param permit key of the permits
 * @param held how many the entry holds, 0 or more
 * @param highestLimit the highest limit of the permits that the entry has known; the allocator
 *     assumes that as many may exist, since they may have been granted before the limit was lowered
 */
public record ClaimedPermit(PermitKey permit, int held, int highestLimit) {
    /** Rejects null components. */
    public ClaimedPermit {
        requireNonNull(permit);
    }
}
