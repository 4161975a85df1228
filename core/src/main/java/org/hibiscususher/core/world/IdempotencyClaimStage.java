package org.hibiscususher.core.world;

/** The stages of a request's claim to its idempotency key. */
public enum IdempotencyClaimStage {
    /** Asks the key's home whether the key is new. */
    ASKING(true),
    /** The home has said that the key is new and remembers it. */
    HELD(false),
    /** The request ended without a run: the home may forget the key. */
    RELEASING(true);

    private final boolean mTalks;

    IdempotencyClaimStage(boolean talks) {
        mTalks = talks;
    }

    /** Returns whether the home is told, again and again, until it answers. */
    public boolean awaitsReply() {
        return mTalks;
    }
}
