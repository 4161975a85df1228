package org.hibiscususher.core.scheduler.message;

/** What came of an order to move or maintain a host. */
public enum HostOrderResult {
    /** The order is carried out, or was before. */
    DONE,
    /** The host is not up, or is leaving. */
    BUSY,
    /** A later owner has given orders for the host. */
    FENCED,
    /** The host does not belong to the wave. */
    NOT_IN_WAVE,
    /** There is no such host, or the pool can't have it. */
    INVALID,
    /** The platform takes no more calls now; nothing was done. */
    REFUSED,
    /** No answer came: the order may have been carried out. */
    NO_ANSWER
}
