package org.hibiscususher.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.agrona.collections.MutableLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The clock against a wall clock that drifts and steps. */
class MonotonicClockTest {
    private static final long NS_PER_MS = 1_000_000;

    private final MutableLong mWallMs = new MutableLong(1_000_000);
    private final MutableLong mElapsedNs = new MutableLong(77);
    private final MonotonicClock mClock = new MonotonicClock(mWallMs::get, mElapsedNs::get);

    private long after(long elapsedMs, long wallMs) {
        mElapsedNs.set(mElapsedNs.get() + elapsedMs * NS_PER_MS);
        mWallMs.set(mWallMs.get() + wallMs);
        return mClock.time();
    }

    @Nested
    class WallClocks {
        @Test
        void thatDriftAreFollowed() {
            for (int i = 0; i < 10_000; i++) {
                after(1_000, 1_001);
            }
            assertThat(mClock.time()).isBetween(mWallMs.get() - 2, mWallMs.get() + 2);
        }

        @Test
        void thatStepAreFollowedSlowly() {
            assertThat(after(10, 3_600_010)).isEqualTo(1_000_010);
            assertThat(after(6_400, 6_400)).isEqualTo(1_006_510);
        }

        @Test
        void thatStepBackNeverTakeTheClockBack() {
            long last = after(10, -3_600_000);
            for (int i = 0; i < 100; i++) {
                long next = after(1, 1);
                assertThat(next).isGreaterThanOrEqualTo(last);
                last = next;
            }
        }
    }
}
