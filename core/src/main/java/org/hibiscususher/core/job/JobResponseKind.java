package org.hibiscususher.core.job;

/** The answers to a caller's request. */
public enum JobResponseKind {
    /** The job is stored and will be run. */
    ACCEPTED,
    /** The job's state. */
    STATE,
    /** A queue's number of pending jobs. */
    PENDING,
    /** The job is cancelled. */
    CANCELLED,
    /** There is no such queue. */
    NO_QUEUE,
    /** There is no such job. */
    NO_JOB,
    /** The key is not known. */
    NO_KEY,
    /** The request can't be understood or the job can never run. */
    INVALID,
    /** The job was not taken because of too much work; it has not run. */
    OVERLOADED,
    /** The job was not taken because a part of the system is away; it has not run. */
    UNAVAILABLE,
    /** It is not known whether the request took effect. */
    UNKNOWN
}
