package org.hibiscususher.core.message;

import java.util.Optional;

/** What the home of an idempotency key answers to the claim of a request. */
public enum IdempotencyClaimResult {
    /** The key is new; the home remembers it for this request. */
    GRANTED(Optional.empty()),
    /** Another request has claimed the key. */
    DUPLICATE(Optional.of(Refusal.DUPLICATE)),
    /** The home can't tell whether the key is new. */
    NOT_VOUCHED(Optional.of(Refusal.ID_NOT_VOUCHED));

    private final Optional<Refusal> mRefusal;

    IdempotencyClaimResult(Optional<Refusal> refusal) {
        mRefusal = refusal;
    }

    /** Returns how the request is refused, or empty if it goes on. */
    public Optional<Refusal> refusal() {
        return mRefusal;
    }
}
