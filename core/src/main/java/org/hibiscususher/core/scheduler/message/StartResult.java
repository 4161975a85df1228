package org.hibiscususher.core.scheduler.message;

/** What came of an order to start a run. */
public enum StartResult {
    /** The run is there. */
    STARTED(false),
    /** The executor has seen a later owner. */
    FENCED(false),
    /** The run's number is not above that of an earlier one. */
    OLD(false),
    /** The order came after the time until which it was valid. */
    LATE(false),
    /** The executor has no room. */
    NO_ROOM(false),
    /** The permission to run the step there is missing or has ended. */
    NO_TICKET(false),
    /** The executor can't serve now; it has done nothing. */
    UNHEALTHY(false),
    /** Another life of the executor answered. */
    OTHER_LIFE(false),
    /** The executor does not understand the order. */
    INVALID(false),
    /** No answer came: the order may have been carried out, or may be later. */
    NO_ANSWER(true);

    private final boolean mUncertain;

    StartResult(boolean uncertain) {
        mUncertain = uncertain;
    }

    /** Returns whether the run may be there or still come. */
    public boolean isUncertain() {
        return mUncertain;
    }
}
