package org.hibiscususher.standin.virtual;

import java.util.LinkedHashMap;
import java.util.Map;

/** Simulated target host: the requests that it runs now, and its fault. */
public final class VirtualTarget {
    private final String mId;

    /** Team of each running request. */
    private final Map<RunKey, String> mRunningTeams = new LinkedHashMap<>();

    private TargetFault mFault = TargetFault.NONE;
    private int mMaxConcurrentRequests;
    private long mLastStartMs = -1;

    /**
     * Identifies one run.
     *
     * @param entry id of the entry that started it
     * @param requestId id of the request
     * @param attempt number of the attempt to run the request
     */
    record RunKey(String entry, long requestId, int attempt) {}

    VirtualTarget(String id) {
        mId = id;
    }

    /** Returns the host's id. */
    public String id() {
        return mId;
    }

    /** Sets the fault of runs that start from now on. */
    public void setFault(TargetFault fault) {
        mFault = fault;
    }

    /** Returns the current fault. */
    public TargetFault fault() {
        return mFault;
    }

    /** Returns the number of running requests. */
    public int runningRequests() {
        return mRunningTeams.size();
    }

    /** Returns the number of running requests of a team. */
    public int runningRequests(String team) {
        return (int) mRunningTeams.values().stream().filter(team::equals).count();
    }

    /** Returns whether a request that an entry started is running. */
    public boolean isRunningFor(String entry) {
        return mRunningTeams.keySet().stream().anyMatch(k -> k.entry().equals(entry));
    }

    /** Returns the greatest number of requests that ran at the same time. */
    public int maxConcurrentRequests() {
        return mMaxConcurrentRequests;
    }

    /** Returns when the last run began, in virtual milliseconds; -1 if there was none. */
    public long lastStartMs() {
        return mLastStartMs;
    }

    void startRun(RunKey key, String team, long nowMs) {
        mLastStartMs = nowMs;
        mRunningTeams.put(key, team);
        mMaxConcurrentRequests = Math.max(mMaxConcurrentRequests, mRunningTeams.size());
    }

    void endRun(RunKey key) {
        mRunningTeams.remove(key);
    }
}
