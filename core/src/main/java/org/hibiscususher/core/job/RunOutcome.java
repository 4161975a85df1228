package org.hibiscususher.core.job;

/** How a run finished. */
public enum RunOutcome {
    /** It completed its task. */
    DONE,
    /** It failed, because of the task or the executor. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** The executor ended it because its lease expired. */
    LAPSED,
    /** It ended because another member of its gang ended. */
    BROKEN,
    /** It ended because other members of its gang did not arrive in time. */
    ALONE;

    /**
     * Returns whether the run counts towards the failures that its job may have, see {@link
     * JobPolicy#maxFailures()}.
     */
    public boolean countsAsAttempt() {
        return this == FAILED;
    }
}
