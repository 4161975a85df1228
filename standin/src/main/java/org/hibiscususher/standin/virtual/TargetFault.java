package org.hibiscususher.standin.virtual;

import org.hibiscususher.core.message.AttemptOutcome;

/** How a target misbehaves. */
public enum TargetFault {
    /** Works. */
    NONE(true, 1, AttemptOutcome.ANSWERED),
    /** Takes no connection. */
    UNREACHABLE(false, 0, AttemptOutcome.NOT_CONNECTED),
    /** Says that it runs nothing more. */
    DECLINING(false, 0, AttemptOutcome.DECLINED),
    /** Runs each request and breaks off before it answers. */
    BROKEN_CONNECTION(true, 0.1, AttemptOutcome.BROKEN),
    /** Runs each request and answers soon with an error of the server. */
    SERVER_ERRORS(true, 0.1, AttemptOutcome.SERVER_ERROR),
    /** Runs each request and breaks off in the middle of the answer. */
    TRUNCATED_RESPONSE(true, 1, AttemptOutcome.TRUNCATED),
    /** Runs five times as long as usual. */
    SLOW(true, 5, AttemptOutcome.ANSWERED);

    private final boolean mRuns;
    private final double mDuration;
    private final AttemptOutcome mOutcome;

    TargetFault(boolean runs, double duration, AttemptOutcome outcome) {
        mRuns = runs;
        mDuration = duration;
        mOutcome = outcome;
    }

    /** Returns whether requests run. */
    boolean runsRequests() {
        return mRuns;
    }

    /** Returns the run time as a multiple of the usual one. */
    double runTimeFactor() {
        return mDuration;
    }

    /** Returns what the entry sees. */
    AttemptOutcome outcome() {
        return mOutcome;
    }
}
