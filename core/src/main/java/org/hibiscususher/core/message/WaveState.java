package org.hibiscususher.core.message;

/** The states of a maintenance wave. */
public enum WaveState {
    /** Planned and not yet started. */
    PLANNED(false),
    /** Takes hosts out of service within the availability budgets. */
    RUNNING(true),
    /** Takes no more hosts out of service; those that are out are still rebooted and come back. */
    PAUSED(false),
    /** Every host was rebooted. */
    DONE(false);

    private final boolean mMayTakeHosts;

    WaveState(boolean mayTakeHosts) {
        mMayTakeHosts = mayTakeHosts;
    }

    /** Returns whether more hosts may be taken out of service. */
    public boolean mayTakeHosts() {
        return mMayTakeHosts;
    }
}
