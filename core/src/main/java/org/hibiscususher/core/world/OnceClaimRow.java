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
public record OnceClaimRow(
        long requestId, OnceKey key, OnceClaimStage stage, long sinceMs, long sentMs) {
    /** Checks the fields. */
    public OnceClaimRow {
        requireNonNull(key);
        requireNonNull(stage);
    }

    /** Returns a copy in another stage. */
    public OnceClaimRow withStage(OnceClaimStage value, long nowMs) {
        return new OnceClaimRow(requestId, key, value, nowMs, -1);
    }

    /** Returns a copy after the home was told. */
    public OnceClaimRow withSent(long nowMs) {
        return new OnceClaimRow(requestId, key, stage, sinceMs, nowMs);
    }
}
