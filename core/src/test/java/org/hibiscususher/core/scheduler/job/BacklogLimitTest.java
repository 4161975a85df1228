package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BacklogLimitTest {
    @Nested
    class RetryAfterMs {
        @Test
        void isZeroWhileExpectedWaitIsBelowLimit() {
            assertThat(BacklogLimit.retryAfterMs(14_000, 5)).isZero();
        }

        @Test
        void growsWithBacklogWithinItsBounds() {
            assertThat(BacklogLimit.retryAfterMs(20_000, 0)).isEqualTo(5_000);
            assertThat(BacklogLimit.retryAfterMs(15_001, 0)).isEqualTo(1_000);
            assertThat(BacklogLimit.retryAfterMs(90_000, 0)).isEqualTo(10_000);
        }
    }

    /**
     * Guards against rejected callers that all retry at the same time and overload the pool again.
     */
    @Nested
    class Jitter {
        @Test
        void spreadsRetriesOfCallersRejectedTogether() {
            Set<Long> times = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                times.add(
                        BacklogLimit.retryAfterMs(
                                30_000, Integer.toHexString(i * 7919).hashCode()));
            }
            assertThat(times.size()).isGreaterThan(50);
        }
    }
}
