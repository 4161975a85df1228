package org.hibiscususher.standin.virtual;

import java.util.LinkedHashMap;
import java.util.Map;

/** A target host: what runs on it now, and how it misbehaves. */
public final class VirtualTarget {
    private final String mId;
    private final Map<RunKey, String> mRunning = new LinkedHashMap<>();
    private TargetFault mFault = TargetFault.NONE;
    private int mMostRunning;
    private long mLastBeginMs = -1;

    /** Names one attempt. */
    record RunKey(String entry, long requestId, int attempt) {}

    VirtualTarget(String id) {
        mId = id;
    }

    /** Returns the host's id. */
    public String id() {
        return mId;
    }

    /** Sets how the target misbehaves from now on. */
    public void setFault(TargetFault fault) {
        mFault = fault;
    }

    /** Returns how the target misbehaves. */
    public TargetFault fault() {
        return mFault;
    }

    /** Returns how many requests are running. */
    public int runningRequests() {
        return mRunning.size();
    }

    /** Returns how many requests of a team are running. */
    public int runningRequests(String team) {
        return (int) mRunning.values().stream().filter(team::equals).count();
    }

    /** Returns whether requests that an entry started are running. */
    public boolean isRunningFor(String entry) {
        return mRunning.keySet().stream().anyMatch(k -> k.entry().equals(entry));
    }

    /** Returns the most requests that were running at a time. */
    public int maxConcurrentRequests() {
        return mMostRunning;
    }

    /** Returns when the last run began, in virtual milliseconds, -1 if none has. */
    public long lastStartMs() {
        return mLastBeginMs;
    }

    void startRun(RunKey key, String team, long nowMs) {
        mLastBeginMs = nowMs;
        mRunning.put(key, team);
        mMostRunning = Math.max(mMostRunning, mRunning.size());
    }

    void endRun(RunKey key) {
        mRunning.remove(key);
    }
}
