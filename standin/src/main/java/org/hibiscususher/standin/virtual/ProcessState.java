package org.hibiscususher.standin.virtual;

/** The conditions of an entry's process. */
public enum ProcessState {
    /** Runs. */
    RUNNING(true, true),
    /** Stopped by the system for a while; what reaches it waits. */
    PAUSED(false, true),
    /** Has ended. */
    DEAD(false, false);

    private final boolean mRuns;
    private final boolean mReceives;

    ProcessState(boolean runs, boolean receives) {
        mRuns = runs;
        mReceives = receives;
    }

    boolean isRunning() {
        return mRuns;
    }

    boolean acceptsInput() {
        return mReceives;
    }
}
