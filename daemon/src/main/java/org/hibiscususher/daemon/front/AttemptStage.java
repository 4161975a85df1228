package org.hibiscususher.daemon.front;

import org.hibiscususher.core.message.AttemptOutcome;

/**
 * Stage of an attempt on a target; decides which outcome is reported if the connection to the
 * target ends.
 */
enum AttemptStage {
    /** The connection is being established; no byte was sent. */
    CONNECTING(AttemptOutcome.NOT_CONNECTED),
    /** The request is being or has been sent; no response has been forwarded. */
    SENT(AttemptOutcome.BROKEN),
    /** A part of the response was forwarded to the caller. */
    RESPONDING(AttemptOutcome.TRUNCATED),
    /** The caller no longer waits; the response is read and dropped. */
    ABANDONED(AttemptOutcome.CALLER_GONE),
    /** The outcome was reported and nothing more follows. */
    ENDED(AttemptOutcome.CALLER_GONE);

    private final AttemptOutcome mOutcomeIfClosed;

    AttemptStage(AttemptOutcome outcomeIfClosed) {
        mOutcomeIfClosed = outcomeIfClosed;
    }

    /** Returns the outcome if the connection to the target ends in this stage. */
    AttemptOutcome outcomeIfClosed() {
        return mOutcomeIfClosed;
    }
}
