package org.hibiscususher.core.job;

/** What a caller wants. */
public enum JobRequestKind {
    /** Hands a job in. */
    SUBMIT,
    /** Asks for a job's state or, without an id, for a queue's number of pending jobs. */
    QUERY,
    /** Cancels a job. */
    CANCEL
}
