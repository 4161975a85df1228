package org.hibiscususher.core.scheduler.message;

/** The result of an order to move or maintain a host. */
public enum HostOrderResult {
    /** The order has been carried out, by this call or an earlier one. */
    DONE,
    /** The host is not up, or is already leaving. */
    BUSY,
    /** A later owner has ordered the host. */
    FENCED,
    /** The host does not belong to the wave. */
    NOT_IN_WAVE,
    /** The host does not exist, or the pool can't have it. */
    INVALID,
    /** The platform limits the rate of calls; nothing was done. */
    REFUSED,
    /** No answer arrived: the order may have been carried out, or may still be. */
    NO_ANSWER
}
