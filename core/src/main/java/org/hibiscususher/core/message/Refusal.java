package org.hibiscususher.core.message;

/** Why a request ended without a response from a target. */
public enum Refusal {
    /** The queue requires an access key and the request has none. */
    KEY_MISSING(ExecutionStatus.NOT_RUN),
    /** No access key in force has this secret: it was withdrawn or never issued. */
    KEY_UNKNOWN(ExecutionStatus.NOT_RUN),
    /** No queue in force has this name. */
    QUEUE_UNKNOWN(ExecutionStatus.NOT_RUN),
    /** The queue already has its maximum of waiting requests. */
    QUEUE_FULL(ExecutionStatus.NOT_RUN),
    /** The team may run nothing: its upper limit is 0, or was used up until the wait limit. */
    TEAM_AT_LIMIT(ExecutionStatus.NOT_RUN),
    /** The queue's pool has no host in service. */
    POOL_EMPTY(ExecutionStatus.NOT_RUN),
    /** No host of the pool is large enough for the declared needs. */
    NEVER_FITS(ExecutionStatus.NOT_RUN),
    /** The request could not start within its wait limit. */
    WAIT_LIMIT(ExecutionStatus.NOT_RUN),
    /** The entry can't prove that its configuration is current. */
    CONFIGURATION_STALE(ExecutionStatus.NOT_RUN),
    /** The entry is in graceful shutdown. */
    ENTRY_LEAVING(ExecutionStatus.NOT_RUN),
    /** Every attempt failed before a target ran the request. */
    TARGETS_FAILED(ExecutionStatus.NOT_RUN),
    /** The request can't be parsed. */
    REQUEST_MALFORMED(ExecutionStatus.NOT_RUN),
    /** The request's body exceeds the entry's limit. */
    REQUEST_TOO_LARGE(ExecutionStatus.NOT_RUN),
    /** The idempotency key is not a UUID of version 7. */
    IDEMPOTENCY_KEY_MALFORMED(ExecutionStatus.NOT_RUN),
    /** The entry has reached its limit of open requests. */
    ENTRY_OVERLOADED(ExecutionStatus.NOT_RUN),
    /** A fault of the entry's program kept it from a decision. */
    ENTRY_FAILED(ExecutionStatus.NOT_RUN),
    /** Another request has claimed the idempotency key; that request ran or may have run. */
    DUPLICATE(ExecutionStatus.MAY_HAVE_RUN),
    /** No coordinator can prove that the idempotency key is new. */
    ID_NOT_VOUCHED(ExecutionStatus.MAY_HAVE_RUN),
    /** The request was sent to a target and no complete response came. */
    OUTCOME_UNKNOWN(ExecutionStatus.MAY_HAVE_RUN);

    private final ExecutionStatus mRan;

    Refusal(ExecutionStatus ran) {
        mRan = ran;
    }

    /** Returns whether a target may have run the request. */
    public ExecutionStatus executionStatus() {
        return mRan;
    }

    /** Returns the machine-readable reason, such as {@code key-missing}. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
