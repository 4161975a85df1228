package org.hibiscususher.standin.virtual;

import java.util.Optional;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Refusal;

/** A request of a caller and what became of it. */
public final class VirtualRequest {
    private final String mEntry;
    private final RequestArrived mArrival;
    private final String mTeam;
    private final int mRunMs;
    private final long mArrivedMs;
    private long mStartedMs = -1;
    private long mEndedMs = -1;
    private long mLastRunMs = -1;
    private int mRuns;
    private boolean mAnswered;
    private boolean mCutShort;
    private boolean mCancelled;
    private Optional<Refusal> mRefusal = Optional.empty();

    VirtualRequest(String entry, RequestArrived arrival, String team, int runMs, long arrivedMs) {
        mEntry = entry;
        mArrival = arrival;
        mTeam = team;
        mRunMs = runMs;
        mArrivedMs = arrivedMs;
    }

    /** Returns the entry that took it. */
    public String entry() {
        return mEntry;
    }

    /** Returns what the caller sent. */
    public RequestArrived arrival() {
        return mArrival;
    }

    /** Returns the team that sent it. */
    public String team() {
        return mTeam;
    }

    /** Returns how long it runs on a target that works, in milliseconds. */
    public int runMs() {
        return mRunMs;
    }

    /** Returns when it arrived, in virtual milliseconds. */
    public long arrivedMs() {
        return mArrivedMs;
    }

    /** Returns when its first run began, -1 if it did not run. */
    public long startedMs() {
        return mStartedMs;
    }

    /** Returns when its last run began, -1 if it did not run. */
    public long lastRunMs() {
        return mLastRunMs;
    }

    /** Returns when its caller had an answer or a refusal, -1 if not yet. */
    public long endedMs() {
        return mEndedMs;
    }

    /** Returns how many times a target ran it. */
    public int runCount() {
        return mRuns;
    }

    /** Returns whether its caller has the whole answer. */
    public boolean isAnswered() {
        return mAnswered;
    }

    /** Returns whether its caller has seen an answer that broke off. */
    public boolean isTruncated() {
        return mCutShort;
    }

    /** Returns whether its caller went away. */
    public boolean isCancelled() {
        return mCancelled;
    }

    /** Returns why it was refused, or empty. */
    public Optional<Refusal> refusal() {
        return mRefusal;
    }

    /** Returns whether its caller waits for nothing more. */
    public boolean isFinished() {
        return mEndedMs >= 0;
    }

    void recordRun(long nowMs) {
        mRuns++;
        mLastRunMs = nowMs;
        mStartedMs = mStartedMs < 0 ? nowMs : mStartedMs;
    }

    void answer(long nowMs) {
        mAnswered = true;
        mEndedMs = nowMs;
    }

    void truncate(long nowMs) {
        mCutShort = true;
        mEndedMs = nowMs;
    }

    void cancel(long nowMs) {
        mCancelled = true;
        mEndedMs = nowMs;
    }

    void refuse(Refusal refusal, long nowMs) {
        mRefusal = Optional.of(refusal);
        mEndedMs = nowMs;
    }
}
