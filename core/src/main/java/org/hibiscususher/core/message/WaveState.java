package org.hibiscususher.core.message;

/** The states of a maintenance wave. */
public enum WaveState {
    /** Was planned and has not been started. */
    PLANNED(false),
    /** Takes hosts out of service as the budgets allow. */
    RUNNING(true),
    /** Takes no further host; those that are out come back. */
    PAUSED(false),
    /** Every host was rebooted. */
    DONE(false);

    private final boolean mTakesHosts;

    WaveState(boolean takesHosts) {
        mTakesHosts = takesHosts;
    }

    /** Returns whether further hosts may be taken out of service. */
    public boolean mayTakeHosts() {
        return mTakesHosts;
    }
}
