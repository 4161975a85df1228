package org.hibiscususher.core.scheduler.world;

/** What a caller's request waits for. */
public enum PendingRequestStage {
    /** The process is not the owner and knows none to which it could forward the request. */
    AWAITING_OWNER,
    /** It was forwarded to another entry, which has not answered. */
    FORWARDED,
    /**
     * The store must hold the result before the caller learns of it. A later owner reads only the
     * store and would otherwise lose a job that the caller believes accepted.
     */
    AWAITING_STORE
}
