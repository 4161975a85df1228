package org.hibiscususher.core.world;

/** Whether a target host takes work. */
public enum HostStage {
    /** Takes work. */
    IN_SERVICE(true),
    /** In graceful shutdown: its slots are recalled, what runs on it finishes. */
    RECALLED(false),
    /** Idle and out of service, as for a reboot. */
    OUT(false);

    private final boolean mTakesWork;

    HostStage(boolean takesWork) {
        mTakesWork = takesWork;
    }

    /** Returns whether new work may be sent to the host and its slots may be granted. */
    public boolean acceptsWork() {
        return mTakesWork;
    }
}
