package org.hibiscususher.core.job;

/** The state of a job, as reported to callers. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks are done. */
    DONE,
    /** A task failed as often as the policy allows. */
    FAILED,
    /** The caller cancelled the job. */
    CANCELLED;

    /** Returns whether the job has ended, so that it gets no more runs. */
    public boolean isFinal() {
        return this != QUEUED && this != RUNNING;
    }
}
