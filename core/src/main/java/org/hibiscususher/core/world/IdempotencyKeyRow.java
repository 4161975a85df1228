package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * A claimed idempotency key of which this entry is the coordinator.
 *
 * @param key the key
 * @param claimant member id of the entry that claimed it
 * @param incarnation incarnation of that entry
 * @param requestId the request at that entry
 * @param released whether the request ended without a run, so that another may claim the key
 */
public record IdempotencyKeyRow(
        IdempotencyKey key, String claimant, long incarnation, long requestId, boolean released) {
    /** Rejects null components. */
    public IdempotencyKeyRow {
        requireNonNull(key);
        requireNonNull(claimant);
    }

    /** Returns whether the key is claimed by the given request. */
    public boolean isClaimedBy(String member, long memberIncarnation, long request) {
        return claimant.equals(member) && incarnation == memberIncarnation && requestId == request;
    }

    /** Returns a copy whose request ended without a run. */
    public IdempotencyKeyRow withReleased() {
        return new IdempotencyKeyRow(key, claimant, incarnation, requestId, true);
    }
}
