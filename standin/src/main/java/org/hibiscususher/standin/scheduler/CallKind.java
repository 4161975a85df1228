package org.hibiscususher.standin.scheduler;

/** Kinds of calls to executors; each has its own connections, as in a real process. */
enum CallKind {
    /** Heartbeats. */
    HEARTBEAT(2),
    /** Orders to start and stop runs. */
    ORDER(3);

    private final int mMaxConnections;

    CallKind(int maxConnections) {
        mMaxConnections = maxConnections;
    }

    /** Returns the maximum number of open connections of this kind to one executor. */
    int maxConnections() {
        return mMaxConnections;
    }
}
