package org.hibiscususher.standin.virtual;

/** States of a simulated entry's process. */
public enum ProcessState {
    /** The process runs. */
    RUNNING(true, true),
    /** The operating system has suspended the process; its inputs accumulate until it resumes. */
    PAUSED(false, true),
    /** The process has ended; its inputs are dropped. */
    DEAD(false, false);

    private final boolean mRunning;
    private final boolean mAcceptsInput;

    ProcessState(boolean running, boolean acceptsInput) {
        mRunning = running;
        mAcceptsInput = acceptsInput;
    }

    boolean isRunning() {
        return mRunning;
    }

    boolean acceptsInput() {
        return mAcceptsInput;
    }
}
