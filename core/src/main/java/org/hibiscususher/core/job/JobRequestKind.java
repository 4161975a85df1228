package org.hibiscususher.core.job;

/** The kinds of requests about jobs. */
public enum JobRequestKind {
    /** Submits a job. */
    SUBMIT,
    /** Queries the state of a job or, without a job id, the number of pending jobs of a queue. */
    QUERY,
    /** Cancels a job. */
    CANCEL
}
