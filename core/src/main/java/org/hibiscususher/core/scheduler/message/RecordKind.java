package org.hibiscususher.core.scheduler.message;

/** The kinds of records that the scheduler keeps in the store. */
public enum RecordKind {
    /** The owner of the scheduling; the store removes it when the owner's lease expires. */
    OWNER,
    /**
     * The newest term of the ownership: its generation and owner. It outlives the owner's record.
     */
    TERM,
    /** A job as it was accepted. */
    JOB(true),
    /** The state of a job and the progress of its tasks. */
    PROGRESS(true),
    /** The cancellation of a job that no submission had named before. */
    CANCELLATION(true),
    /** The executors on which runs may be in progress. */
    EXECUTORS,
    /** The hosts of a wave whose maintenance has started. */
    WAVE,
    /** The hosts that the owner may have ordered recently. */
    HOST_ORDERS,
    /** The status of a wave, for operators. */
    WAVE_STATUS,
    /** The run times that finished runs have shown. */
    RUN_TIMES {
        @Override
        public boolean isSequential() {
            return false;
        }
    };

    private final boolean mOfJob;

    RecordKind() {
        this(false);
    }

    RecordKind(boolean ofJob) {
        mOfJob = ofJob;
    }

    /** Returns whether a record of this kind belongs to one job and depends on no other record. */
    public boolean isOfJob() {
        return mOfJob;
    }

    /**
     * Returns whether one commit at a time may have records of this kind, because they depend on
     * each other: the status of a wave must not be stored ahead of the wave.
     */
    public boolean isSequential() {
        return !mOfJob;
    }
}
