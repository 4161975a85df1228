package org.hibiscususher.core.world;

/** Whether a target host accepts work. */
public enum HostStage {
    /** Accepts work. */
    IN_SERVICE(true),
    /** Draining: its slots are returned once idle, and requests that run on it finish. */
    RECALLED(false),
    /** Idle and out of service, such as for a reboot. */
    OUT(false);

    private final boolean mAcceptsWork;

    HostStage(boolean acceptsWork) {
        mAcceptsWork = acceptsWork;
    }

    /** Returns whether requests may be sent to the host and its slots may be granted. */
    public boolean acceptsWork() {
        return mAcceptsWork;
    }
}
