package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The claim of a request at hand to its idempotency key.
 *
 * @param requestId the request
 * @param key the key
 * @param stage where the claim stands
 * @param sinceMs when the stage began, in milliseconds
 * @param sentMs when the home was last told, -1 if not yet
 */
public record IdempotencyClaimRow(
        long requestId,
        IdempotencyKey key,
        IdempotencyClaimStage stage,
        long sinceMs,
        long sentMs) {
    /** Checks the fields. */
    public IdempotencyClaimRow {
        requireNonNull(key);
        requireNonNull(stage);
    }

    /** Returns a copy in another stage. */
    public IdempotencyClaimRow withStage(IdempotencyClaimStage value, long nowMs) {
        return new IdempotencyClaimRow(requestId, key, value, nowMs, -1);
    }

    /** Returns a copy after the home was told. */
    public IdempotencyClaimRow withSent(long nowMs) {
        return new IdempotencyClaimRow(requestId, key, stage, sinceMs, nowMs);
    }
}
