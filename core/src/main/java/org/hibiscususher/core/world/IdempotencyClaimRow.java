package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The claim of an open request to its idempotency key.
 *
 * @param requestId the request
 * @param key the key
 * @param stage what the claim waits for
 * @param sinceMs when the stage began, in milliseconds
 * @param sentMs when the coordinator was last sent a message in this stage, in milliseconds, -1 if
 *     not yet
 */
public record IdempotencyClaimRow(
        long requestId,
        IdempotencyKey key,
        IdempotencyClaimStage stage,
        long sinceMs,
        long sentMs) {
    /** Rejects null components. */
    public IdempotencyClaimRow {
        requireNonNull(key);
        requireNonNull(stage);
    }

    /** Returns a copy that enters another stage at the given time. */
    public IdempotencyClaimRow withStage(IdempotencyClaimStage value, long nowMs) {
        return new IdempotencyClaimRow(requestId, key, value, nowMs, -1);
    }

    /** Returns a copy after a message to the coordinator. */
    public IdempotencyClaimRow withSent(long nowMs) {
        return new IdempotencyClaimRow(requestId, key, stage, sinceMs, nowMs);
    }
}
