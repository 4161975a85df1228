package org.hibiscususher.core.scheduler.world;

/** What a caller's request waits for. */
public enum PendingRequestStage {
    /** An owner to forward it to. */
    AWAITING_OWNER,
    /** The store. */
    AWAITING_STORE
}
