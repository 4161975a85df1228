package org.hibiscususher.core.message;

/** How an attempt on a target ended, as the traffic side saw it. */
public enum AttemptOutcome {
    /** The whole answer has arrived. */
    ANSWERED(true, false, false),
    /** The whole answer has arrived and tells of an error of the server. */
    SERVER_ERROR(true, false, true),
    /** The connection could not be made; no byte was sent. */
    NOT_CONNECTED(true, true, true),
    /** The target said in its documented way that it did not run the request. */
    DECLINED(true, true, false),
    /** The target closed or broke off after bytes were sent and before an answer began. */
    BROKEN(true, false, true),
    /** The answer began and was cut short; the caller has seen an error. */
    TRUNCATED(true, false, true),
    /** The run limit passed and no answer has begun; the target may still be running. */
    TIMED_OUT(false, false, true),
    /** The caller went away before any byte was sent. */
    CANCELLED(true, true, false),
    /** The caller went away after bytes were sent; the target may still be running. */
    CALLER_GONE(false, false, false);

    private final boolean mTargetDone;
    private final boolean mNotRun;
    private final boolean mHostFault;

    AttemptOutcome(boolean targetDone, boolean notRun, boolean hostFault) {
        mTargetDone = targetDone;
        mNotRun = notRun;
        mHostFault = hostFault;
    }

    /** Returns whether the target is known to be no longer busy with the attempt. */
    public boolean targetFinished() {
        return mTargetDone;
    }

    /** Returns whether the caller got a whole answer. */
    public boolean hasResponse() {
        return this == ANSWERED || this == SERVER_ERROR;
    }

    /** Returns whether it is certain that the attempt did not run. */
    public boolean notRun() {
        return mNotRun;
    }

    /** Returns whether the outcome counts against the host. */
    public boolean isHostFault() {
        return mHostFault;
    }
}
