package org.hibiscususher.daemon.control;

import org.agrona.concurrent.EpochClock;

/** Milliseconds since the epoch as of the start of the process, that never go back. */
public final class MonotonicClock implements EpochClock {
    private static final long NS_PER_MS = 1_000_000;

    private final long mStartMs = System.currentTimeMillis();
    private final long mStartNs = System.nanoTime();

    @Override
    public long time() {
        return mStartMs + (System.nanoTime() - mStartNs) / NS_PER_MS;
    }
}
