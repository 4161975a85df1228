package org.hibiscususher.core.scheduler.world;

/** What is under way with a host. */
public enum HostOperationStep {
    /** It is being emptied. */
    EMPTYING,
    /** The order was sent. */
    ORDERED,
    /** The order was not answered: it may have been carried out, or may be yet. */
    UNANSWERED,
    /** The order was carried out; the host is not back yet. */
    AWAY;

    /** Returns whether the host may be out of service by an order. */
    public boolean mayBeOutOfService() {
        return this != EMPTYING;
    }
}
