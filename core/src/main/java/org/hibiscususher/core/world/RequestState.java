package org.hibiscususher.core.world;

/** The states of a request at hand. */
public enum RequestState {
    /** Waits to hear whether its idempotency key is new. */
    CLAIMING(false),
    /** Waits for permits. */
    WAITING(true),
    /** Was sent to a target. */
    RUNNING(false),
    /** Ended for its caller while the target may still be busy with it. */
    ABANDONED(false);

    private final boolean mPlaceable;

    RequestState(boolean placeable) {
        mPlaceable = placeable;
    }

    /** Returns whether the request has not been sent, or not again. */
    public boolean unsent() {
        return this == CLAIMING || this == WAITING;
    }

    /** Returns whether the request may be sent to a target. */
    public boolean placeable() {
        return mPlaceable;
    }
}
