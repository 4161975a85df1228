package org.hibiscususher.core.job;

/** The kinds of responses to a request about jobs. */
public enum JobResponseKind {
    /** The job is stored and will run. */
    ACCEPTED,
    /** The state of the job. */
    STATE,
    /** The number of pending jobs of the queue. */
    PENDING,
    /** The job is cancelled, or had ended before. */
    CANCELLED,
    /** No queue has this host name and path. */
    NO_QUEUE,
    /** There is no such job, or its submission came after it was cancelled and isn't accepted. */
    NO_JOB,
    /** The API key is missing or unknown, and the queue requires one. */
    NO_KEY,
    /** The request is malformed, or the job can never run. */
    INVALID,
    /** The request was rejected because of the load; a submitted job has not run. */
    OVERLOADED {
        @Override
        public boolean deniesEffect() {
            return true;
        }
    },
    /**
     * The request was rejected because a part of the system is unavailable; a submitted job has not
     * run.
     */
    UNAVAILABLE {
        @Override
        public boolean deniesEffect() {
            return true;
        }
    },
    /** It is unknown whether the request took effect. */
    UNKNOWN;

    /**
     * Returns whether the response assures the caller that the request had no effect and will have
     * none.
     */
    public boolean deniesEffect() {
        return false;
    }
}
