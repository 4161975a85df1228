package org.hibiscususher.core.world;

/** The states of a request at hand. */
public enum RequestState {
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

    /** Returns whether the request may be sent to a target. */
    public boolean placeable() {
        return mPlaceable;
    }
}
