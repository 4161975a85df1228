package org.hibiscususher.core.scheduler.message;

/** Why an executor's lists could not be read. */
public enum HeartbeatFailure {
    /** No answer came. */
    NO_ANSWER,
    /** The executor has seen a later owner. */
    FENCED,
    /** Another life of the executor answered. */
    OTHER_LIFE,
    /** The executor answered that it can't serve now. */
    UNHEALTHY
}
