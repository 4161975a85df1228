package org.hibiscususher.core.scheduler.world;

/** How far the maintenance or move of a host has come. */
public enum HostOperationStep {
    /** Its executor gets no new runs; those that it has finish or are evicted. */
    EMPTYING,
    /** The order has been sent and its answer is awaited. */
    ORDERED,
    /** The order got no answer: it may have been carried out, or may still be. */
    UNANSWERED,
    /** The order was carried out and the host is not back in service yet. */
    AWAY;

    /** Returns whether the host may be out of service because of an order. */
    public boolean mayBeOutOfService() {
        return this != EMPTYING;
    }
}
