package org.hibiscususher.core.scheduler.message;

/** The kinds of records that the scheduler keeps in the store. */
public enum RecordKind {
    /** Who owns the scheduling; ends with the owner's lease. */
    OWNER,
    /** How often the ownership has changed, and who had it last. */
    TERM,
    /** A job as it was accepted. */
    JOB,
    /** How far a job has come. */
    PROGRESS,
    /** The executors that may run tasks. */
    EXECUTORS,
    /** The hosts of a wave whose maintenance has begun. */
    WAVE,
    /** The hosts for which the owner may have given orders of late. */
    HOST_ORDERS,
    /** What operators are told of a wave. */
    WAVE_STATUS
}
