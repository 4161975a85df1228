package org.hibiscususher.core.scheduler.message;

/** The result of an order to stop a run. */
public enum StopResult {
    /** The run is being stopped, or will never start. */
    STOPPED,
    /** The executor has seen a higher fence, that of a later owner. */
    FENCED,
    /** Another incarnation of the executor answered; the run ended with its own. */
    OTHER_LIFE,
    /** The executor rejected the order for another reason. */
    REFUSED,
    /** No usable answer arrived. */
    NO_ANSWER
}
