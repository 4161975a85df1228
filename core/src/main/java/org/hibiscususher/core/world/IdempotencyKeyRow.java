package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * An idempotency key that this entry remembers as its home.
 *
 * @param key the key
 * @param claimant member id of the entry that claimed it
 * @param incarnation incarnation of that entry
 * @param requestId the request there
 * @param released whether that request has ended without a run
 */
public record IdempotencyKeyRow(
        IdempotencyKey key, String claimant, long incarnation, long requestId, boolean released) {
    /** Checks the fields. */
    public IdempotencyKeyRow {
        requireNonNull(key);
        requireNonNull(claimant);
    }

    /** Returns whether a request is the one that claimed the key. */
    public boolean isClaimedBy(String member, long memberIncarnation, long request) {
        return claimant.equals(member) && incarnation == memberIncarnation && requestId == request;
    }

    /** Returns a copy whose request has ended without a run. */
    public IdempotencyKeyRow withReleased() {
        return new IdempotencyKeyRow(key, claimant, incarnation, requestId, true);
    }
}
