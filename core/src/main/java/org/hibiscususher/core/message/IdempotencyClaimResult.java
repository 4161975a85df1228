package org.hibiscususher.core.message;

import java.util.Optional;

/** The coordinator's decision on a request's claim to its idempotency key. */
public enum IdempotencyClaimResult {
    /** The key is new; the coordinator has stored it for this request. */
    GRANTED(Optional.empty()),
    /** Another request has claimed the key. */
    DUPLICATE(Optional.of(Refusal.DUPLICATE)),
    /** The coordinator can't prove that the key is new. */
    NOT_VOUCHED(Optional.of(Refusal.ID_NOT_VOUCHED));

    private final Optional<Refusal> mRefusal;

    IdempotencyClaimResult(Optional<Refusal> refusal) {
        mRefusal = refusal;
    }

    /** Returns the reason for which the request is refused, or empty if it may run. */
    public Optional<Refusal> refusal() {
        return mRefusal;
    }
}
