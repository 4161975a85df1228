package org.hibiscususher.daemon.control;

import java.util.function.LongSupplier;
import org.agrona.concurrent.EpochClock;

/**
 * Milliseconds since the epoch that never go back.
 *
 * <p>The clock follows the system's wall clock, so that the clocks of long-running entries stay
 * together; it makes up for a difference slowly, so that a step of the wall clock does not look
 * like a pause. Thread-safe.
 */
public final class MonotonicClock implements EpochClock {
    private static final long NS_PER_MS = 1_000_000;

    /** Part of the time passed by which the clock may run faster or slower, as a shift. */
    private static final int SLEW_SHIFT = 6;

    private final LongSupplier mWallMs;
    private final LongSupplier mElapsedNs;
    private long mTimeNs;
    private long mLastNs;

    /** Creates a clock that starts at the system's wall clock. */
    public MonotonicClock() {
        this(System::currentTimeMillis, System::nanoTime);
    }

    MonotonicClock(LongSupplier wallMs, LongSupplier elapsedNs) {
        mWallMs = wallMs;
        mElapsedNs = elapsedNs;
        mTimeNs = wallMs.getAsLong() * NS_PER_MS;
        mLastNs = elapsedNs.getAsLong();
    }

    @Override
    public synchronized long time() {
        long nowNs = mElapsedNs.getAsLong();
        long passedNs = nowNs - mLastNs;
        mLastNs = nowNs;
        mTimeNs += passedNs;
        long errorNs = mWallMs.getAsLong() * NS_PER_MS - mTimeNs;
        long limitNs = passedNs >> SLEW_SHIFT;
        if (Math.abs(errorNs) > NS_PER_MS) {
            mTimeNs += Math.max(-limitNs, Math.min(limitNs, errorNs));
        }
        return mTimeNs / NS_PER_MS;
    }
}
