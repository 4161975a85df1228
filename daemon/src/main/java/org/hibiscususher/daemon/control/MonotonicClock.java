package org.hibiscususher.daemon.control;

import java.util.function.LongSupplier;
import org.agrona.concurrent.EpochClock;

/**
 * Clock of milliseconds since 1970 that never decreases.
 *
 * <p>It advances with the elapsed time of the process and is slewed towards the system's wall
 * clock, so that the clocks of long-running entries don't drift apart. A step of the wall clock is
 * not followed at once, because the control thread would take it for a pause of the process.
 * Differences of up to 1 ms are not corrected. Thread-safe.
 */
public final class MonotonicClock implements EpochClock {
    private static final long NS_PER_MS = 1_000_000;

    /** Largest correction as a right shift of the elapsed time: 6 is 1/64, about 1.6 %. */
    private static final int SLEW_SHIFT = 6;

    private final LongSupplier mWallMs;
    private final LongSupplier mElapsedNs;
    private long mTimeNs;
    private long mLastNs;

    /** Creates a clock that starts at the current time of the system's wall clock. */
    public MonotonicClock() {
        this(System::currentTimeMillis, System::nanoTime);
    }

    /**
     * Creates a clock.
     *
     * @param wallMs wall clock in milliseconds since 1970, which may step in either direction
     * @param elapsedNs nanoseconds since an arbitrary origin, which never decrease
     */
    MonotonicClock(LongSupplier wallMs, LongSupplier elapsedNs) {
        mWallMs = wallMs;
        mElapsedNs = elapsedNs;
        mTimeNs = wallMs.getAsLong() * NS_PER_MS;
        mLastNs = elapsedNs.getAsLong();
    }

    @Override
    public synchronized long time() {
        long nowNs = mElapsedNs.getAsLong();
        long sinceLastNs = nowNs - mLastNs;
        mLastNs = nowNs;
        mTimeNs += sinceLastNs;
        long offsetNs = mWallMs.getAsLong() * NS_PER_MS - mTimeNs;
        long maxSlewNs = sinceLastNs >> SLEW_SHIFT;
        if (Math.abs(offsetNs) > NS_PER_MS) {
            mTimeNs += Math.max(-maxSlewNs, Math.min(maxSlewNs, offsetNs));
        }
        return mTimeNs / NS_PER_MS;
    }
}
