package org.hibiscususher.core.scheduler.world;

/** What a caller's request waits for. */
public enum PendingRequestStage {
    /** An owner to forward it to. */
    OWNER,
    /** The store. */
    STORE
}
