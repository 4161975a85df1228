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
        void isNothingWhileTheWorkBeginsSoon() {
            assertThat(BacklogLimit.retryAfterMs(14_000, 5)).isZero();
        }

        @Test
        void growsWithTheBacklog() {
            assertThat(BacklogLimit.retryAfterMs(20_000, 0)).isEqualTo(5_000);
            assertThat(BacklogLimit.retryAfterMs(15_001, 0)).isEqualTo(1_000);
            assertThat(BacklogLimit.retryAfterMs(90_000, 0)).isEqualTo(10_000);
        }
    }

    /** A hundred callers that are turned away at the same moment. */
    @Nested
    class Crowd {
        @Test
        void comesBackAtManyTimes() {
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
