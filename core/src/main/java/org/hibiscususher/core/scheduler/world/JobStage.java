package org.hibiscususher.core.scheduler.world;

/** What has to be stored of a job. */
public enum JobStage {
    /** The store doesn't hold the job yet. */
    UNSTORED,
    /** The store holds the job, but not its latest progress. */
    DIRTY,
    /** The store holds all of the job. */
    STORED;

    /** Returns the stage of a job. */
    static JobStage of(JobRow job) {
        if (!job.stored()) {
            return UNSTORED;
        }
        return job.isDirty() ? DIRTY : STORED;
    }
}
