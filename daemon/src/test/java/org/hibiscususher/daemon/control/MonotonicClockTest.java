package org.hibiscususher.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.agrona.collections.MutableLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the clock with a wall clock that drifts from the elapsed time, or steps. */
class MonotonicClockTest {
    private static final long NS_PER_MS = 1_000_000;

    private final MutableLong mWallMs = new MutableLong(1_000_000);
    private final MutableLong mElapsedNs = new MutableLong(77);
    private final MonotonicClock mClock = new MonotonicClock(mWallMs::get, mElapsedNs::get);

    /** Advances both clocks and returns the time of the tested one. */
    private long timeAfter(long elapsedMs, long wallElapsedMs) {
        mElapsedNs.set(mElapsedNs.get() + elapsedMs * NS_PER_MS);
        mWallMs.set(mWallMs.get() + wallElapsedMs);
        return mClock.time();
    }

    @Nested
    class WallClock {
        @Test
        void isFollowedWhenItDrifts() {
            for (int i = 0; i < 10_000; i++) {
                timeAfter(1_000, 1_001);
            }
            assertThat(mClock.time()).isBetween(mWallMs.get() - 2, mWallMs.get() + 2);
        }

        @Test
        void isSlewedToAfterForwardStep() {
            assertThat(timeAfter(10, 3_600_010)).isEqualTo(1_000_010);
            assertThat(timeAfter(6_400, 6_400)).isEqualTo(1_006_510);
        }

        @Test
        void neverSetsClockBackAfterBackwardStep() {
            long last = timeAfter(10, -3_600_000);
            for (int i = 0; i < 100; i++) {
                long next = timeAfter(1, 1);
                assertThat(next).isGreaterThanOrEqualTo(last);
                last = next;
            }
        }
    }
}
