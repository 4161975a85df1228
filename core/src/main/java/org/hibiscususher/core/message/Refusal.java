package org.hibiscususher.core.message;

/** Why a request ended without an answer from a target. */
public enum Refusal {
    /** The queue needs a key and none came. */
    KEY_MISSING(ExecutionStatus.NOT_RUN),
    /** No key in force has this secret, be it withdrawn or never given. */
    KEY_UNKNOWN(ExecutionStatus.NOT_RUN),
    /** No queue in force has this name. */
    QUEUE_UNKNOWN(ExecutionStatus.NOT_RUN),
    /** The queue has as many requests waiting as it may. */
    QUEUE_FULL(ExecutionStatus.NOT_RUN),
    /** The team may run nothing: its upper limit is 0 or was used up until the wait limit. */
    TEAM_AT_LIMIT(ExecutionStatus.NOT_RUN),
    /** The queue's pool has no host in service. */
    POOL_EMPTY(ExecutionStatus.NOT_RUN),
    /** No host of the pool is large enough for the declared needs. */
    NEVER_FITS(ExecutionStatus.NOT_RUN),
    /** The request could not start within its wait limit. */
    WAIT_LIMIT(ExecutionStatus.NOT_RUN),
    /** The entry can't vouch that its configuration is current. */
    CONFIGURATION_STALE(ExecutionStatus.NOT_RUN),
    /** The entry is in graceful shutdown. */
    ENTRY_LEAVING(ExecutionStatus.NOT_RUN),
    /** Every attempt failed before a target took the request. */
    TARGETS_FAILED(ExecutionStatus.NOT_RUN),
    /** The request can't be read. */
    REQUEST_MALFORMED(ExecutionStatus.NOT_RUN),
    /** The request's body is larger than the entry takes. */
    REQUEST_TOO_LARGE(ExecutionStatus.NOT_RUN),
    /** The idempotency key is not a UUID of version 7. */
    IDEMPOTENCY_KEY_MALFORMED(ExecutionStatus.NOT_RUN),
    /** The entry has more requests at hand than it can hold. */
    ENTRY_OVERLOADED(ExecutionStatus.NOT_RUN),
    /** The same idempotency key came before; that request ran or may have run. */
    DUPLICATE(ExecutionStatus.MAY_HAVE_RUN),
    /** Nobody can vouch that this idempotency key is new. */
    ID_NOT_VOUCHED(ExecutionStatus.MAY_HAVE_RUN),
    /** The request went to a target and no whole answer came. */
    OUTCOME_UNKNOWN(ExecutionStatus.MAY_HAVE_RUN);

    private final ExecutionStatus mRan;

    Refusal(ExecutionStatus ran) {
        mRan = ran;
    }

    /** Returns whether the work may have run. */
    public ExecutionStatus executionStatus() {
        return mRan;
    }

    /** Returns the machine-readable reason, as {@code key-missing}. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
