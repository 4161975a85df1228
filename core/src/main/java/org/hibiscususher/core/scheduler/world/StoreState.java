package org.hibiscususher.core.scheduler.world;

/** What the store holds of a job. */
public enum StoreState {
    /** The store doesn't hold the job yet. */
    UNSTORED,
    /** The store holds the job, but not its latest progress. */
    DIRTY,
    /** The store holds all of the job. */
    STORED;

    /** Returns the state of a job. */
    static StoreState of(JobRow job) {
        if (!job.stored()) {
            return UNSTORED;
        }
        return job.isDirty() ? DIRTY : STORED;
    }
}
