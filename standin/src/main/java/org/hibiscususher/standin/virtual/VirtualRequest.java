package org.hibiscususher.standin.virtual;

import java.util.Optional;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Refusal;

/**
 * A request of a simulated caller, with the outcome that the caller saw and its runs on targets.
 */
public final class VirtualRequest {
    private final String mEntry;
    private final RequestArrived mArrival;
    private final String mTeam;
    private final int mRunMs;
    private final long mArrivedMs;
    private long mFirstRunMs = -1;
    private long mFinishedMs = -1;
    private long mLastRunMs = -1;
    private int mRunCount;
    private boolean mAnswered;
    private boolean mTruncated;
    private boolean mCancelled;
    private Optional<Refusal> mRefusal = Optional.empty();

    VirtualRequest(String entry, RequestArrived arrival, String team, int runMs, long arrivedMs) {
        mEntry = entry;
        mArrival = arrival;
        mTeam = team;
        mRunMs = runMs;
        mArrivedMs = arrivedMs;
    }

    /** Returns the id of the entry to which the caller sent it. */
    public String entry() {
        return mEntry;
    }

    /** Returns the input by which the entry learned of it. */
    public RequestArrived arrival() {
        return mArrival;
    }

    /** Returns the team of the caller. */
    public String team() {
        return mTeam;
    }

    /** Returns its run time on a target without a fault, in milliseconds. */
    public int runMs() {
        return mRunMs;
    }

    /** Returns when it arrived, in virtual milliseconds. */
    public long arrivedMs() {
        return mArrivedMs;
    }

    /** Returns when its first run began, in virtual milliseconds; -1 if it has not run. */
    public long startedMs() {
        return mFirstRunMs;
    }

    /** Returns when its last run began, in virtual milliseconds; -1 if it has not run. */
    public long lastRunMs() {
        return mLastRunMs;
    }

    /**
     * Returns when its caller got a response or refusal or disconnected, in virtual milliseconds;
     * -1 if the caller still waits.
     */
    public long endedMs() {
        return mFinishedMs;
    }

    /** Returns the number of times that targets began to run it. */
    public int runCount() {
        return mRunCount;
    }

    /** Returns whether its caller got a complete response. */
    public boolean isAnswered() {
        return mAnswered;
    }

    /** Returns whether its caller got a truncated response. */
    public boolean isTruncated() {
        return mTruncated;
    }

    /** Returns whether its caller disconnected, or its entry's process ended, before a response. */
    public boolean isCancelled() {
        return mCancelled;
    }

    /** Returns the reason of its refusal, or empty if it was not refused. */
    public Optional<Refusal> refusal() {
        return mRefusal;
    }

    /** Returns whether its caller no longer waits for a response. */
    public boolean isFinished() {
        return mFinishedMs >= 0;
    }

    void recordRun(long nowMs) {
        mRunCount++;
        mLastRunMs = nowMs;
        mFirstRunMs = mFirstRunMs < 0 ? nowMs : mFirstRunMs;
    }

    void recordResponse(long nowMs) {
        mAnswered = true;
        mFinishedMs = nowMs;
    }

    void recordTruncation(long nowMs) {
        mTruncated = true;
        mFinishedMs = nowMs;
    }

    void recordCancellation(long nowMs) {
        mCancelled = true;
        mFinishedMs = nowMs;
    }

    void recordRefusal(Refusal refusal, long nowMs) {
        mRefusal = Optional.of(refusal);
        mFinishedMs = nowMs;
    }
}
