package org.hibiscususher.core.job;

/** What callers are told of a job. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks are done. */
    DONE,
    /** A task failed as often as its queue allows. */
    FAILED,
    /** The caller cancelled the job. */
    CANCELLED;

    /** Returns whether the job takes no more runs. */
    public boolean isFinal() {
        return this != QUEUED && this != RUNNING;
    }
}
