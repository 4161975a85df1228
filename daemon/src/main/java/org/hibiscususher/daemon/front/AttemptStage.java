package org.hibiscususher.daemon.front;

import org.hibiscususher.core.message.AttemptOutcome;

/** The stages of one attempt on a target. */
enum AttemptStage {
    /** The connection is being made; no byte was sent. */
    CONNECTING(AttemptOutcome.NOT_CONNECTED),
    /** Bytes were sent and no answer has begun. */
    SENT(AttemptOutcome.BROKEN),
    /** Bytes of the answer were passed on to the caller. */
    ANSWERING(AttemptOutcome.TRUNCATED),
    /** The caller waits no longer; the answer is read and dropped. */
    ABANDONED(AttemptOutcome.CALLER_GONE),
    /** Its end was reported. */
    OVER(AttemptOutcome.CALLER_GONE);

    private final AttemptOutcome mWhenClosed;

    AttemptStage(AttemptOutcome whenClosed) {
        mWhenClosed = whenClosed;
    }

    /** Returns what it means that the target closed the connection. */
    AttemptOutcome whenClosed() {
        return mWhenClosed;
    }
}
