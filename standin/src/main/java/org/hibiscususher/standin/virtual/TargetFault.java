package org.hibiscususher.standin.virtual;

import org.hibiscususher.core.message.AttemptOutcome;

/** Faults that a simulated target can have. */
public enum TargetFault {
    /** No fault. */
    NONE(true, 1, AttemptOutcome.ANSWERED),
    /** Connections fail. */
    UNREACHABLE(false, 0, AttemptOutcome.NOT_CONNECTED),
    /** Declines each request without running it, as a target that shuts down does. */
    DECLINING(false, 0, AttemptOutcome.DECLINED),
    /** Runs each request for a tenth of its run time, then drops the connection unanswered. */
    BROKEN_CONNECTION(true, 0.1, AttemptOutcome.BROKEN),
    /** Runs each request for a tenth of its run time, then responds with a server error. */
    SERVER_ERRORS(true, 0.1, AttemptOutcome.SERVER_ERROR),
    /** Runs each request and drops the connection in the middle of the response. */
    TRUNCATED_RESPONSE(true, 1, AttemptOutcome.TRUNCATED),
    /** Takes five times the request's run time. */
    SLOW(true, 5, AttemptOutcome.ANSWERED);

    private final boolean mRunsRequests;
    private final double mRunTimeFactor;
    private final AttemptOutcome mOutcome;

    TargetFault(boolean runsRequests, double runTimeFactor, AttemptOutcome outcome) {
        mRunsRequests = runsRequests;
        mRunTimeFactor = runTimeFactor;
        mOutcome = outcome;
    }

    /** Returns whether the target runs the requests that it gets. */
    boolean runsRequests() {
        return mRunsRequests;
    }

    /** Returns the factor by which the fault multiplies the run time of a request. */
    double runTimeFactor() {
        return mRunTimeFactor;
    }

    /** Returns the outcome of the attempt that the entry sees. */
    AttemptOutcome outcome() {
        return mOutcome;
    }
}
