package org.hibiscususher.core.world;

/** The states of an open request. */
public enum RequestState {
    /** Waits for the coordinator of its idempotency key. */
    CLAIMING(false),
    /** Waits for permits. */
    WAITING(true),
    /** Was sent to a target. */
    RUNNING(false),
    /** Has ended for its caller while the target may still be busy with it. */
    ABANDONED(false);

    private final boolean mPlaceable;

    RequestState(boolean placeable) {
        mPlaceable = placeable;
    }

    /** Returns whether no attempt of the request is under way. */
    public boolean unsent() {
        return this == CLAIMING || this == WAITING;
    }

    /** Returns whether the request may be sent to a target. */
    public boolean placeable() {
        return mPlaceable;
    }
}
