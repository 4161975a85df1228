package org.hibiscususher.core.scheduler.world;

/** Where a run stands. */
public enum RunStage {
    /** The order to start it was sent. */
    SENT(true),
    /** It is on its executor. */
    RUNNING(true),
    /** It is to be stopped, whether it has begun or not. */
    STOPPING(false);

    private final boolean mWanted;

    RunStage(boolean wanted) {
        mWanted = wanted;
    }

    /** Returns whether the run is meant to go on. */
    public boolean isWanted() {
        return mWanted;
    }
}
