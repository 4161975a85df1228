package org.hibiscususher.core.world;

/** The stages of a request's claim to its idempotency key. */
public enum IdempotencyClaimStage {
    /** Asks the key's coordinator whether the key is new. */
    ASKING(true),
    /** The coordinator has granted the key to the request. */
    HELD(false),
    /** The request ended without a run and gives the key back, so that it can be claimed again. */
    RELEASING(true);

    private final boolean mAwaitsReply;

    IdempotencyClaimStage(boolean awaitsReply) {
        mAwaitsReply = awaitsReply;
    }

    /** Returns whether messages to the coordinator are repeated in this stage until it replies. */
    public boolean awaitsReply() {
        return mAwaitsReply;
    }
}
