package org.hibiscususher.core.message;

/** How an attempt on a target ended, as the traffic threads observed it. */
public enum AttemptOutcome {
    /** The complete response has arrived. */
    ANSWERED(true, false, false),
    /** The complete response has arrived and reports a server error. */
    SERVER_ERROR(true, false, true),
    /** The connection could not be established; no byte was sent. */
    NOT_CONNECTED(true, true, true),
    /** The target declared, by the documented header, that it did not run the request. */
    DECLINED(true, true, false),
    /**
     * The target closed or broke the connection after bytes were sent and before a response began.
     */
    BROKEN(true, false, true),
    /** The response began and was cut off; the caller has seen an error. */
    TRUNCATED(true, false, true),
    /**
     * The run limit was exceeded before a response began; the target may still be running the
     * request.
     */
    TIMED_OUT(false, false, true),
    /** The caller disconnected before any byte was sent. */
    CANCELLED(true, true, false),
    /**
     * The caller disconnected after bytes were sent; the target may still be running the request.
     */
    CALLER_GONE(false, false, false);

    private final boolean mTargetFinished;
    private final boolean mNotRun;
    private final boolean mHostFault;

    AttemptOutcome(boolean targetFinished, boolean notRun, boolean hostFault) {
        mTargetFinished = targetFinished;
        mNotRun = notRun;
        mHostFault = hostFault;
    }

    /** Returns whether the target is known to be no longer busy with the attempt. */
    public boolean targetFinished() {
        return mTargetFinished;
    }

    /** Returns whether the caller got a complete response. */
    public boolean hasResponse() {
        return this == ANSWERED || this == SERVER_ERROR;
    }

    /** Returns whether it is certain that the target did not run the request. */
    public boolean notRun() {
        return mNotRun;
    }

    /** Returns whether the outcome counts as a fault of the host in outlier detection. */
    public boolean isHostFault() {
        return mHostFault;
    }
}
