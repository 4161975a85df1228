package org.hibiscususher.core.scheduler.world;

/** The stage of a run. */
public enum RunStage {
    /** The start order has been sent and not been answered. */
    SENT(true),
    /** The run is on its executor. */
    RUNNING(true),
    /** The run is to be stopped, whether it has started or not. */
    STOPPING(false);

    private final boolean mWanted;

    RunStage(boolean wanted) {
        mWanted = wanted;
    }

    /** Returns whether the run is meant to continue. */
    public boolean isWanted() {
        return mWanted;
    }
}
