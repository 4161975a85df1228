package org.hibiscususher.core.scheduler.message;

/** What came of an order to stop a run. */
public enum StopResult {
    /** The run ends, or will never begin. */
    STOPPED,
    /** The executor has seen a later owner. */
    FENCED,
    /** Another life of the executor answered; the run has ended with its own. */
    OTHER_LIFE,
    /** The executor refused for another reason. */
    REFUSED,
    /** No answer came. */
    NO_ANSWER
}
