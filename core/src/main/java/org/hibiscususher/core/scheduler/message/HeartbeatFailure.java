package org.hibiscususher.core.scheduler.message;

/** Why a heartbeat to an executor failed. */
public enum HeartbeatFailure {
    /** No answer arrived. */
    NO_ANSWER,
    /**
     * The executor has seen a higher fence than the heartbeat's, because a newer term has begun.
     */
    FENCED,
    /** Another incarnation of the executor answered; the runs of the expected one have ended. */
    OTHER_LIFE,
    /** The executor answered with an error, or its answer could not be read. */
    UNHEALTHY
}
