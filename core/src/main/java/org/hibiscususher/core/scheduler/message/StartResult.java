package org.hibiscususher.core.scheduler.message;

/** The result of an order to start a run. */
public enum StartResult {
    /** The run is on the executor. */
    STARTED(false),
    /** The executor has seen a higher fence, that of a later owner. */
    FENCED(false),
    /** The executor knows a run of the task with this or a higher number. */
    OLD(false),
    /** The order arrived after its deadline. */
    LATE(false),
    /** The executor lacks free capacity. */
    NO_ROOM(false),
    /** The placement token is missing or has expired. */
    NO_TICKET(false),
    /** The executor can't serve now; it has done nothing. */
    UNHEALTHY(false),
    /** Another incarnation of the executor answered. */
    OTHER_LIFE(false),
    /** The executor does not understand the order. */
    INVALID(false),
    /** No connection was open, or the order was no longer valid; it was certainly not sent. */
    NOT_SENT(false),
    /** No usable answer arrived: the order may have been carried out, or may still be. */
    NO_ANSWER(true);

    private final boolean mUncertain;

    StartResult(boolean uncertain) {
        mUncertain = uncertain;
    }

    /**
     * Returns whether the run may be on the executor or may still start there, although the order
     * was not confirmed.
     */
    public boolean isUncertain() {
        return mUncertain;
    }
}
