package org.hibiscususher.daemon.front;

import org.hibiscususher.core.message.AttemptOutcome;

/** The stages of one attempt on a target. */
enum AttemptStage {
    /** The connection is being made; no byte was sent. */
    CONNECTING(AttemptOutcome.NOT_CONNECTED, AttemptOutcome.NOT_CONNECTED),
    /** Bytes were sent and no answer has begun. */
    SENT(AttemptOutcome.BROKEN, AttemptOutcome.TIMED_OUT),
    /** Bytes of the answer were passed on to the caller. */
    ANSWERING(AttemptOutcome.TRUNCATED, AttemptOutcome.TRUNCATED),
    /** The caller went away after bytes were sent; the answer is read and dropped. */
    ABANDONED(AttemptOutcome.CALLER_GONE, AttemptOutcome.CALLER_GONE),
    /** Its end was reported. */
    OVER(AttemptOutcome.CALLER_GONE, AttemptOutcome.CALLER_GONE);

    private final AttemptOutcome mWhenClosed;
    private final AttemptOutcome mAtRunLimit;

    AttemptStage(AttemptOutcome whenClosed, AttemptOutcome atRunLimit) {
        mWhenClosed = whenClosed;
        mAtRunLimit = atRunLimit;
    }

    /** Returns what it means that the target closed the connection. */
    AttemptOutcome whenClosed() {
        return mWhenClosed;
    }

    /** Returns what it means that the longest run time has passed. */
    AttemptOutcome atRunLimit() {
        return mAtRunLimit;
    }
}
