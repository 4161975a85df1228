package org.hibiscususher.core.job;

/** How a run ended. */
public enum RunOutcome {
    /** The task is done. */
    DONE,
    /** The run failed, by its own fault or the executor's. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The executor's lease ended. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** Other members of the gang did not come in time. */
    ALONE;

    /** Returns whether the end counts as one of the task's attempts. */
    public boolean countsAsAttempt() {
        return this == FAILED;
    }
}
